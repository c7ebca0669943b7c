#include "burdockhill/src/entry/prefix_directory.h"

#include <xxhash.h>

#include <array>

namespace burdockhill {

namespace {

// Lengths at which prompts are compared, longest first.
constexpr std::array<size_t, 3> kPrefixBytes = {16384, 4096, 1024};
constexpr size_t kMaxPrefixes = 8192;
constexpr int64_t kBytesPerToken = 4;

uint64_t HashPrefix(const ServiceName& service, const std::string& prompt,
                    size_t bytes) {
  const uint64_t seed =
      XXH3_64bits(service.Value().data(), service.Value().size()) + bytes;
  return XXH3_64bits_withSeed(prompt.data(), bytes, seed);
}

}  // namespace

Tokens PrefixDirectory::ExpectedReuse(const ServiceName& service,
                                      const std::string& prompt,
                                      const VmName& vm) const {
  for (const size_t bytes : kPrefixBytes) {
    if (prompt.size() < bytes) continue;
    const auto found = m_by_hash.find(HashPrefix(service, prompt, bytes));
    if (found == m_by_hash.end() || found->second->vm != vm) continue;
    return Tokens(found->second->tokens);
  }
  return Tokens(0);
}

void PrefixDirectory::Record(const ServiceName& service,
                             const std::string& prompt, const VmName& vm) {
  for (const size_t bytes : kPrefixBytes) {
    if (prompt.size() < bytes) continue;
    const uint64_t hash = HashPrefix(service, prompt, bytes);
    const auto found = m_by_hash.find(hash);
    if (found != m_by_hash.end()) {
      m_by_recency.erase(found->second);
      m_by_hash.erase(found);
    }
    m_by_recency.push_front(
        {hash, vm, static_cast<int64_t>(bytes) / kBytesPerToken});
    m_by_hash[hash] = m_by_recency.begin();
    if (m_by_recency.size() <= kMaxPrefixes) continue;
    m_by_hash.erase(m_by_recency.back().hash);
    m_by_recency.pop_back();
  }
}

void PrefixDirectory::RemoveUncached(const ServiceName& service,
                                     const std::string& prompt,
                                     const VmName& vm, Tokens reused) {
  for (const size_t bytes : kPrefixBytes) {
    if (prompt.size() < bytes) continue;
    const auto found = m_by_hash.find(HashPrefix(service, prompt, bytes));
    if (found == m_by_hash.end() || found->second->vm != vm) continue;
    if (found->second->tokens <= reused.Value()) continue;
    m_by_recency.erase(found->second);
    m_by_hash.erase(found);
  }
}

}  // namespace burdockhill

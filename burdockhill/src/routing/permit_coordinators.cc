#include "burdockhill/src/routing/permit_coordinators.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// Entries send each other something every second.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(2500);
// Entries that have been silent for longer have ended.
constexpr Duration kCutOffTime = std::chrono::seconds(30);
// For how long a seed that did not answer is not asked.
constexpr Duration kAvoidTime = std::chrono::seconds(1);
// Part of the limit that a coordinator hands out that reaches a better one. Of
// three seeds, one hands out the limit and two this part of it.
constexpr double kSecondaryShare = 0.25;

uint64_t RankOf(const VmName& seed, const UpstreamName& upstream) {
  const std::string key = seed.Value() + "/" + upstream.Value();
  return XXH64(key.data(), key.size(), 0);
}

}  // namespace

PermitCoordinators::PermitCoordinators(VmName self,
                                       const std::vector<VmName>& seeds,
                                       TimePoint now)
    : m_self(std::move(self)), m_seeds(seeds.begin(), seeds.end()) {
  for (const VmName& seed : m_seeds) {
    if (seed == m_self) continue;
    m_entries[seed].heard_at = now - kSilenceTimeout - Duration(1);
  }
}

void PermitCoordinators::RecordUp(const VmName& vm, TimePoint now) {
  m_entries[vm] = {true, now, TimePoint()};
}

void PermitCoordinators::RecordDown(const VmName& vm, TimePoint now) {
  const auto found = m_entries.find(vm);
  if (found == m_entries.end()) return;
  found->second.connected = false;
  if (!IsSilent(found->second, now)) m_entries.erase(found);
}

void PermitCoordinators::RecordMessage(const VmName& vm, TimePoint now) {
  const auto found = m_entries.find(vm);
  if (found != m_entries.end()) found->second.heard_at = now;
}

void PermitCoordinators::RecordNoAnswer(const VmName& vm, TimePoint now) {
  const auto found = m_entries.find(vm);
  if (found != m_entries.end()) found->second.avoided_until = now + kAvoidTime;
}

void PermitCoordinators::RecordAnswer(const VmName& vm) {
  const auto found = m_entries.find(vm);
  if (found != m_entries.end()) found->second.avoided_until = TimePoint();
}

void PermitCoordinators::Tick(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& item) {
    return !item.second.connected && !IsSilent(item.second, now);
  });
}

bool PermitCoordinators::IsReachable(const VmName& vm, TimePoint now) const {
  if (vm == m_self) return true;
  const auto found = m_entries.find(vm);
  if (found == m_entries.end()) return false;
  const Entry& entry = found->second;
  return entry.connected && now >= entry.avoided_until &&
         now - entry.heard_at <= kSilenceTimeout;
}

bool PermitCoordinators::IsSilent(const Entry& entry, TimePoint now) {
  const Duration silence = now - entry.heard_at;
  return silence > kSilenceTimeout && silence <= kCutOffTime;
}

VmName PermitCoordinators::Choose(const UpstreamName& upstream,
                                  TimePoint now) const {
  VmName best;
  uint64_t best_rank = 0;
  for (const VmName& vm : m_seeds) {
    if (!IsReachable(vm, now)) continue;
    const uint64_t rank = RankOf(vm, upstream);
    if (best.IsValid() && rank >= best_rank) continue;
    best = vm;
    best_rank = rank;
  }
  return best;
}

int PermitCoordinators::EntryCount(TimePoint now) const {
  const auto known =
      std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        return item.second.connected || IsSilent(item.second, now);
      });
  return 1 + static_cast<int>(known);
}

double PermitCoordinators::ShareOfLimit(const UpstreamName& upstream,
                                        TimePoint now) const {
  const auto silent = std::count_if(
      m_entries.begin(), m_entries.end(),
      [&](const auto& item) { return IsSilent(item.second, now); });
  const double heard =
      1.0 - static_cast<double>(silent) / static_cast<double>(EntryCount(now));
  return heard * (Choose(upstream, now) == m_self ? 1.0 : kSecondaryShare);
}

std::vector<VmName> PermitCoordinators::SilentSeeds(TimePoint now) const {
  std::vector<VmName> silent;
  for (const auto& [vm, entry] : m_entries) {
    if (m_seeds.contains(vm) && IsSilent(entry, now)) silent.push_back(vm);
  }
  return silent;
}

}  // namespace burdockhill

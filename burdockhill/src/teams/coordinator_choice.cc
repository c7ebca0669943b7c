#include "burdockhill/src/teams/coordinator_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace burdockhill {

namespace {

// Entries that have been silent for longer have ended.
constexpr Duration kCutOffTime = std::chrono::seconds(30);
// For how long a seed that did not answer is not asked.
constexpr Duration kAvoidTime = std::chrono::seconds(1);
// Part of the limit that a coordinator hands out that reaches a better one. Of
// three seeds, one hands out the limit and two this part of it.
constexpr double kSecondaryShare = 0.25;

// The lowest number is the best rank.
uint64_t RankOf(const VmName& seed, std::string_view key) {
  const std::string text = seed.Value() + "/" + std::string(key);
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

CoordinatorChoice::CoordinatorChoice(VmName self,
                                     const std::vector<VmName>& seeds,
                                     TimePoint now)
    : m_self(std::move(self)), m_seeds(seeds.begin(), seeds.end()) {
  for (const VmName& seed : m_seeds) {
    if (seed == m_self) continue;
    m_entries[seed].heard_at = now - kSilenceTimeout - Duration(1);
  }
}

void CoordinatorChoice::RecordUp(const VmName& vm, TimePoint now) {
  m_entries[vm] = {true, now, TimePoint()};
}

void CoordinatorChoice::RecordDown(const VmName& vm, TimePoint now) {
  const auto found = m_entries.find(vm);
  if (found == m_entries.end()) return;
  found->second.connected = false;
  if (!IsSilent(found->second, now)) m_entries.erase(found);
}

void CoordinatorChoice::RecordMessage(const VmName& vm, TimePoint now) {
  const auto found = m_entries.find(vm);
  if (found != m_entries.end()) found->second.heard_at = now;
}

void CoordinatorChoice::RecordNoAnswer(const VmName& vm, TimePoint now) {
  const auto found = m_entries.find(vm);
  if (found != m_entries.end()) found->second.avoided_until = now + kAvoidTime;
}

void CoordinatorChoice::RecordAnswer(const VmName& vm) {
  const auto found = m_entries.find(vm);
  if (found != m_entries.end()) found->second.avoided_until = TimePoint();
}

void CoordinatorChoice::Tick(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& item) {
    return !item.second.connected && !IsSilent(item.second, now);
  });
}

bool CoordinatorChoice::IsHeard(const VmName& vm, TimePoint now) const {
  if (vm == m_self) return true;
  const auto found = m_entries.find(vm);
  return found != m_entries.end() && found->second.connected &&
         now - found->second.heard_at <= kSilenceTimeout;
}

bool CoordinatorChoice::IsReachable(const VmName& vm, TimePoint now) const {
  if (!IsHeard(vm, now)) return false;
  const auto found = m_entries.find(vm);
  return found == m_entries.end() || now >= found->second.avoided_until;
}

bool CoordinatorChoice::IsSilent(const Entry& entry, TimePoint now) {
  const Duration silence = now - entry.heard_at;
  return silence > kSilenceTimeout && silence <= kCutOffTime;
}

VmName CoordinatorChoice::Choose(std::string_view key, TimePoint now) const {
  VmName best;
  uint64_t best_rank = 0;
  for (const VmName& vm : m_seeds) {
    if (!IsReachable(vm, now)) continue;
    const uint64_t rank = RankOf(vm, key);
    if (best.IsValid() && rank >= best_rank) continue;
    best = vm;
    best_rank = rank;
  }
  return best;
}

int CoordinatorChoice::EntryCount(TimePoint now) const {
  const auto known =
      std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        return item.second.connected || IsSilent(item.second, now);
      });
  return 1 + static_cast<int>(known);
}

double CoordinatorChoice::HeardPart(TimePoint now) const {
  const auto silent = std::count_if(
      m_entries.begin(), m_entries.end(),
      [&](const auto& item) { return IsSilent(item.second, now); });
  return 1.0 -
         static_cast<double>(silent) / static_cast<double>(EntryCount(now));
}

double CoordinatorChoice::ShareOfLimit(std::string_view key,
                                       TimePoint now) const {
  return HeardPart(now) * (Choose(key, now) == m_self ? 1.0 : kSecondaryShare);
}

bool CoordinatorChoice::IsFirst(std::string_view key, TimePoint now) const {
  const uint64_t own_rank = RankOf(m_self, key);
  return m_seeds.contains(m_self) &&
         std::none_of(m_seeds.begin(), m_seeds.end(), [&](const VmName& vm) {
           return vm != m_self && IsHeard(vm, now) &&
                  RankOf(vm, key) < own_rank;
         });
}

std::vector<VmName> CoordinatorChoice::SilentEntries(TimePoint now) const {
  std::vector<VmName> silent;
  for (const auto& [vm, entry] : m_entries) {
    if (IsSilent(entry, now)) silent.push_back(vm);
  }
  return silent;
}

std::vector<VmName> CoordinatorChoice::HeardSeeds(TimePoint now) const {
  std::vector<VmName> heard;
  for (const VmName& vm : m_seeds) {
    if (IsHeard(vm, now)) heard.push_back(vm);
  }
  return heard;
}

std::vector<VmName> CoordinatorChoice::SilentSeeds(TimePoint now) const {
  std::vector<VmName> silent;
  for (const auto& [vm, entry] : m_entries) {
    if (m_seeds.contains(vm) && IsSilent(entry, now)) silent.push_back(vm);
  }
  return silent;
}

}  // namespace burdockhill

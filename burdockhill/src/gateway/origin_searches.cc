#include "burdockhill/src/gateway/origin_searches.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// Time for the answers of processes that run: two network transits between
// regions, and delays on loaded VMs.
constexpr Duration kSearchLimit = std::chrono::milliseconds(300);
// The same if some are starting: until others have connected to them again and
// told them their streams. Shorter than callers wait for the next event.
constexpr Duration kStartLimit = std::chrono::milliseconds(1200);
// After this time, processes that could not be asked are usually there again.
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// An entry that has run for less may not know all agents.
constexpr Duration kStartTime = std::chrono::seconds(2);

}  // namespace

OriginSearchId OriginSearches::Find(const StreamKey& stream,
                                    const StreamOriginMemory& memory,
                                    OriginSearchEvents* events) {
  const TimePoint now = m_board->clock->Now();
  const bool has_room = m_searches.size() < kMaxOpen;
  const bool is_valid =
      stream.IsValid() && stream.service.Value().size() <= kMaxOriginNameBytes;
  // An answer to the former process of this entry must answer no search here.
  if (m_last_id == 0) m_last_id = m_board->random->NextId();
  const OriginSearchId id(++m_last_id);
  Search& search = m_searches[id];
  search.events = events;
  search.began_at = now;
  search.last_asked_at = now;
  if (const auto known = memory.Find(stream, now)) {
    search.origins.insert(known->version);
  } else if (!is_valid || memory.IsAmbiguous(stream, now)) {
    search.unknown_for = Duration(0);  // Recorded with two versions.
  } else if (!has_room) {
    ++m_refused;
    search.unknown_for = kRetryAfter;
  } else {
    search.stream = stream;
    Ask(id, &search, m_holders->FindAsked(now));
  }
  return id;
}

void OriginSearches::Ask(OriginSearchId id, Search* search,
                         const AskedProcesses& processes) {
  const TimePoint now = m_board->clock->Now();
  search->wanted = processes.For(search->stream);
  for (const VmName& vm : search->wanted) {
    if (!m_holders->IsConnected(vm) || search->answered.contains(vm) ||
        !search->asked.insert(vm).second) {
      continue;
    }
    search->last_asked_at = now;
    m_peers->Send(
        vm, StreamOriginQuery{id.Value(), search->stream.service,
                              search->stream.attempt, search->stream.owner});
  }
}

bool OriginSearches::IsComplete(const Search& search) const {
  // An entry that has just started does not know which agents there are.
  if (search.wanted.empty()) {
    return m_board->upstreams.HasList() ||
           m_board->clock->Now() - m_started_at > kStartTime;
  }
  return std::all_of(
      search.wanted.begin(), search.wanted.end(),
      [&](const VmName& vm) { return search.answered.contains(vm); });
}

bool OriginSearches::IsHolderStarting(const Search& search) const {
  const TimePoint now = m_board->clock->Now();
  return !search.waiting.empty() ||
         std::any_of(
             search.wanted.begin(), search.wanted.end(),
             [&](const VmName& vm) { return m_holders->MayRestart(vm, now); });
}

bool OriginSearches::IsOver(const Search& search) const {
  if (!search.origins.empty() || search.unknown_for.has_value() ||
      IsComplete(search)) {
    return true;
  }
  const TimePoint now = m_board->clock->Now();
  return now - search.began_at >= kStartLimit ||
         (now - search.last_asked_at >= kSearchLimit &&
          !IsHolderStarting(search));
}

void OriginSearches::Tick(bool holders_changed) {
  if (m_searches.empty()) return;
  AskedProcesses processes;
  if (holders_changed) {
    processes = m_holders->FindAsked(m_board->clock->Now());
  }
  std::vector<OriginSearchId> ended;
  for (auto& [id, search] : m_searches) {
    const bool is_decided =
        !search.origins.empty() || search.unknown_for.has_value();
    if (!is_decided && holders_changed) Ask(id, &search, processes);
    if (IsOver(search)) ended.push_back(id);
  }
  for (const OriginSearchId id : ended) {
    const auto found = m_searches.find(id);
    if (found == m_searches.end()) continue;  // Cancelled by an earlier event.
    const Search search = std::move(found->second);
    m_searches.erase(found);
    if (search.origins.size() == 1) {
      search.events->OnOriginFound(id, *search.origins.begin());
      continue;
    }
    const bool is_settled = !search.origins.empty() || IsComplete(search);
    search.events->OnOriginUnknown(
        id,
        search.unknown_for.value_or(is_settled ? Duration(0) : kRetryAfter));
  }
}

void OriginSearches::OnPeerDown(const VmName& vm) {
  for (auto& [id, search] : m_searches) {
    search.asked.erase(vm);
    search.waiting.erase(vm);
  }
}

void OriginSearches::OnAnswer(const VmName& from,
                              const StreamOriginAnswer& answer) {
  const auto found = m_searches.find(OriginSearchId(answer.id));
  if (found == m_searches.end()) return;
  Search& search = found->second;
  if (!search.asked.contains(from)) return;
  if (answer.wait > Duration(0) && !answer.version.IsValid()) {
    search.waiting.insert(from);
    return;
  }
  search.asked.erase(from);
  search.waiting.erase(from);
  search.answered.insert(from);
  if (answer.version.IsValid()) search.origins.insert(answer.version);
}

void OriginSearches::LogRefused() {
  if (m_refused == 0) return;
  m_board->log->Write("origin_searches_refused",
                      {{"count", std::exchange(m_refused, 0)}});
}

}  // namespace burdockhill

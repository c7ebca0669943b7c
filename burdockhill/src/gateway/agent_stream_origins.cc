#include "burdockhill/src/gateway/agent_stream_origins.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockhill {

namespace {

// Time for the answers of agents: two network transits between regions, and
// delays on loaded VMs.
constexpr Duration kSearchLimit = std::chrono::milliseconds(300);
// After this time, agents that could not be asked are usually there again.
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// An entry that has run for less may not know all agents.
constexpr Duration kStartTime = std::chrono::seconds(2);
// An agent that has been silent for longer gets no streams to hold. Load
// reports arrive at least twice a second.
constexpr Duration kAgentSilenceTimeout = std::chrono::milliseconds(1800);
// An agent that has been silent for longer is not expected to come back with
// what it held.
constexpr Duration kAgentAbsenceTimeout = std::chrono::seconds(10);
// New holders of this many streams are told in one iteration of the event
// loop, as many streams lose holders at once.
constexpr size_t kMaxMovedPerTick = 64;
constexpr Duration kUpkeepInterval = std::chrono::seconds(1);

// The first `count` of these agents in the order of the stream.
std::vector<VmName> FirstAgents(const StreamKey& stream,
                                const std::vector<const VmName*>& agents,
                                size_t count) {
  const uint64_t seed = HashStream(stream);
  std::vector<std::pair<uint64_t, const VmName*>> ranked;
  ranked.reserve(agents.size());
  for (const VmName* agent : agents) {
    const std::string& text = agent->Value();
    ranked.emplace_back(XXH64(text.data(), text.size(), seed), agent);
  }
  count = std::min(count, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), end, ranked.end());
  std::vector<VmName> first;
  first.reserve(count);
  for (auto it = ranked.begin(); it != end; ++it) first.push_back(*it->second);
  return first;
}

}  // namespace

void AgentStreamOrigins::Record(const StreamKey& stream,
                                const SoftwareVersion& version, Duration keep) {
  if (!m_memory.Record(stream, version, keep, m_board->clock->Now())) return;
  SendToHolders(stream, &m_recorded[stream], version,
                std::min(keep, kMaxOriginKeep), /*only_new=*/false);
  if (m_recorded.size() > 2 * kMaxStreamOrigins) DropExpiredStreams();
}

void AgentStreamOrigins::SendToHolders(const StreamKey& stream,
                                       Recorded* recorded,
                                       const SoftwareVersion& version,
                                       Duration keep, bool only_new) {
  std::vector<const VmName*> usable;
  usable.reserve(m_usable.size());
  for (const auto& [vm, run] : m_usable) usable.push_back(&vm);
  const auto former = std::exchange(recorded->holders, {});
  size_t count = 0;
  for (const VmName& vm : FirstAgents(stream, usable, kHolders)) {
    const AgentRunId run = m_usable.at(vm);
    recorded->holders[count++] = run;
    const bool knows =
        std::find(former.begin(), former.end(), run) != former.end();
    if (only_new && knows) continue;
    m_peers->Send(vm,
                  StreamOrigin{stream.service, stream.attempt, version, keep});
  }
}

OriginSearchId AgentStreamOrigins::Find(const StreamKey& stream,
                                        OriginSearchEvents* events) {
  const TimePoint now = m_board->clock->Now();
  const bool has_room = m_searches.size() < kMaxOpenSearches;
  const bool is_valid =
      stream.IsValid() && stream.service.Value().size() <= kMaxOriginNameBytes;
  // An answer to the former process of this entry must answer no search here.
  if (m_last_search == 0) m_last_search = m_board->random->NextId();
  const OriginSearchId id(++m_last_search);
  Search& search = m_searches[id];
  search.events = events;
  search.deadline = now + kSearchLimit;
  m_memory.Expire(now);
  if (const auto known = m_memory.Find(stream, now)) {
    search.origins.insert(known->version);
  } else if (!is_valid || m_memory.Contains(stream)) {
    search.unknown_for = Duration(0);  // Recorded with two versions.
  } else if (!has_room) {
    ++m_refused_searches;
    search.unknown_for = kRetryAfter;
  } else {
    search.stream = stream;
    Ask(id, &search);
  }
  return id;
}

void AgentStreamOrigins::Cancel(OriginSearchId id) { m_searches.erase(id); }

void AgentStreamOrigins::Ask(OriginSearchId id, Search* search) {
  const TimePoint now = m_board->clock->Now();
  std::vector<const VmName*> agents;
  for (const auto& [vm, agent] : m_agents) {
    if (IsWanted(agent, now)) agents.push_back(&vm);
  }
  search->wanted = FirstAgents(search->stream, agents, kAskedAgents);
  for (const VmName& vm : search->wanted) {
    if (!m_agents.at(vm).connected || search->answered.contains(vm) ||
        !search->asked.insert(vm).second) {
      continue;
    }
    m_peers->Send(vm, StreamOriginQuery{id.Value(), search->stream.service,
                                        search->stream.attempt});
  }
}

bool AgentStreamOrigins::IsWanted(const Agent& agent, TimePoint now) {
  return agent.keeps_origins && (agent.registered || agent.connected) &&
         now - agent.heard_at <= kAgentAbsenceTimeout;
}

bool AgentStreamOrigins::IsUsable(const Agent& agent, TimePoint now) {
  return agent.connected && agent.keeps_origins && agent.registered &&
         !agent.leaving && now - agent.heard_at <= kAgentSilenceTimeout;
}

void AgentStreamOrigins::Tick() {
  const TimePoint now = m_board->clock->Now();
  SyncWithDirectory();
  UpdateUsableAgents(now);
  FindNewHolders(now);
  m_memory.Expire(now);
  if (now >= m_next_upkeep_at) {
    m_next_upkeep_at = now + kUpkeepInterval;
    DropExpiredStreams();
    DropEndedAgents(now);
    LogRefusedSearches();
  }
  EndSearches(now);
}

void AgentStreamOrigins::SyncWithDirectory() {
  if (m_directory_version == m_board->upstreams.Version()) return;
  m_directory_version = m_board->upstreams.Version();
  for (auto& [vm, agent] : m_agents) {
    agent.registered = false;
    agent.leaving = true;
  }
  for (const auto& [name, upstream] : m_board->upstreams.All()) {
    if (!upstream.role.has_value()) continue;
    const std::optional<Address> address = ParseAddress(upstream.address);
    if (!address.has_value()) continue;
    const auto [found, is_new] = m_agents.try_emplace(VmName(address->host));
    Agent& agent = found->second;
    if (is_new) {
      agent.heard_at = m_board->clock->Now();
      m_agents_changed = true;
    }
    agent.registered = true;
    const bool is_serving =
        !upstream.leaving && !m_board->upstreams.IsSuperseded(upstream);
    if (is_serving) agent.leaving = false;
  }
}

void AgentStreamOrigins::UpdateUsableAgents(TimePoint now) {
  bool changed = false;
  for (auto& [vm, agent] : m_agents) {
    const AgentRunId run = IsUsable(agent, now) ? agent.run : AgentRunId();
    if (agent.usable_run == run) continue;
    agent.usable_run = run;
    m_usable.erase(vm);
    if (run.IsValid()) m_usable.emplace(vm, run);
    changed = true;
  }
  if (changed) QueueStreamsWithoutHolders();
}

void AgentStreamOrigins::QueueStreamsWithoutHolders() {
  std::set<AgentRunId> usable;
  for (const auto& [vm, run] : m_usable) usable.insert(run);
  const auto needed =
      static_cast<std::ptrdiff_t>(std::min(kHolders, usable.size()));
  for (auto& [stream, recorded] : m_recorded) {
    const auto held =
        std::count_if(recorded.holders.begin(), recorded.holders.end(),
                      [&](AgentRunId run) { return usable.contains(run); });
    if (held >= needed || recorded.queued) continue;
    recorded.queued = true;
    m_without_holders.push_back(stream);
  }
}

void AgentStreamOrigins::FindNewHolders(TimePoint now) {
  for (size_t i = 0; i < kMaxMovedPerTick && !m_without_holders.empty(); ++i) {
    const StreamKey stream = std::move(m_without_holders.front());
    m_without_holders.pop_front();
    const auto found = m_recorded.find(stream);
    const auto known = m_memory.Find(stream, now);
    if (found == m_recorded.end()) continue;
    found->second.queued = false;
    // What is recorded with two versions does not have to be known.
    if (!known.has_value()) continue;
    SendToHolders(stream, &found->second, known->version, known->until - now,
                  /*only_new=*/true);
  }
}

void AgentStreamOrigins::DropExpiredStreams() {
  std::erase_if(m_recorded, [this](const auto& item) {
    return !m_memory.Contains(item.first);
  });
}

void AgentStreamOrigins::DropEndedAgents(TimePoint now) {
  std::erase_if(m_agents, [now](const auto& item) {
    const Agent& agent = item.second;
    return !agent.registered && !agent.usable_run.IsValid() &&
           now - agent.heard_at > kAgentAbsenceTimeout;
  });
}

void AgentStreamOrigins::LogRefusedSearches() {
  if (m_refused_searches == 0) return;
  m_board->log->Write("origin_searches_refused",
                      {{"count", std::exchange(m_refused_searches, 0)}});
}

bool AgentStreamOrigins::IsComplete(const Search& search) const {
  // An entry that has just started does not know which agents there are.
  if (search.wanted.empty()) {
    return m_board->upstreams.HasList() ||
           m_board->clock->Now() - m_started_at > kStartTime;
  }
  return std::all_of(
      search.wanted.begin(), search.wanted.end(),
      [&](const VmName& vm) { return search.answered.contains(vm); });
}

void AgentStreamOrigins::EndSearches(TimePoint now) {
  const bool agents_changed = std::exchange(m_agents_changed, false);
  std::vector<OriginSearchId> ended;
  for (auto& [id, search] : m_searches) {
    const bool is_decided =
        !search.origins.empty() || search.unknown_for.has_value();
    if (!is_decided && agents_changed) Ask(id, &search);
    if (is_decided || IsComplete(search) || now >= search.deadline) {
      ended.push_back(id);
    }
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

void AgentStreamOrigins::OnPeerUp(const Hello& peer) {
  Agent& agent = m_agents[peer.vm];
  if (!agent.connected || agent.incarnation != peer.incarnation) {
    agent.run = AgentRunId(++m_last_run);
  }
  agent.incarnation = peer.incarnation;
  agent.connected = true;
  agent.keeps_origins = peer.keeps_origins;
  agent.heard_at = m_board->clock->Now();
  m_agents_changed = true;
}

void AgentStreamOrigins::OnPeerDown(const VmName& vm) {
  const auto found = m_agents.find(vm);
  if (found == m_agents.end()) return;
  found->second.connected = false;
  for (auto& [id, search] : m_searches) search.asked.erase(vm);
  m_agents_changed = true;
}

void AgentStreamOrigins::OnMessage(const VmName& from, const Message& message) {
  const auto found = m_agents.find(from);
  if (found == m_agents.end()) return;
  found->second.heard_at = m_board->clock->Now();
  const auto* answer = std::get_if<StreamOriginAnswer>(&message);
  if (answer == nullptr) return;
  const auto search = m_searches.find(OriginSearchId(answer->id));
  if (search == m_searches.end() || search->second.asked.erase(from) == 0) {
    return;
  }
  search->second.answered.insert(from);
  if (!answer->version.IsValid()) return;
  search->second.origins.insert(answer->version);
}

}  // namespace burdockhill

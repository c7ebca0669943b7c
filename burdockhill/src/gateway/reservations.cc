#include "burdockhill/src/gateway/reservations.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// Time for an agent's answer to arrive after the wait has ended. Covers two
// network transits between regions and scheduling delays on a loaded VM.
constexpr Duration kAgentAnswerTime = std::chrono::milliseconds(120);
// An agent whose last message is older counts as disconnected. Load reports
// arrive at least twice a second.
constexpr Duration kAgentSilence = std::chrono::milliseconds(1800);
// Entries share an engine without an agent evenly. An entry is connected only
// to its seeds and to those that have it as a seed, and may thus count too few
// entries, so it assumes at least this many.
constexpr size_t kFewestEntries = 3;
// Backoff of an engine after a failed call; doubles with each further failure,
// up to the time until the registry drops a crashed engine.
constexpr Duration kFirstAvoidTime = std::chrono::milliseconds(150);
constexpr Duration kLongestAvoidTime = std::chrono::seconds(2);
// A single agent is asked if its engine has this multiple of the needed memory
// free.
constexpr int kPlenty = 2;
// Cost of an engine in another availability zone, as tokens of memory.
constexpr int64_t kOtherZoneTokens = 1500;

}  // namespace

AttemptId Reservations::NewAttempt(const std::string& caller_id) {
  return {HashRequestId(caller_id), ++m_last_number, m_options.incarnation};
}

void Reservations::FollowDirectory() {
  if (m_seen_version == m_board->upstreams.Version()) return;
  m_seen_version = m_board->upstreams.Version();
  std::vector<UpstreamName> gone;
  std::set<VmName> in_use;
  for (const auto& [name, upstream] : m_board->upstreams.All()) {
    if (!upstream.role.has_value()) continue;
    const std::optional<Address> address = ParseAddress(upstream.address);
    if (!address.has_value()) continue;
    Engine& engine = m_engines.FindOrInsert(name);
    const VmName agent(address->host);
    in_use.insert(agent);
    if (engine.agent == agent) continue;
    engine.agent = agent;
    engine.connected = false;
    m_peers->Connect(
        agent, address->host + ":" + std::to_string(m_options.agent_port));
  }
  std::set<VmName> unused;
  for (const auto& [name, engine] : m_engines) {
    if (m_board->upstreams.Find(name) != nullptr) continue;
    gone.push_back(name);
    if (!in_use.contains(engine.agent)) unused.insert(engine.agent);
  }
  for (const UpstreamName& name : gone) m_engines.Erase(name);
  for (const VmName& agent : unused) m_peers->Disconnect(agent);
}

UpstreamName Reservations::EngineOf(const VmName& agent) const {
  // A restarted engine has a new name on the same VM; the latest registration
  // is the one that runs.
  UpstreamName best;
  uint64_t best_revision = 0;
  for (const auto& [name, engine] : m_engines) {
    if (engine.agent != agent) continue;
    const RegisteredUpstream* upstream = m_board->upstreams.Find(name);
    if (upstream == nullptr || upstream->revision < best_revision) continue;
    best = name;
    best_revision = upstream->revision;
  }
  return best;
}

int64_t Reservations::Cost(const RegisteredUpstream& upstream,
                           const Engine& engine, const ZoneName& near) {
  const int64_t zone_cost = upstream.zone == near ? 0 : kOtherZoneTokens;
  const int64_t asked = engine.asked_since_report.Value() + zone_cost;
  return upstream.role == EngineRole::kPrefill
             ? engine.queued_prefill.Value() + asked
             : asked - engine.free.Value();
}

std::vector<UpstreamName> Reservations::Rank(const Pending& pending) const {
  const TimePoint now = m_board->clock->Now();
  std::vector<std::pair<int64_t, UpstreamName>> usable;
  std::vector<std::pair<int64_t, UpstreamName>> troubled;
  for (const RegisteredUpstream* upstream :
       m_board->upstreams.FindByService(pending.need.service)) {
    if (upstream->leaving || upstream->role != pending.need.role ||
        pending.need.excluded.contains(upstream->name) ||
        pending.asked.contains(upstream->name)) {
      continue;
    }
    const Engine* engine = m_engines.Find(upstream->name);
    if (engine == nullptr) continue;
    const int64_t cost = Cost(*upstream, *engine, pending.need.near);
    if (now >= engine->avoid_until) {
      usable.emplace_back(cost, upstream->name);
    } else if (engine->avoid_time < kLongestAvoidTime) {
      troubled.emplace_back(cost, upstream->name);
    }
  }
  // If all are in backoff, use those that have not reached the longest backoff.
  if (usable.empty()) usable = std::move(troubled);
  std::sort(usable.begin(), usable.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<UpstreamName> ranked;
  ranked.reserve(usable.size());
  for (auto& [cost, name] : usable) ranked.push_back(std::move(name));
  return ranked;
}

void Reservations::Ask(const AttemptId& attempt, const Need& need) {
  const TimePoint now = m_board->clock->Now();
  Pending& pending = m_pending.FindOrInsert(attempt);
  pending.need = need;
  pending.give_up_at = now + need.wait;
  pending.target_by = now + need.target_left;
  pending.local_at = now + need.local_after;
  size_t count = 1;
  if (need.role == EngineRole::kDecode) {
    const std::vector<UpstreamName> ranked = Rank(pending);
    const Engine* best =
        ranked.empty() ? nullptr : m_engines.Find(ranked.front());
    const int64_t plenty =
        kPlenty * (need.prompt.Value() + need.estimate.Value());
    const bool sure =
        best != nullptr && best->connected &&
        best->free.Value() - best->asked_since_report.Value() >= plenty;
    if (!sure) count = 2;
  }
  AskMore(attempt, &pending, count);
}

bool Reservations::AskMore(const AttemptId& attempt, Pending* pending,
                           size_t count) {
  if (pending->need.only_local) return false;
  size_t sent = 0;
  for (const UpstreamName& name : Rank(*pending)) {
    if (sent == count) break;
    Engine* engine = m_engines.Find(name);
    if (!engine->connected) continue;
    SendAsk(attempt, pending, name, engine);
    ++sent;
  }
  return sent > 0;
}

void Reservations::SendAsk(const AttemptId& attempt, Pending* pending,
                           const UpstreamName& name, Engine* engine) {
  const TimePoint now = m_board->clock->Now();
  const Need& need = pending->need;
  const Duration wait = std::max(pending->give_up_at - now, Duration(0));
  const Duration target_left = std::max(pending->target_by - now, Duration(0));
  if (need.role == EngineRole::kDecode) {
    m_peers->Send(engine->agent,
                  ReserveDecode{attempt, need.service, RequestClass::kStandard,
                                need.prompt, need.estimate, wait, target_left,
                                need.priority});
  } else {
    m_peers->Send(engine->agent, ReservePrefill{attempt, need.prompt, wait,
                                                target_left, need.priority});
  }
  engine->asked_since_report += need.prompt + need.estimate;
  pending->asked.insert(name);
}

bool Reservations::AskLocal(const AttemptId& attempt, Pending* pending) {
  if (!pending->need.local.IsValid()) return false;
  const UpstreamName name = std::exchange(pending->need.local, UpstreamName());
  Engine* engine = m_engines.Find(name);
  if (engine == nullptr || !engine->connected) return false;
  SendAsk(attempt, pending, name, engine);
  return true;
}

bool Reservations::TryFallback(const AttemptId& attempt, Pending* pending) {
  const TimePoint now = m_board->clock->Now();
  const Need& need = pending->need;
  if (need.only_local) return false;
  const Service* service = m_board->routes.FindService(need.service);
  if (service == nullptr || !service->engine.has_value()) return false;
  const size_t entries =
      std::max(m_board->connected_entries + 1, kFewestEntries);
  const double share = 1.0 / static_cast<double>(entries);
  for (const UpstreamName& name : Rank(*pending)) {
    Engine* engine = m_engines.Find(name);
    if (engine->connected) continue;
    if (need.role == EngineRole::kDecode) {
      engine->fallback.SetCapacity(service->engine->memory,
                                   service->engine->slots);
      if (!engine->fallback.Fits(need.prompt, need.estimate, share)) {
        continue;
      }
      engine->fallback.Reserve(attempt, need.prompt, need.estimate, now);
    }
    pending->by_fallback = true;
    m_board->log->Write(
        "reserved_without_agent",
        {{"engine", name.Value()}, {"agent", engine->agent.Value()}});
    Grant(attempt, name);
    return true;
  }
  return false;
}

void Reservations::Withdraw(const AttemptId& attempt,
                            const UpstreamName& engine_name) {
  const Engine* engine = m_engines.Find(engine_name);
  if (engine != nullptr) m_peers->Send(engine->agent, CancelAttempt{attempt});
}

void Reservations::Grant(const AttemptId& attempt, const UpstreamName& engine) {
  Pending* pending = m_pending.Find(attempt);
  if (pending == nullptr || pending->settled) return Withdraw(attempt, engine);
  pending->settled = true;
  pending->granted = engine;
  for (const UpstreamName& other : pending->asked) {
    if (other != engine) Withdraw(attempt, other);
  }
  m_events->OnReserved(attempt, engine);
}

void Reservations::Refused(const AttemptRefused& refusal,
                           const UpstreamName& engine) {
  Pending* pending = m_pending.Find(refusal.attempt);
  if (pending == nullptr || pending->settled) return;
  pending->asked.erase(engine);
  pending->need.excluded.insert(engine);
  if (refusal.kind != ErrorKind::kOverloaded) return;
  pending->overloaded = true;
  if (pending->retry_after == Duration(0) ||
      refusal.retry_after < pending->retry_after) {
    pending->retry_after = refusal.retry_after;
  }
}

void Reservations::Release(const AttemptId& attempt) {
  const Pending* pending = m_pending.Find(attempt);
  if (pending == nullptr) return;
  if (pending->by_fallback) {
    if (Engine* engine = m_engines.Find(pending->granted)) {
      engine->fallback.Release(attempt);
    }
  } else if (pending->settled) {
    Withdraw(attempt, pending->granted);
  } else {
    for (const UpstreamName& engine : pending->asked) Withdraw(attempt, engine);
  }
  m_pending.Erase(attempt);
}

void Reservations::Avoid(Engine* engine, Duration time) {
  engine->avoid_time = time;
  engine->avoid_until = m_board->clock->Now() + time;
}

void Reservations::NoteTrouble(const UpstreamName& name) {
  Engine* engine = m_engines.Find(name);
  if (engine == nullptr) return;
  Avoid(engine,
        std::clamp(2 * engine->avoid_time, kFirstAvoidTime, kLongestAvoidTime));
}

void Reservations::NoteUnreachable(const UpstreamName& name) {
  if (Engine* engine = m_engines.Find(name)) Avoid(engine, kLongestAvoidTime);
}

void Reservations::NoteAnswer(const UpstreamName& name) {
  if (Engine* engine = m_engines.Find(name)) engine->avoid_time = Duration(0);
}

void Reservations::Tick() {
  FollowDirectory();
  const TimePoint now = m_board->clock->Now();
  std::vector<VmName> silent;
  for (auto& [name, engine] : m_engines) {
    if (engine.connected && now - engine.heard_at > kAgentSilence) {
      silent.push_back(engine.agent);
    }
  }
  for (const VmName& agent : silent) {
    OnPeerDown(agent);
    const RegisteredUpstream* upstream =
        m_board->upstreams.Find(EngineOf(agent));
    if (upstream == nullptr) continue;
    m_peers->Connect(
        agent, agent.Value() + ":" + std::to_string(m_options.agent_port));
  }
  std::vector<AttemptId> open;
  for (const auto& [attempt, pending] : m_pending) {
    if (!pending.settled) open.push_back(attempt);
  }
  for (const AttemptId& attempt : open) {
    Pending* pending = m_pending.Find(attempt);
    if (pending == nullptr || pending->settled) continue;
    if (now > pending->give_up_at + kAgentAnswerTime) {
      // These agents have not answered.
      for (const UpstreamName& engine : std::exchange(pending->asked, {})) {
        Withdraw(attempt, engine);
        pending->need.excluded.insert(engine);
      }
    }
    if (now >= pending->local_at) AskLocal(attempt, pending);
    if (!pending->asked.empty()) continue;
    const bool in_time = now < pending->give_up_at;
    if (in_time && AskMore(attempt, pending, 1)) continue;
    if (in_time && AskLocal(attempt, pending)) continue;
    if (TryFallback(attempt, pending)) continue;
    const Duration retry_after = pending->retry_after;
    const ErrorKind kind =
        pending->overloaded ? ErrorKind::kOverloaded : ErrorKind::kNoUpstream;
    m_pending.Erase(attempt);
    m_events->OnNotReserved(attempt, kind, retry_after);
  }
}

void Reservations::OnPeerUp(const Hello& peer) {
  for (auto& [name, engine] : m_engines) {
    if (engine.agent != peer.vm) continue;
    engine.connected = true;
    engine.heard_at = m_board->clock->Now();
    engine.asked_since_report = Tokens(0);
  }
  m_board->log->Write("agent_up", {{"agent", peer.vm.Value()}});
}

void Reservations::OnPeerDown(const VmName& vm) {
  bool was_connected = false;
  for (auto& [name, engine] : m_engines) {
    if (engine.agent != vm) continue;
    was_connected = was_connected || engine.connected;
    engine.connected = false;
    for (auto& [attempt, pending] : m_pending) {
      if (!pending.settled) pending.asked.erase(name);
    }
  }
  if (was_connected) m_board->log->Write("agent_down", {{"agent", vm.Value()}});
}

void Reservations::OnMessage(const VmName& from, const Message& message) {
  const UpstreamName name = EngineOf(from);
  Engine* engine = m_engines.Find(name);
  if (engine == nullptr) return;
  engine->connected = true;
  engine->heard_at = m_board->clock->Now();
  if (const auto* report = std::get_if<LoadReport>(&message)) {
    if (report->engines.empty()) return;
    const EngineLoad& load = report->engines.front();
    engine->free = Tokens(load.free_pieces.Value() * kReportedPiece.Value());
    engine->asked_since_report = Tokens(0);
    engine->queued_prefill = load.queued_prefill;
  } else if (const auto* granted = std::get_if<ReserveGranted>(&message)) {
    Grant(granted->attempt, name);
  } else if (const auto* refused = std::get_if<AttemptRefused>(&message)) {
    Refused(*refused, name);
  }
}

}  // namespace burdockhill

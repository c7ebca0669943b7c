#include "burdockhill/src/gateway/reservations.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// Time for an agent's answer to arrive after the wait has ended. Covers two
// network transits between regions and scheduling delays on a loaded VM.
constexpr Duration kAgentAnswerGracePeriod = std::chrono::milliseconds(120);
// Entries share an engine without an agent evenly. An entry is connected only
// to its seeds and to those that have it as a seed, and may thus count too few
// entries, so it assumes at least this many.
constexpr size_t kMinAssumedEntries = 3;
// Earliest time to come back to engines that may have room already: that of the
// next load reports.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
// Time between two decisions on a request that waits. Load reports arrive every
// 100 ms or more.
constexpr Duration kPlanInterval = std::chrono::milliseconds(50);

}  // namespace

AttemptId Reservations::NewAttempt(const std::string& caller_id) {
  return {HashRequestId(caller_id), ++m_last_attempt_number,
          m_options.incarnation};
}

std::vector<const RegisteredUpstream*> Reservations::FindCandidates(
    const ActiveReservation& active, bool with_agent) const {
  const TimePoint now = m_board->clock->Now();
  std::vector<const RegisteredUpstream*> usable;
  std::vector<const RegisteredUpstream*> in_backoff;
  for (const RegisteredUpstream* upstream :
       m_board->upstreams.FindByService(active.requirement.service)) {
    if (upstream->leaving || upstream->role != active.requirement.role ||
        !FitsVersion(*upstream, active.requirement.version) ||
        m_board->pauses.IsPaused(*upstream, now) ||
        active.requirement.excluded_engines.contains(upstream->name) ||
        active.asked.contains(upstream->name)) {
      continue;
    }
    const Engine* engine = m_engines.Find(upstream->name);
    if (engine == nullptr) continue;
    if (now >= engine->backoff_until) {
      usable.push_back(upstream);
    } else if (engine->backoff < kMaxBackoff) {
      in_backoff.push_back(upstream);
    }
  }
  // If every engine is in backoff, those below the longest backoff are used:
  // an engine that fails some calls is better than none.
  if (usable.empty()) usable = std::move(in_backoff);
  std::erase_if(usable, [&](const RegisteredUpstream* upstream) {
    return m_engines.Find(upstream->name)->agent_connected != with_agent;
  });
  return usable;
}

EngineDemand Reservations::DemandOf(const ActiveReservation& active) const {
  const TimePoint now = m_board->clock->Now();
  const Requirement& requirement = active.requirement;
  EngineDemand demand;
  demand.role = requirement.role;
  demand.prompt = requirement.prompt_tokens;
  demand.expected_output = requirement.expected_output_tokens;
  demand.max_wait = active.grant_deadline - now;
  demand.target_left = active.target_by - now;
  demand.priority = requirement.priority;
  return demand;
}

PlacementPath Reservations::PathOf(const ActiveReservation& active) const {
  const Requirement& requirement = active.requirement;
  PlacementPath path;
  path.entry = m_board->zone;
  path.request_bytes = requirement.request_bytes;
  const Service* service = m_board->routes.FindService(requirement.service);
  if (service != nullptr && service->engine.has_value()) {
    path.limits = *service->engine;
  }
  if (requirement.role == EngineRole::kPrefill) {
    if (requirement.decode_zone.IsValid()) {
      path.kv_ends.push_back(requirement.decode_zone);
    }
    return path;
  }
  for (const RegisteredUpstream* upstream :
       m_board->upstreams.FindByService(requirement.service)) {
    const bool computes_prompts = upstream->role == EngineRole::kPrefill &&
                                  !upstream->leaving &&
                                  FitsVersion(*upstream, requirement.version);
    if (!computes_prompts) continue;
    if (std::find(path.kv_ends.begin(), path.kv_ends.end(), upstream->zone) ==
        path.kv_ends.end()) {
      path.kv_ends.push_back(upstream->zone);
    }
  }
  return path;
}

void Reservations::Reserve(const AttemptId& attempt,
                           const Requirement& requirement) {
  const TimePoint now = m_board->clock->Now();
  ActiveReservation& active = m_active_reservations.FindOrInsert(attempt);
  active.requirement = requirement;
  active.grant_deadline = now + requirement.max_wait;
  active.target_by = now + requirement.target_left;
  active.local_due_at = now + requirement.local_delay;
  AskAgents(attempt, &active, /*asked=*/0);
}

EnginePlacement::Plan Reservations::MakePlan(ActiveReservation* active,
                                             size_t asked) {
  if (active->requirement.local_only) return {};
  const TimePoint now = m_board->clock->Now();
  EnginePlacement::Plan plan = m_placement.Decide(
      DemandOf(*active), FindCandidates(*active, /*with_agent=*/true), asked,
      PathOf(*active), now, m_board->random);
  if (asked == 0) {
    active->capacity_at.reset();
    if (plan.expected_in.has_value()) {
      active->capacity_at = now + *plan.expected_in;
    }
  }
  return plan;
}

bool Reservations::AskAgents(const AttemptId& attempt,
                             ActiveReservation* active, size_t asked) {
  const EnginePlacement::Plan plan = MakePlan(active, asked);
  if (asked == 0 && !plan.ask.empty()) {
    active->queue_engine = plan.ask.front();
    active->is_queued = !plan.has_room;
  }
  for (const UpstreamName& name : plan.ask) {
    SendReservation(attempt, active, name, m_engines.Find(name));
  }
  return !plan.ask.empty();
}

void Reservations::SendReservation(const AttemptId& attempt,
                                   ActiveReservation* active,
                                   const UpstreamName& name, Engine* engine) {
  const TimePoint now = m_board->clock->Now();
  const Requirement& requirement = active->requirement;
  const Duration wait = std::max(active->grant_deadline - now, Duration(0));
  const Duration target_left = std::max(active->target_by - now, Duration(0));
  if (requirement.role == EngineRole::kDecode) {
    m_peers->Send(
        engine->agent,
        ReserveDecode{attempt, requirement.service, RequestClass::kStandard,
                      requirement.prompt_tokens,
                      requirement.expected_output_tokens, wait, target_left,
                      requirement.priority, requirement.team});
  } else {
    m_peers->Send(
        engine->agent,
        ReservePrefill{attempt, requirement.prompt_tokens, wait, target_left,
                       requirement.priority, requirement.team});
  }
  m_placement.Outlook(name).RecordAsked(
      attempt, requirement.prompt_tokens + requirement.expected_output_tokens);
  active->asked[name] = now;
}

bool Reservations::AskLocalEngine(const AttemptId& attempt,
                                  ActiveReservation* active) {
  if (!active->requirement.local_engine.IsValid()) return false;
  const UpstreamName name =
      std::exchange(active->requirement.local_engine, UpstreamName());
  Engine* engine = m_engines.Find(name);
  if (engine == nullptr || !engine->agent_connected) return false;
  SendReservation(attempt, active, name, engine);
  return true;
}

bool Reservations::ReserveWithoutAgent(const AttemptId& attempt,
                                       ActiveReservation* active) {
  const TimePoint now = m_board->clock->Now();
  const Requirement& requirement = active->requirement;
  if (requirement.local_only) return false;
  const Service* service = m_board->routes.FindService(requirement.service);
  if (service == nullptr || !service->engine.has_value()) return false;
  const size_t entries =
      std::max(m_board->connected_entries + 1, kMinAssumedEntries);
  const double share = 1.0 / static_cast<double>(entries);
  for (const UpstreamName& name : m_placement.Rank(
           DemandOf(*active), FindCandidates(*active, /*with_agent=*/false),
           PathOf(*active), now, m_board->random)) {
    Engine* engine = m_engines.Find(name);
    if (requirement.role == EngineRole::kDecode) {
      engine->fallback_ledger.SetCapacity(service->engine->memory,
                                          service->engine->slots);
      if (!engine->fallback_ledger.Fits(requirement.prompt_tokens,
                                        requirement.expected_output_tokens,
                                        share)) {
        continue;
      }
      engine->fallback_ledger.Reserve(attempt, requirement.prompt_tokens,
                                      requirement.expected_output_tokens, now);
    }
    active->granted_without_agent = true;
    m_board->log->Write(
        "reserved_without_agent",
        {{"engine", name.Value()}, {"agent", engine->agent.Value()}});
    AcceptGrant(attempt, name);
    return true;
  }
  return false;
}

void Reservations::Cancel(const AttemptId& attempt,
                          const UpstreamName& engine_name) {
  const Engine* engine = m_engines.Find(engine_name);
  if (engine == nullptr) return;
  m_placement.Outlook(engine_name).RecordWithdrawn(attempt);
  m_peers->Send(engine->agent, CancelAttempt{attempt});
}

void Reservations::AcceptGrant(const AttemptId& attempt,
                               const UpstreamName& engine) {
  ActiveReservation* active = m_active_reservations.Find(attempt);
  if (active == nullptr || active->is_granted) return Cancel(attempt, engine);
  active->is_granted = true;
  active->granted_engine = engine;
  for (const auto& [other, asked_at] : active->asked) {
    if (other != engine) Cancel(attempt, other);
  }
  m_events->OnReserved(attempt, engine);
}

bool Reservations::IsRegisteredProcess(const UpstreamName& engine,
                                       int64_t started_at_ms) const {
  const RegisteredUpstream* upstream = m_board->upstreams.Find(engine);
  if (upstream == nullptr || started_at_ms == 0) return true;
  return upstream->started_at_ms == 0 ||
         upstream->started_at_ms == started_at_ms;
}

bool Reservations::IsFromBeforeStandstill(const ActiveReservation& active,
                                          const UpstreamName& engine) const {
  const auto asked = active.asked.find(engine);
  return asked != active.asked.end() && asked->second < m_ran_again_at;
}

bool Reservations::IsOutdated(const AttemptId& attempt) {
  NoticeStandstill();
  const ActiveReservation* active = m_active_reservations.Find(attempt);
  return active != nullptr && active->is_granted &&
         IsFromBeforeStandstill(*active, active->granted_engine);
}

void Reservations::ReturnGrant(const AttemptId& attempt,
                               const UpstreamName& engine) {
  m_board->log->Write("late_grant", {{"engine", engine.Value()}});
  Cancel(attempt, engine);
  ActiveReservation* active = m_active_reservations.Find(attempt);
  active->asked.erase(engine);
  active->grant_deadline = std::max(
      active->grant_deadline, m_board->clock->Now() + kAgentAnswerGracePeriod);
}

void Reservations::RejectGrant(const ReserveGranted& grant,
                               const UpstreamName& engine) {
  m_board->log->Write("engine_restarted", {{"engine", engine.Value()}});
  Cancel(grant.attempt, engine);
  HandleRefusal({grant.attempt, ErrorKind::kNoUpstream, Duration(0)}, engine);
}

void Reservations::HandleRefusal(const AttemptRefused& refusal,
                                 const UpstreamName& engine) {
  ActiveReservation* active = m_active_reservations.Find(refusal.attempt);
  if (active == nullptr || active->is_granted) return;
  const TimePoint now = m_board->clock->Now();
  EngineOutlook& outlook = m_placement.Outlook(engine);
  outlook.RecordWithdrawn(refusal.attempt);
  active->asked.erase(engine);
  if (refusal.kind != ErrorKind::kOverloaded) {
    active->requirement.excluded_engines.insert(engine);
    outlook.RecordClosed(active->requirement.role, refusal.retry_after, now);
    return;
  }
  active->has_full_engine = true;
  if (refusal.retry_after <= Duration(0)) {
    active->requirement.excluded_engines.insert(engine);
    return;
  }
  outlook.RecordRefusal(DemandOf(*active), refusal.retry_after, now);
}

void Reservations::Release(const AttemptId& attempt) {
  const ActiveReservation* active = m_active_reservations.Find(attempt);
  if (active == nullptr) return;
  if (active->granted_without_agent) {
    if (Engine* engine = m_engines.Find(active->granted_engine)) {
      engine->fallback_ledger.Release(attempt);
    }
  } else if (active->is_granted) {
    Cancel(attempt, active->granted_engine);
  } else {
    for (const auto& [engine, asked_at] : active->asked) {
      Cancel(attempt, engine);
    }
  }
  m_active_reservations.Erase(attempt);
}

void Reservations::GiveUpAsked(const AttemptId& attempt,
                               ActiveReservation* active) {
  for (const auto& [engine, asked_at] : std::exchange(active->asked, {})) {
    Cancel(attempt, engine);
    active->requirement.excluded_engines.insert(engine);
  }
}

void Reservations::LeaveOtherQueues(const AttemptId& attempt,
                                    ActiveReservation* active) {
  const bool may_be_on_time = m_board->clock->Now() < active->target_by;
  if (active->requirement.role != EngineRole::kDecode || may_be_on_time) return;
  std::vector<UpstreamName> queued;
  for (const auto& [engine, asked_at] : active->asked) {
    if (engine != active->queue_engine) queued.push_back(engine);
  }
  if (!active->asked.contains(active->queue_engine)) {
    // The first engine has refused, so that the next one takes its place.
    if (queued.empty()) return;
    active->queue_engine = queued.back();
    queued.pop_back();
  }
  for (const UpstreamName& engine : queued) {
    Cancel(attempt, engine);
    active->asked.erase(engine);
    active->is_queued = true;
  }
}

bool Reservations::AwaitCapacity(ActiveReservation* active) {
  if (!active->capacity_at.has_value() ||
      *active->capacity_at >= active->grant_deadline) {
    return false;
  }
  active->awaits_until = m_board->clock->Now() + kPlanInterval;
  return true;
}

void Reservations::Refuse(const AttemptId& attempt,
                          const ActiveReservation& active) {
  const bool is_full = active.has_full_engine || active.capacity_at.has_value();
  const Duration retry_after =
      active.capacity_at.has_value()
          ? std::max(*active.capacity_at - m_board->clock->Now(),
                     kMinRetryAfter)
          : Duration(0);
  m_active_reservations.Erase(attempt);
  m_events->OnNotReserved(
      attempt, is_full ? ErrorKind::kOverloaded : ErrorKind::kNoUpstream,
      retry_after);
}

void Reservations::Advance(const AttemptId& attempt,
                           ActiveReservation* active) {
  const TimePoint now = m_board->clock->Now();
  if (now > active->grant_deadline + kAgentAnswerGracePeriod) {
    GiveUpAsked(attempt, active);
  }
  if (now >= active->local_due_at) AskLocalEngine(attempt, active);
  const bool may_wait = now < active->grant_deadline;
  if (!active->asked.empty()) {
    if (!may_wait) return;
    LeaveOtherQueues(attempt, active);
    const size_t asked =
        AreAskedAgentsSilent(*active) ? 0 : active->asked.size();
    const bool is_due = active->is_queued && now >= active->next_plan_at;
    if (!is_due && asked > 0) return;
    active->next_plan_at = now + kPlanInterval;
    AskAgents(attempt, active, asked);
    return;
  }
  if (may_wait && now < active->awaits_until) return;
  if (may_wait && AskAgents(attempt, active, /*asked=*/0)) return;
  if (may_wait && AskLocalEngine(attempt, active)) return;
  if (!may_wait) MakePlan(active, /*asked=*/0);
  if (ReserveWithoutAgent(attempt, active)) return;
  if (may_wait && AwaitCapacity(active)) return;
  Refuse(attempt, *active);
}

void Reservations::Tick() {
  NoticeStandstill();
  SyncWithDirectory();
  m_pool_rates.Tick();
  m_last_tick_at = m_board->clock->Now();
  ReconnectSilentAgents();
  std::vector<AttemptId> waiting;
  for (const auto& [attempt, active] : m_active_reservations) {
    if (!active.is_granted) waiting.push_back(attempt);
  }
  for (const AttemptId& attempt : waiting) {
    ActiveReservation* active = m_active_reservations.Find(attempt);
    if (active != nullptr && !active->is_granted) Advance(attempt, active);
  }
}

void Reservations::OnMessage(const VmName& from, const Message& message) {
  const UpstreamName name = FindEngine(from);
  Engine* engine = m_engines.Find(name);
  if (engine == nullptr) return;
  NoticeStandstill();
  engine->agent_connected = true;
  m_board->upstreams.Confirm(name);
  engine->last_heard_at = m_board->clock->Now();
  if (const auto* report = std::get_if<LoadReport>(&message)) {
    if (report->engines.empty()) return;
    m_pool_rates.OnLoadReport(from, *report);
    m_placement.Outlook(name).ApplyReport(*report, m_board->clock->Now());
  } else if (const auto* granted = std::get_if<ReserveGranted>(&message)) {
    if (!IsRegisteredProcess(name, granted->engine_started_at_ms)) {
      return RejectGrant(*granted, name);
    }
    const ActiveReservation* active =
        m_active_reservations.Find(granted->attempt);
    if (active != nullptr && !active->is_granted &&
        IsFromBeforeStandstill(*active, name)) {
      return ReturnGrant(granted->attempt, name);
    }
    AcceptGrant(granted->attempt, name);
  } else if (const auto* refused = std::get_if<AttemptRefused>(&message)) {
    HandleRefusal(*refused, name);
  }
}

}  // namespace burdockhill

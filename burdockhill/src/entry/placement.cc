#include "burdockhill/src/entry/placement.h"

#include <algorithm>
#include <utility>

#include "burdockhill/src/entry/request_operations.h"

namespace burdockhill {

namespace {

constexpr char kComponent[] = "placement";
// Agents asked for a decode slot at the same time.
constexpr size_t kParallelReservations = 2;
// Added to the load of an upstream in another zone, as a share of its slots.
constexpr double kOtherZonePenalty = 0.05;
// Largest random addition to a score, so that entries do not all choose the
// same upstream.
constexpr double kScoreJitter = 0.02;
// One part in this many of the time left for the first token is kept for the
// prefill and the transfer of the KV cache; the rest is for the reservation.
constexpr int64_t kPrefillShareDivisor = 4;

// Running and waiting requests per decode slot; above 1 there is a queue.
// Negative if the upstream has no healthy decode engine.
double DecodeLoad(const UpstreamView& view) {
  int64_t slots = 0;
  int64_t demand = view.requests_since_report;
  for (const EngineLoad& engine : view.report->engines) {
    if (engine.role != EngineRole::kDecode || !engine.healthy) continue;
    slots += engine.slots;
    demand += engine.running;
    // Each engine reports the queue of the whole agent; it is counted once.
    demand += slots == engine.slots ? engine.waiting : 0;
  }
  if (slots == 0) return -1.0;
  return static_cast<double>(demand) / static_cast<double>(slots);
}

// Calls in flight, scaled so that the zone penalty weighs as much as five of
// them. Negative if the plain service is down.
double CallLoad(const UpstreamView& view) {
  if (view.report->engines.empty()) return -1.0;
  const EngineLoad& back_end = view.report->engines.front();
  if (!back_end.healthy) return -1.0;
  constexpr double kScale = 0.01;
  return kScale *
         static_cast<double>(back_end.running + view.requests_since_report);
}

}  // namespace

void Placement::Tick() {
  for (const RequestId& id : std::exchange(m_board->to_place, {})) {
    Request* request = m_board->requests.Find(id);
    if (request == nullptr ||
        request->phase != RequestPhase::kAwaitingPlacement) {
      continue;
    }
    ++request->placements;
    if (request->inbound.plain) {
      PlaceCall(request);
    } else {
      PlaceModel(request);
    }
  }
}

void Placement::OnGranted(const VmName& from, const ReserveGranted& granted) {
  Request* request = internal::FindActiveRequest(m_board, granted.attempt);
  if (request == nullptr) {
    const EntryAttempt* attempt = m_board->attempts.Find(granted.attempt);
    if (attempt == nullptr) m_peers->Send(from, CancelAttempt{granted.attempt});
    return;
  }
  if (request->decode_attempt == granted.attempt) return;
  if (request->phase != RequestPhase::kReserving) {
    internal::ReleaseAttempt(m_board, granted.attempt);
    return;
  }
  request->phase = RequestPhase::kPrefilling;
  request->decode_attempt = granted.attempt;
  const std::set<AttemptId> attempts = request->attempts;
  for (const AttemptId& other : attempts) {
    if (other != granted.attempt) internal::ReleaseAttempt(m_board, other);
  }
  internal::RecordDecision(
      m_board, request->inbound.id, kComponent,
      "decode slot granted by " + from.Value() + " on " +
          granted.engine.Value() + " after " +
          internal::FormatMilliseconds(m_board->now - request->arrived_at));
  m_board->to_prefill.push_back(request->inbound.id);
}

void Placement::PlaceModel(Request* request) {
  const std::vector<UpstreamView*> candidates = FindCandidates(*request);
  if (candidates.empty()) return EndUnplaced(request);
  // The limit of the first token no longer applies once tokens were delivered.
  const Duration time_left = request->sent_tokens > 0
                                 ? Duration(std::chrono::seconds(5))
                                 : request->first_token_deadline - m_board->now;
  const Duration wait_budget = time_left - time_left / kPrefillShareDivisor;
  if (wait_budget <= Duration(0)) {
    return internal::EndWithError(m_board, request,
                                  ErrorKind::kDeadlineInfeasible, kComponent);
  }
  request->phase = RequestPhase::kReserving;
  request->last_progress_at = m_board->now;
  std::string asked_vms;
  const size_t count = std::min(kParallelReservations, candidates.size());
  for (size_t i = 0; i < count; ++i) {
    UpstreamView* view = candidates[i];
    const EntryAttempt& attempt = internal::AddAttempt(
        m_board, request, view->vm, EntryAttemptKind::kDecode);
    ++view->requests_since_report;
    ReserveDecode reserve;
    reserve.attempt = attempt.id;
    reserve.service = request->inbound.service;
    reserve.request_class = request->request_class;
    reserve.prompt = request->inbound.prompt_tokens;
    reserve.expected_output = request->max_output;
    reserve.wait_budget = wait_budget;
    m_peers->Send(view->vm, reserve);
    asked_vms += (i == 0 ? "" : " and ") + view->vm.Value();
  }
  internal::RecordDecision(m_board, request->inbound.id, kComponent,
                           "asked " + asked_vms + " of " +
                               std::to_string(candidates.size()) +
                               " for a decode slot within " +
                               internal::FormatMilliseconds(wait_budget));
}

void Placement::PlaceCall(Request* request) {
  const std::vector<UpstreamView*> candidates = FindCandidates(*request);
  if (candidates.empty()) return EndUnplaced(request);
  UpstreamView* view = candidates.front();
  const EntryAttempt& attempt =
      internal::AddAttempt(m_board, request, view->vm, EntryAttemptKind::kCall);
  request->phase = RequestPhase::kCalling;
  request->last_progress_at = m_board->now;
  ++request->possible_executions;
  ++view->requests_since_report;
  CallService call;
  call.attempt = attempt.id;
  call.service = request->inbound.service;
  call.method = request->inbound.method;
  call.path = request->inbound.path;
  call.content_type = request->inbound.content_type;
  call.idempotency_key = request->inbound.idempotency_key;
  call.body = request->inbound.body;
  call.timeout = request->call_timeout;
  m_peers->Send(view->vm, std::move(call));
  internal::RecordDecision(m_board, request->inbound.id, kComponent,
                           "sent to " + view->vm.Value() + ", 1 of " +
                               std::to_string(candidates.size()));
}

std::vector<UpstreamView*> Placement::FindCandidates(
    const Request& request) const {
  struct Scored {
    double score;
    UpstreamView* view;
  };
  std::vector<Scored> local;
  std::vector<Scored> remote;
  for (auto& [vm, view] : m_board->upstreams) {
    if (!view.Takes(request)) continue;
    const double load =
        request.inbound.plain ? CallLoad(view) : DecodeLoad(view);
    if (load < 0.0) continue;
    const double zone_penalty =
        view.zone == m_board->self.zone ? 0.0 : kOtherZonePenalty;
    const double score =
        load + zone_penalty + kScoreJitter * m_board->random->UniformDouble();
    const bool is_local = view.region == m_board->self.region;
    (is_local ? local : remote).push_back({score, &view});
  }
  const RoutingPolicy& policy =
      m_board->configuration->PolicyFor(request.policy);
  const bool may_use_other_region =
      policy.region_rule == RegionRule::kPreferLocal;
  std::vector<Scored>& chosen =
      local.empty() && may_use_other_region ? remote : local;
  std::sort(chosen.begin(), chosen.end(),
            [](const Scored& a, const Scored& b) { return a.score < b.score; });
  std::vector<UpstreamView*> views;
  views.reserve(chosen.size());
  for (const Scored& scored : chosen) views.push_back(scored.view);
  return views;
}

void Placement::EndUnplaced(Request* request) {
  const ErrorKind kind = request->excluded_vms.empty() ? ErrorKind::kNoUpstream
                                                       : ErrorKind::kOverloaded;
  internal::EndWithError(m_board, request, kind, kComponent);
}

}  // namespace burdockhill

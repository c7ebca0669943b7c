#include "burdockhill/src/entry/entry_core.h"

#include <cassert>
#include <utility>

#include "burdockhill/src/entry/request_operations.h"

namespace burdockhill {

EntryCore::EntryCore(const EntryIdentity& self, const Clock* clock,
                     Random* random, PeerLink* peers, ObjectStore* store,
                     CallerPort* callers)
    : m_clock(clock),
      m_peers(peers),
      m_board(random),
      m_membership(&m_board, peers, store),
      m_configuration(&m_board, peers, store),
      m_coordinator(&m_board, peers, store),
      m_admission(&m_board),
      m_placement(&m_board, peers),
      m_prefill(&m_board, peers),
      m_streaming(&m_board, peers, callers),
      m_retrying(&m_board),
      m_deadlines(&m_board),
      m_answering(&m_board, callers),
      m_releasing(&m_board, peers) {
  m_board.self = self;
  UpdateNow();
}

void EntryCore::Submit(CallerRequest inbound) {
  UpdateNow();
  assert(inbound.id.IsValid() && "a request needs a valid id before Submit");
  Request& request = m_board.requests.FindOrInsert(inbound.id);
  request.inbound = std::move(inbound);
  request.arrived_at = m_board.now;
  request.last_progress_at = m_board.now;
  m_board.to_admit.push_back(request.inbound.id);
}

void EntryCore::OnCallerDisconnected(RequestId id) {
  UpdateNow();
  Request* request = m_board.requests.Find(id);
  if (request == nullptr) return;
  request->caller_disconnected = true;
  internal::EndWithError(&m_board, request, ErrorKind::kCallerGone, "caller");
}

void EntryCore::Leave() { m_board.leaving = true; }

void EntryCore::EndRequests() {
  UpdateNow();
  for (auto& [id, request] : m_board.requests) {
    const bool may_have_run = request.possible_executions > 0;
    internal::EndWithError(
        &m_board, &request,
        may_have_run ? ErrorKind::kTimeout : ErrorKind::kLeaving, "shutdown");
  }
}

void EntryCore::Tick() {
  // Work that a controller queues for one that has already run is done in the
  // next pass. A request needs few passes, so the limit is rarely reached; what
  // is left after the last pass waits for the next call.
  constexpr int kMaxPasses = 8;
  UpdateNow();
  m_membership.Tick();
  m_configuration.Tick();
  m_coordinator.Tick();
  m_deadlines.Tick();
  for (int pass = 0; pass < kMaxPasses; ++pass) {
    m_retrying.Tick();
    m_admission.Tick();
    m_placement.Tick();
    m_prefill.Tick();
    m_streaming.Tick();
    m_answering.Tick();
    if (!HasQueuedWork()) break;
  }
  m_releasing.Tick();
}

bool EntryCore::HasQueuedWork() const {
  return !m_board.attempt_ends.empty() || !m_board.lost_agents.empty() ||
         !m_board.to_admit.empty() || !m_board.to_place.empty() ||
         !m_board.to_prefill.empty() || !m_board.to_decode.empty() ||
         !m_board.to_answer.empty();
}

void EntryCore::OnPeerUp(const Hello& peer) {
  UpdateNow();
  m_membership.OnPeerUp(peer);
  m_configuration.OnPeerUp(peer);
}

void EntryCore::OnPeerDown(const VmName& vm) {
  UpdateNow();
  m_membership.OnPeerDown(vm);
}

void EntryCore::OnMessage(const VmName& from, const Message& message) {
  UpdateNow();
  m_membership.RecordActivity(from);
  if (const auto* m = std::get_if<StreamChunk>(&message)) {
    m_streaming.OnChunk(from, *m);
  } else if (const auto* m = std::get_if<ReserveGranted>(&message)) {
    m_placement.OnGranted(from, *m);
  } else if (const auto* m = std::get_if<PrefillDone>(&message)) {
    m_prefill.OnPrefillDone(from, *m);
  } else if (const auto* m = std::get_if<CallAnswered>(&message)) {
    m_streaming.OnCallAnswered(*m);
  } else if (const auto* m = std::get_if<AttemptRefused>(&message)) {
    m_retrying.OnRefused(from, *m);
  } else if (const auto* m = std::get_if<AttemptFailed>(&message)) {
    m_retrying.OnFailed(from, *m);
  } else if (const auto* m = std::get_if<AttemptReleased>(&message)) {
    m_retrying.OnReleased(from, *m);
  } else if (const auto* m = std::get_if<LoadReport>(&message)) {
    m_membership.OnLoadReport(from, *m);
    m_configuration.OnLoadReport(from, *m);
  } else if (const auto* m = std::get_if<Heartbeat>(&message)) {
    if (!m->reply) m_peers->Send(from, Heartbeat{m->sequence, true});
  } else if (const auto* m = std::get_if<ConfigurationOffer>(&message)) {
    m_configuration.OnOffer(from, *m);
  } else if (const auto* m = std::get_if<ConfigurationState>(&message)) {
    m_coordinator.OnConfigurationState(from, *m);
  }
}

}  // namespace burdockhill

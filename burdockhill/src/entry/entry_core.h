#ifndef BURDOCKHILL_SRC_ENTRY_ENTRY_CORE_H_
#define BURDOCKHILL_SRC_ENTRY_ENTRY_CORE_H_

#include "burdockhill/src/entry/admission.h"
#include "burdockhill/src/entry/answering.h"
#include "burdockhill/src/entry/caller_port.h"
#include "burdockhill/src/entry/configuration_coordinator.h"
#include "burdockhill/src/entry/deadlines.h"
#include "burdockhill/src/entry/entry_blackboard.h"
#include "burdockhill/src/entry/entry_configuration.h"
#include "burdockhill/src/entry/membership.h"
#include "burdockhill/src/entry/placement.h"
#include "burdockhill/src/entry/prefill_dispatch.h"
#include "burdockhill/src/entry/releasing.h"
#include "burdockhill/src/entry/retrying.h"
#include "burdockhill/src/entry/streaming.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

// The entry without I/O: a blackboard and its controllers. The owner passes
// events in and calls Tick after each batch of them, at least every 20 ms.
class EntryCore : public PeerEvents {
 public:
  EntryCore(const EntryIdentity& self, const Clock* clock, Random* random,
            PeerLink* peers, ObjectStore* store, CallerPort* callers);

  // Accepts a request with a valid id; the caller port receives its answer.
  void Submit(CallerRequest inbound);

  // The caller has disconnected: ends the request and releases its attempts.
  void OnCallerDisconnected(RequestId id);

  // Starts a graceful shutdown: rejects new requests from now on.
  void Leave();

  // Ends all requests with the error that is true of each: the process ends
  // before they can be served.
  void EndRequests();

  // Whether callers can be served: a configuration is in force and no shutdown
  // has started.
  bool IsReady() const {
    return m_board.configuration != nullptr && !m_board.leaving;
  }

  // Whether no request or attempt is open, so that a stop interrupts nothing.
  bool IsIdle() const {
    return m_board.requests.Size() == 0 && m_board.attempts.Size() == 0;
  }

  bool IsCoordinator() const { return m_coordinator.HoldsLease(); }

  // Runs all controllers.
  void Tick();

  const EntryBlackboard& Board() const { return m_board; }

  // PeerEvents:
  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

 private:
  void UpdateNow() { m_board.now = m_clock->Now(); }
  bool HasQueuedWork() const;

  const Clock* m_clock;
  PeerLink* m_peers;
  EntryBlackboard m_board;
  Membership m_membership;
  EntryConfiguration m_configuration;
  ConfigurationCoordinator m_coordinator;
  Admission m_admission;
  Placement m_placement;
  PrefillDispatch m_prefill;
  Streaming m_streaming;
  Retrying m_retrying;
  Deadlines m_deadlines;
  Answering m_answering;
  Releasing m_releasing;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_ENTRY_CORE_H_

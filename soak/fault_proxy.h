#ifndef BURDOCKHILL_SOAK_FAULT_PROXY_H_
#define BURDOCKHILL_SOAK_FAULT_PROXY_H_

#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/sockets.h"
#include "emulation/event_queue.h"

namespace burdockhill::soak {

// Passes connections on to another address and harms them on request.
class FaultProxy : private SocketAcceptor, private SocketEvents {
 public:
  enum class Fault {
    kNone,
    kSilence,        // Swallows both directions, new connections too.
    kSilenceAnswers  // Swallows what comes back.
  };

  FaultProxy(Sockets* sockets, emulation::EventQueue* queue, const Clock* clock,
             const std::string& address, const std::string& target);

  void SetFault(Fault fault) { m_fault = fault; }
  // Bytes arrive this much later, in their order.
  void SetDelay(Duration delay) { m_delay = delay; }
  // Resets all connections there are.
  void ResetAll();

 private:
  struct End {
    SocketId other;
    bool to_target = false;  // This end leads to the target.
    bool connected = false;
    std::string early;  // Came before the target was connected.
    // Bytes were swallowed: a connection that lost some stays silent for good.
    bool silent = false;
    TimePoint pass_on_at{};  // The latest bytes, where they are delayed.
  };

  SocketEvents* OnAccepted(SocketId id) override;
  void OnConnected(SocketId id) override;
  void OnBytes(SocketId id, std::string_view bytes) override;
  void OnEndOfInput(SocketId id) override;
  void OnFailed(SocketId id) override;
  // Hands bytes that came from `id` to the other end.
  void PassOn(SocketId id, std::string_view bytes);
  void Drop(SocketId id, bool reset);

  Sockets* m_sockets;
  emulation::EventQueue* m_queue;
  const Clock* m_clock;
  Address m_target;
  Fault m_fault = Fault::kNone;
  Duration m_delay{0};
  Table<SocketId, End> m_ends;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_FAULT_PROXY_H_

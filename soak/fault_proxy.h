#ifndef BURDOCKHILL_SOAK_FAULT_PROXY_H_
#define BURDOCKHILL_SOAK_FAULT_PROXY_H_

#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/sockets.h"
#include "emulation/event_queue.h"

namespace burdockhill::soak {

// TCP proxy in front of an upstream that injects faults: dropped bytes, delays
// and connection resets.
class FaultProxy : private SocketAcceptor, private SocketEvents {
 public:
  enum class Fault {
    kNone,
    kDropAll,  // Drops the bytes of both directions, of new connections too.
    kDropResponses  // Drops the bytes that come from the target.
  };

  FaultProxy(Sockets* sockets, emulation::EventQueue* queue, const Clock* clock,
             const std::string& address, const std::string& target);

  void SetFault(Fault fault) {
    m_fault = fault;
    m_had_fault = m_had_fault || fault != Fault::kNone;
  }
  // Delays bytes in both directions; their order is kept.
  void SetDelay(Duration delay) {
    m_delay = delay;
    m_had_fault = m_had_fault || delay > Duration(0);
  }
  // Whether it has ever injected a fault other than to repeat answers.
  bool HadFault() const { return m_had_fault; }
  // Sends a copy of each answer once more where the next one is due, if it is
  // complete in one read.
  void SetRepeats(bool repeats) { m_repeats = repeats; }
  // Closes or resets all open connections.
  void CloseAll(bool reset);

 private:
  struct Connection {
    SocketId other;
    bool to_target = false;  // Whether this is the connection to the target.
    bool connected = false;
    std::string unsent_bytes;  // Bytes to write when this side has connected.
    // Set for good once bytes were dropped: forwarding later bytes would
    // corrupt the stream.
    bool drops_all = false;
    TimePoint forward_at{};     // When the last delayed bytes are due.
    std::string last_answer{};  // Of the target, for SetRepeats.
  };

  SocketEvents* OnAccepted(SocketId id) override;
  void OnConnected(SocketId id) override;
  void OnBytes(SocketId id, std::string_view bytes) override;
  void OnEndOfInput(SocketId id) override;
  void OnFailed(SocketId id) override;
  // Keeps a complete answer, and repeats it before the answer to a request.
  void RepeatAnswer(SocketId id, std::string_view bytes);
  // Writes bytes received on `id` to the other side.
  void Forward(SocketId id, std::string_view bytes);
  void CloseBoth(SocketId id, bool reset);

  Sockets* m_sockets;
  emulation::EventQueue* m_queue;
  const Clock* m_clock;
  Address m_target_address;
  Fault m_fault = Fault::kNone;
  bool m_repeats = false;
  bool m_had_fault = false;
  Duration m_delay{0};
  Table<SocketId, Connection> m_connections;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_FAULT_PROXY_H_

#ifndef BURDOCKHILL_SOAK_FAULT_PROXY_H_
#define BURDOCKHILL_SOAK_FAULT_PROXY_H_

#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/sockets.h"
#include "emulation/event_queue.h"
#include "soak/endless.h"

namespace burdockhill::soak {

// TCP proxy in front of an upstream that injects faults: dropped bytes, delays,
// answers without end and connection resets.
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
    if (fault != m_fault) NoteFault();
    m_fault = fault;
  }
  // Delays bytes in both directions; their order is kept.
  void SetDelay(Duration delay) {
    if (delay != m_delay) NoteFault();
    m_delay = delay;
  }
  // Holds the bytes that come from the target back until then. No fault.
  void SilenceUntil(TimePoint until) { m_silent_until = until; }
  // Whether the process behind it is gone: closes all connections, new ones
  // too.
  void SetGone(bool gone);
  // Cuts the next answers to requests in the middle of their heads and closes
  // or resets the connections.
  void CutHeads(int answers, double position, bool reset);
  int CutCount() const { return m_cut_count; }
  // Makes the next answers to requests malformed, or answers long uploads
  // before they were read and closes or resets their connections. `number`
  // chooses how.
  void SendMalformed(int answers, uint64_t number);
  int MalformedCount() const { return m_malformed_count; }
  // Whether it has ever injected a fault other than to repeat answers.
  bool HadFault() const { return m_fault_at != TimePoint::min(); }
  // Whether it has injected no such fault for so long.
  bool IsSoundFor(Duration time) const {
    return m_fault == Fault::kNone && m_delay == Duration(0) &&
           (!HadFault() || m_clock->Now() - m_fault_at > time);
  }
  // Sends a copy of each answer once more where the next one is due, if it is
  // complete in one read.
  void SetRepeats(bool repeats) { m_repeats = repeats; }
  // Closes or resets all open connections.
  void CloseAll(bool reset);
  // Requests do not reach the target until then, and get this answer.
  void SendEndless(const EndlessAnswer& answer, TimePoint until);
  void EndEndless();
  // Call once per event-loop iteration.
  void Tick();

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
    bool is_endless = false;    // Gets the endless answer, and nothing else.
    size_t endless_bytes = 0;   // Sent of its parts.
  };

  SocketEvents* OnAccepted(SocketId id) override;
  void OnConnected(SocketId id) override;
  void OnBytes(SocketId id, std::string_view bytes) override;
  void OnOutputDrained(SocketId id) override { WriteEndless(id); }
  void OnEndOfInput(SocketId id) override;
  void OnFailed(SocketId id) override;
  void NoteFault() { m_fault_at = m_clock->Now(); }
  // Forwards a part of the answer's head and ends the connection. Returns false
  // if these bytes are no answer to a request.
  bool CutHead(SocketId id, std::string_view bytes);
  // Forwards the answer in a malformed way. Returns false if these bytes are no
  // answer to a request.
  bool ForwardMalformed(SocketId id, std::string_view bytes);
  // Answers a long upload. Returns false if these bytes do not begin one.
  bool AnswerEarly(SocketId id, std::string_view bytes);
  // Keeps a complete answer, and repeats it before the answer to a request.
  void RepeatAnswer(SocketId id, std::string_view bytes);
  // Writes bytes received on `id` to the other side.
  void Forward(SocketId id, std::string_view bytes);
  void CloseBoth(SocketId id, bool reset);
  void StartEndless(SocketId id, std::string_view request);
  void WriteEndless(SocketId id);

  Sockets* m_sockets;
  emulation::EventQueue* m_queue;
  const Clock* m_clock;
  Address m_target_address;
  Fault m_fault = Fault::kNone;
  bool m_repeats = false;
  TimePoint m_fault_at = TimePoint::min();  // When the last fault changed.
  Duration m_delay{0};
  TimePoint m_silent_until{};
  bool m_is_gone = false;
  int m_heads_to_cut = 0;
  double m_cut_position = 0;
  bool m_cut_resets = false;
  int m_cut_count = 0;
  int m_malformed_to_send = 0;
  uint64_t m_malformed_number = 0;
  int m_malformed_count = 0;
  const EndlessAnswer* m_endless = nullptr;
  TimePoint m_endless_until{};
  Table<SocketId, Connection> m_connections;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_FAULT_PROXY_H_

#ifndef BURDOCKHILL_EMULATION_SOCKET_NETWORK_FAKE_H_
#define BURDOCKHILL_EMULATION_SOCKET_NETWORK_FAKE_H_

#include <map>
#include <string>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/sockets.h"
#include "emulation/event_queue.h"

namespace burdockhill::emulation {

// Sockets between the processes of an emulated deployment. Bytes arrive in
// order after a constant delay.
class SocketNetworkFake : public Sockets {
 public:
  SocketNetworkFake(EventQueue* queue, Duration delay)
      : m_queue(queue), m_delay(delay) {}

  BufferBudget& Buffers() override { return m_buffers; }
  void Listen(const Address& address, SocketAcceptor* acceptor) override;
  int StopListening(const Address& address) override;
  SocketId Connect(const Address& address, SocketEvents* events) override;
  void Write(SocketId id, std::string_view bytes) override;
  size_t PendingBytes(SocketId /*id*/) const override { return 0; }
  size_t UnacknowledgedBytes(SocketId /*id*/) const override { return 0; }
  void SetReading(SocketId /*id*/, bool /*reading*/) override {}
  bool HasUnreadInput(SocketId /*id*/) const override { return false; }
  void CloseGracefully(SocketId id) override;
  void Close(SocketId id, bool reset) override;

  // Ends the process that listens on `address`: closes its listener and resets
  // the connections that it has accepted.
  void KillListeningProcess(const std::string& address);

 private:
  struct Endpoint {
    SocketId peer;
    SocketEvents* events = nullptr;
    std::string listen_address;  // Listening address; empty if not accepted.
    bool open = true;
  };

  // Runs `action` on the peer of `id` after the delay, if that is still open.
  template <typename Action>
  void RunAtPeer(SocketId id, Action action);
  void Accept(SocketId connecting, const std::string& address);

  BufferBudget m_buffers;
  EventQueue* m_queue;
  Duration m_delay;
  uint64_t m_last_id = 0;
  std::map<std::string, SocketAcceptor*> m_listeners;
  Table<SocketId, Endpoint> m_ends;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_SOCKET_NETWORK_FAKE_H_

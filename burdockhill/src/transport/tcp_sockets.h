#ifndef BURDOCKHILL_SRC_TRANSPORT_TCP_SOCKETS_H_
#define BURDOCKHILL_SRC_TRANSPORT_TCP_SOCKETS_H_

#include <memory>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/transport/sockets.h"

namespace burdockhill {

class EventLoop;

// TCP connections on the event loop. libwebsockets only polls the sockets, as
// raw file descriptors: its raw socket role closes a connection as soon as the
// remote side closes its sending direction, and its HTTP roles accept ambiguous
// messages.
class TcpSockets : public Sockets {
 public:
  // Throws std::runtime_error if the sockets cannot be attached to the loop.
  explicit TcpSockets(EventLoop* loop);
  ~TcpSockets() override;

  BufferBudget& Buffers() override;
  void Listen(const Address& address, SocketAcceptor* acceptor) override;
  int StopListening(const Address& address) override;
  SocketId Connect(const Address& address, SocketEvents* events) override;
  void Write(SocketId id, std::string_view bytes) override;
  size_t PendingBytes(SocketId id) const override;
  size_t UnacknowledgedBytes(SocketId id) const override;
  void SetReading(SocketId id, bool reading) override;
  bool HasUnreadInput(SocketId id) const override;
  void CloseGracefully(SocketId id) override;
  void Close(SocketId id, bool reset) override;

  // Bytes that the operating system has not accepted yet, of all connections,
  // those included that are being closed gracefully.
  size_t TotalPendingBytes() const;

  // Closes the connections whose graceful close exceeds its time limit, and
  // fails accepted ones whose path is lost. Call about every 50 ms.
  void CheckTimeouts(TimePoint now);

  class Impl;

 private:
  std::unique_ptr<Impl> m_impl;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_TCP_SOCKETS_H_

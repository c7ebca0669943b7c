#ifndef BURDOCKHILL_SRC_TRANSPORT_SOCKETS_H_
#define BURDOCKHILL_SRC_TRANSPORT_SOCKETS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/base/buffer_budget.h"
#include "burdockhill/src/base/id.h"

namespace burdockhill {

// Identifies a TCP connection of this process. Ids are never reused.
using SocketId = NumericId<struct SocketIdTag>;

// Name of the source of what is kept for the clients of a listening address.
inline std::string ClientsOf(const Address& address) {
  return "clients of " + address.host + ":" + std::to_string(address.port);
}

// Callbacks of a connection. They may close any connection, including the one
// they are called for.
class SocketEvents {
 public:
  virtual ~SocketEvents() = default;
  // An outgoing connection was established.
  virtual void OnConnected(SocketId /*id*/) {}
  virtual void OnBytes(SocketId id, std::string_view bytes) = 0;
  // The remote side has closed its sending direction; it may still receive.
  // OnFailed is called instead if the connection has failed, whichever call has
  // met the error first.
  virtual void OnEndOfInput(SocketId id) = 0;
  // The operating system has accepted all bytes that were queued.
  virtual void OnOutputDrained(SocketId /*id*/) {}
  // The connection failed or was refused. `id` is already invalid.
  virtual void OnFailed(SocketId id) = 0;
};

// Receives the incoming connections of a listening address.
class SocketAcceptor {
 public:
  virtual ~SocketAcceptor() = default;
  // Returns the handler of the connection, or nullptr to refuse it.
  virtual SocketEvents* OnAccepted(SocketId id) = 0;
  // More connections are open than may be. Closes those that have waited
  // longest, if there are some that have no request in progress. Returns how
  // many.
  virtual size_t ShedConnections() { return 0; }
};

// Byte streams to other processes. TcpSockets implements them over TCP; tests
// use in-memory implementations.
class Sockets {
 public:
  virtual ~Sockets() = default;

  // The budget of the process. Users of the connections charge it with what
  // they keep of their bytes; it is enforced before bytes are read.
  virtual BufferBudget& Buffers() = 0;

  // Throws std::runtime_error if the address cannot be listened on.
  virtual void Listen(const Address& address, SocketAcceptor* acceptor) = 0;

  // Accepts the connections that are established already, then listens on the
  // address no more: callers that connect later are refused. Returns how many
  // connections were accepted.
  virtual int StopListening(const Address& address) = 0;

  // Starts to connect; OnConnected or OnFailed follows. Returns an invalid id
  // if no socket can be created or the attempt fails at once.
  virtual SocketId Connect(const Address& address, SocketEvents* events) = 0;

  // Sends `bytes`, queueing what the operating system does not accept at once.
  // Ignored if the connection is closed.
  virtual void Write(SocketId id, std::string_view bytes) = 0;
  // Queued bytes that the operating system has not accepted yet.
  virtual size_t PendingBytes(SocketId id) const = 0;
  // Written bytes that the remote host has not acknowledged, pending ones
  // included. Not zero if the connection has failed.
  virtual size_t UnacknowledgedBytes(SocketId id) const = 0;
  // Stops or resumes OnBytes, for back pressure on the sender.
  virtual void SetReading(SocketId id, bool reading) = 0;

  // Whether bytes have arrived that OnBytes has not reported yet.
  virtual bool HasUnreadInput(SocketId id) const = 0;

  // Sends the queued bytes and the end of the stream, then discards input until
  // the remote side closes. Ends early if the remote side takes nothing for a
  // time or sends too much. No callback follows.
  virtual void CloseGracefully(SocketId id) = 0;
  // Closes at once, discarding queued bytes, so that a response may be cut;
  // with `reset` by a TCP reset, which the remote side sees as an error. What
  // arrives later is not read. No callback follows.
  virtual void Close(SocketId id, bool reset) = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_SOCKETS_H_

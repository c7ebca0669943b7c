#ifndef BURDOCKHILL_EMULATION_SOCKETS_FAKE_H_
#define BURDOCKHILL_EMULATION_SOCKETS_FAKE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/sockets.h"

namespace burdockhill::emulation {

// Sockets without a network. The test acts as the remote end of every
// connection: it reads the bytes that were written and injects bytes and
// events.
class SocketsFake : public Sockets {
 public:
  struct Connection {
    std::string address;  // Remote address; empty if accepted.
    SocketEvents* events = nullptr;
    std::string unread;   // Input that has arrived.
    std::string written;  // All bytes written by the code under test.
    size_t drained_bytes =
        0;  // Length of the prefix of `written` that the test has read.
    bool connected = false;
    bool reading = true;
    bool open = true;
    bool closed_gracefully = false;
    bool was_reset = false;
  };

  BufferBudget& Buffers() override { return m_buffers; }
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

  // Opens a connection to a listening address, as a caller would. Invalid if
  // nobody listens.
  SocketId ConnectAsCaller(const std::string& address);
  // What accepts the connections to the address.
  SocketAcceptor* AcceptorOf(const std::string& address) const {
    return m_acceptors.at(address);
  }
  // A connection that is established, and accepted only by StopListening.
  SocketId ConnectUnaccepted();
  // Events from the remote end: bytes arrive, it stops sending, or the
  // connection fails.
  void Inject(SocketId id, std::string_view bytes);
  void InjectEndOfInput(SocketId id);
  // Bytes that arrive, and are read only by ReadInput.
  void QueueInput(SocketId id, std::string_view bytes);
  void ReadInput(SocketId id);
  void Fail(SocketId id);
  // Completes an outgoing connection attempt.
  void CompleteConnect(SocketId id);
  // Whether a new connection can be attempted.
  void SetHasSockets(bool has_sockets) { m_has_sockets = has_sockets; }
  // Returns the bytes written since the last call.
  std::string DrainOutput(SocketId id);
  // Sets the number of written bytes that the remote end has not yet read.
  void SetPendingBytes(SocketId id, size_t bytes) { m_pending[id] = bytes; }
  // Sets the number of written bytes that the remote host has not acknowledged,
  // beside those above.
  void SetUnacknowledgedBytes(SocketId id, size_t bytes) {
    m_unacknowledged[id] = bytes;
  }
  // The remote end has read all pending bytes.
  void NotifyOutputDrained(SocketId id);

  const Connection& GetConnection(SocketId id) const {
    return *m_connections.Find(id);
  }
  // Open outgoing connections to `address`, oldest first.
  std::vector<SocketId> OpenTo(const std::string& address) const;
  std::vector<SocketId> AllOutgoing() const;

 private:
  BufferBudget m_buffers;
  std::map<std::string, SocketAcceptor*> m_acceptors;
  std::vector<SocketId> m_backlog;
  std::map<SocketId, size_t> m_pending;
  std::map<SocketId, size_t> m_unacknowledged;
  Table<SocketId, Connection> m_connections;
  uint64_t m_last_id = 0;
  bool m_has_sockets = true;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_SOCKETS_FAKE_H_

#ifndef BURDOCKHILL_EMULATION_SOCKETS_FAKE_H_
#define BURDOCKHILL_EMULATION_SOCKETS_FAKE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/sockets.h"

namespace burdockhill::emulation {

// Byte streams without a network. The test is the other end of every
// connection: it reads what was written and decides what arrives.
class SocketsFake : public Sockets {
 public:
  struct Connection {
    std::string address;  // Dialled address; empty for accepted ones.
    SocketEvents* events = nullptr;
    std::string written;  // By the process under test, in all.
    size_t taken = 0;     // Bytes of `written` that the test has read.
    bool connected = false;
    bool reading = true;
    bool open = true;
    bool closed_gracefully = false;
    bool was_reset = false;
  };

  void Listen(const Address& address, SocketAcceptor* acceptor) override;
  SocketId Connect(const Address& address, SocketEvents* events) override;
  void Write(SocketId id, std::string_view bytes) override;
  size_t PendingBytes(SocketId id) const override;
  void SetReading(SocketId id, bool reading) override;
  void CloseGracefully(SocketId id) override;
  void Close(SocketId id, bool reset) override;

  // A caller connects to a listening address.
  SocketId Call(const std::string& address);
  // Bytes arrive, the other side finishes sending, or the connection breaks.
  void Arrive(SocketId id, std::string_view bytes);
  void EndInput(SocketId id);
  void Break(SocketId id);
  // An outgoing connection is established.
  void Establish(SocketId id);
  // What was written since the last call.
  std::string Take(SocketId id);
  // Pretends that this much was not taken by the other side yet.
  void SetPending(SocketId id, size_t bytes) { m_pending[id] = bytes; }
  // The other side has read everything.
  void Drain(SocketId id);

  const Connection& At(SocketId id) const { return *m_connections.Find(id); }
  // Open outgoing connections to `address`, oldest first.
  std::vector<SocketId> To(const std::string& address) const;
  std::vector<SocketId> AllOutgoing() const;

 private:
  std::map<std::string, SocketAcceptor*> m_acceptors;
  std::map<SocketId, size_t> m_pending;
  Table<SocketId, Connection> m_connections;
  uint64_t m_last_id = 0;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_SOCKETS_FAKE_H_

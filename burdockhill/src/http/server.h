#ifndef BURDOCKHILL_SRC_HTTP_SERVER_H_
#define BURDOCKHILL_SRC_HTTP_SERVER_H_

#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/http/message_reader.h"
#include "burdockhill/src/transport/sockets.h"

namespace burdockhill::http {

// One request and its answer.
using ExchangeId = NumericId<struct ExchangeIdTag>;

// What a caller may send, and how long it may take.
struct ServerLimits {
  size_t max_header_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{4} << 20;
  // Of all requests that are being read.
  size_t max_total_body_bytes = size_t{24} << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

class ServerEvents {
 public:
  virtual ~ServerEvents() = default;
  // A whole request. Exactly one answer is owed, unless the caller goes.
  virtual void OnRequest(ExchangeId id, Head head, std::string body) = 0;
  // The caller closed its side or the connection failed. Anything that is
  // still written to the exchange is sent if the connection allows it.
  virtual void OnCallerDisconnected(ExchangeId id) = 0;
  // The caller has read what was written so far.
  virtual void OnOutputDrained(ExchangeId /*id*/) {}
};

// Serves callers on one address. Requests that are malformed, too large or too
// slow are answered here and never reach ServerEvents.
class Server : private SocketAcceptor, private SocketEvents {
 public:
  Server(Sockets* sockets, const Clock* clock, ServerEvents* events);

  void Listen(const Address& address) { m_sockets->Listen(address, this); }
  void SetLimits(const ServerLimits& limits) { m_limits = limits; }
  // From now on each answer is the last one of its connection.
  void DisableKeepAlive() { m_keep_alive_disabled = true; }
  // Closes the connections on which no request is waiting.
  void CloseIdleConnections();

  void Respond(ExchangeId id, const Head& head, std::string_view body);
  void StartStream(ExchangeId id, const Head& head);
  void WriteStream(ExchangeId id, std::string_view bytes);
  void EndStream(ExchangeId id);
  // Ends the connection so that an answer begun on it cannot look complete.
  void Abort(ExchangeId id);

  // Whether what is written to the exchange can still reach the caller.
  bool IsOpen(ExchangeId id) const { return Of(id) != nullptr; }
  // Bytes of this exchange that the caller has not read yet.
  size_t PendingBytes(ExchangeId id) const;
  size_t OpenExchangeCount() const { return m_exchanges.Size(); }

  // Closes what has timed out. Call about every 50 ms.
  void CheckTimeouts(TimePoint now);

 private:
  struct Connection {
    MessageReader reader;
    std::string unread;  // Bytes after the request that is being answered.
    ExchangeId exchange;
    TimePoint since{};  // Start of the current wait for the caller.
    size_t counted_body = 0;
    bool ended = false;  // The caller will send nothing more.
    explicit Connection(size_t max_header)
        : reader(MessageKind::kRequest, max_header) {}
  };

  SocketEvents* OnAccepted(SocketId id) override;
  void OnBytes(SocketId id, std::string_view bytes) override;
  void OnEndOfInput(SocketId id) override;
  void OnDrained(SocketId id) override;
  void OnFailed(SocketId id) override;

  void Read(SocketId id, std::string_view bytes);
  void Dispatch(SocketId id, Connection* connection);
  void Reject(SocketId id, int status);
  void CountBody(Connection* connection, size_t bytes);
  // Ends the exchange; reads the next request or closes.
  void FinishExchange(ExchangeId id, bool keep);
  void Forget(SocketId id);
  Connection* Of(ExchangeId id, SocketId* socket);
  const Connection* Of(ExchangeId id) const;

  Sockets* m_sockets;
  const Clock* m_clock;
  ServerEvents* m_events;
  ServerLimits m_limits;
  bool m_keep_alive_disabled = false;
  uint64_t m_last_exchange = 0;
  size_t m_body_bytes = 0;
  Table<SocketId, Connection> m_connections;
  Table<ExchangeId, SocketId> m_exchanges;
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_SERVER_H_

#ifndef BURDOCKHILL_SRC_HTTP_SERVER_H_
#define BURDOCKHILL_SRC_HTTP_SERVER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/http/message_reader.h"
#include "burdockhill/src/transport/sockets.h"

namespace burdockhill::http {

// Identifies one request and its response.
using ExchangeId = NumericId<struct ExchangeIdTag>;

// Limits on what a caller may send, and on the time that it may take.
struct ServerLimits {
  size_t max_header_bytes = size_t{16} << 10;
  size_t max_body_bytes = size_t{4} << 20;
  // Sum over all requests that are being received or answered. At most half of
  // what the process may buffer.
  size_t max_total_body_bytes = size_t{24} << 20;
  // From the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(3);
  // Without input, while the next request or the rest of a body is awaited.
  Duration idle_timeout = std::chrono::seconds(15);
};

class ServerEvents {
 public:
  virtual ~ServerEvents() = default;
  // A complete request was received. It must be answered by exactly one call of
  // Respond, by StartStream and EndStream, or by Abort, unless the caller
  // disconnects first.
  virtual void OnRequest(ExchangeId id, Head head, std::string body) = 0;
  // The connection failed or was reset. A caller that has merely closed its
  // sending side still gets its response.
  virtual void OnCallerDisconnected(ExchangeId id) = 0;
  // The operating system has accepted all bytes written so far.
  virtual void OnOutputDrained(ExchangeId /*id*/) {}
  // The time limit of a connection without a request is over, or a planned stop
  // closes those. It is closed, unless input has arrived that is not read yet.
  virtual void OnIdleConnection(Duration /*idle_time*/, bool /*closed*/) {}
  // The response has a status that no final response can have. The caller got
  // a 502 instead.
  virtual void OnInvalidStatus(ExchangeId /*id*/, int /*status*/) {}
};

// HTTP/1.1 server for callers. Requests that are malformed, too large or too
// slow are rejected here with a 4xx status, and with 503 if the sum of all
// bodies, or of all requests in progress, exceeds its limit; they never reach
// ServerEvents.
class Server : private SocketAcceptor,
               private SocketEvents,
               private BufferOwner {
 public:
  Server(Sockets* sockets, const Clock* clock, ServerEvents* events);

  // Throws std::runtime_error if the address cannot be listened on.
  void Listen(const Address& address) {
    m_address = address;
    m_sockets->Listen(address, this);
  }
  // Serves the connections that are established, and refuses later ones.
  // Returns how many of these were not accepted before.
  int StopListening() { return m_sockets->StopListening(m_address); }
  // A higher limit applies at once. A lower one applies to requests and waits
  // that begin afterwards: a caller may count on the limits that held when it
  // began to send, and on the idle timeout that held at its last response.
  void SetLimits(const ServerLimits& limits) { m_limits = limits; }
  // Closes each connection after its current or next response, once it has no
  // pipelined requests.
  void DisableKeepAlive() { m_keep_alive_disabled = true; }
  // Closes the connections that have no request in progress, none that waits to
  // be read, and no unsent bytes of an answer.
  void CloseIdleConnections();
  // Answers the requests that have only been received in part with 503, and
  // closes their connections.
  void RefuseUnfinishedRequests();
  // Whether a request has been received in part.
  bool IsReceiving() const;

  // An exchange that is no longer open is ignored by the functions below.

  // Sends a response with a complete body. Aborts an exchange whose response
  // has started as a stream, since the caller would find the head inside the
  // body. A status below 200 or above 599 is replaced by an empty 502, here and
  // in StartStream.
  void Respond(ExchangeId id, const Head& head, std::string_view body);
  // Starts a response whose body follows in parts: in chunks, or with this
  // Content-Length, which the parts must add up to before EndStream.
  void StartStream(ExchangeId id, const Head& head,
                   std::optional<size_t> body_size = std::nullopt);
  void WriteStream(ExchangeId id, std::string_view bytes);
  void EndStream(ExchangeId id);
  // Resets the connection, so that the caller cannot take a partial response
  // for a complete one.
  void Abort(ExchangeId id);

  // Whether the response has not ended and the connection has not failed.
  bool IsOpen(ExchangeId id) const { return FindConnection(id) != nullptr; }
  // Bytes written that the operating system has not accepted yet.
  size_t PendingBytes(ExchangeId id) const;
  size_t OpenExchangeCount() const { return m_exchanges.Size(); }

  // Rejects requests and closes idle connections that exceed their time limits,
  // and finds out whether callers that have closed their sending side are
  // there. Call about every 50 ms.
  void CheckTimeouts(TimePoint now);

 private:
  struct Connection {
    MessageReader reader;
    std::string pipelined;  // Bytes received after the current request.
    // Of the head of the current request, once that is with ServerEvents.
    size_t dispatched_head_bytes = 0;
    bool is_head_request = false;
    bool is_dispatching = false;  // ServerEvents::OnRequest is being called.
    ExchangeId exchange;
    TimePoint wait_start{};  // Start of the current wait for input.
    // When unread input was first found after the time limit of a wait.
    TimePoint late_since{};
    // When the wait for the current request began, or the request itself.
    ServerLimits limits;
    // The idle timeout that the latest response has announced.
    Duration said_idle_timeout{};
    size_t unsent_bytes = 0;  // At the last check of the time limits.
    size_t body_bytes = 0;    // Share of m_total_body_bytes.
    BufferCharge request_charge;
    BufferCharge pipelined_charge;  // Open while there are such bytes.
    bool input_ended = false;       // The caller has closed its sending side.
    int probes = 0;                 // Interim responses sent since then.
    TimePoint next_probe_at{};
    TimePoint last_output_at{};  // Of the current response.
    bool is_chunked = false;     // So is the body of the response.
    bool is_streaming = false;   // The response has started as a stream.
    bool said_close = false;     // The response says that it is the last one.
    explicit Connection(size_t max_header)
        : reader(MessageKind::kRequest, max_header) {}
  };

  // Callers skip it, whether they have asked for it or not.
  static constexpr std::string_view kInterimResponse =
      "HTTP/1.1 100 Continue\r\n\r\n";

  SocketEvents* OnAccepted(SocketId id) override;
  size_t ShedConnections() override;
  void OnBytes(SocketId id, std::string_view bytes) override;
  void OnEndOfInput(SocketId id) override;
  void OnOutputDrained(SocketId id) override;
  void OnFailed(SocketId id) override;
  void OnBufferEvicted(BufferKey key) override;

  // Reads the current request, with what is pipelined behind it.
  void ReadRequest(SocketId id, Connection* connection, std::string_view bytes);
  // Reads pipelined requests while they are answered at once and the caller
  // reads the answers.
  void ReadPipelined(SocketId id);
  // Sends an interim response to a caller that has closed its sending side. One
  // that has closed its connection resets it then.
  void ProbeCaller(SocketId id, Connection* connection, TimePoint now);
  // Whether the caller of a response that has begun, which has closed its
  // sending side, is taken to have closed its connection.
  bool IsProbablyGone(SocketId id, const Connection& connection,
                      TimePoint now) const;
  // Input is awaited from now on.
  void StartWait(Connection* connection) const;
  // The limits that hold for the current wait or request.
  ServerLimits LimitsOf(const Connection& connection) const;
  // What the response that begins now says of its connection. Remembers the
  // idle timeout, which binds the connection from then on.
  ConnectionNotice AnnounceKeepAlive(Connection* connection,
                                     bool keep_alive) const;
  void DispatchRequest(SocketId id, Connection* connection);
  // Responds with 502 in place of a head that has no status of a final
  // response. Returns false if it has one.
  bool ReplaceInvalidHead(ExchangeId id, const Head& head);
  void Reject(SocketId id, int status);
  // Whether the rest of a request has arrived and is still to be read, although
  // its time limit is over.
  bool MayReadLate(SocketId id, TimePoint now);
  // Closes a connection without a request, and reads nothing more from it.
  void CloseUnlessInputArrived(SocketId id);
  void SetBodyBytes(Connection* connection, size_t bytes);
  // Memory of the head, and what a request in progress takes besides.
  static size_t DispatchedHeadBytes(const MessageReader& reader);
  void SetPipelined(SocketId id, Connection* connection, std::string bytes);
  // Whether the request that has arrived may be kept until it is answered.
  bool HasRoomFor(const Connection& connection) const;
  // What all requests of this size may take until they are answered.
  size_t MaxDispatchedBytes(size_t request_bytes) const;
  size_t MaxTotalBodyBytes() const;
  // Ends the exchange. Then closes the connection, or parses the next request
  // if `keep_alive`.
  void FinishExchange(ExchangeId id, bool keep_alive);
  void RemoveConnection(SocketId id);
  static bool IsReceiving(const Connection& connection);
  // Whether the connection stays open after its current response.
  bool KeepsAlive(SocketId id, const Connection& connection) const;
  Connection* FindConnection(ExchangeId id, SocketId* socket);
  const Connection* FindConnection(ExchangeId id) const;

  Sockets* m_sockets;
  const Clock* m_clock;
  ServerEvents* m_events;
  Address m_address;
  ServerLimits m_limits;
  bool m_keep_alive_disabled = false;
  uint64_t m_last_exchange_id = 0;
  size_t m_total_body_bytes = 0;
  Table<SocketId, Connection> m_connections;
  Table<ExchangeId, SocketId> m_exchanges;
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_SERVER_H_

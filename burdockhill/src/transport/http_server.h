#ifndef BURDOCKHILL_SRC_TRANSPORT_HTTP_SERVER_H_
#define BURDOCKHILL_SRC_TRANSPORT_HTTP_SERVER_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/base/id.h"

struct lws;
struct lws_vhost;

namespace burdockhill {

class EventLoop;

// Identifies one request to an HttpServer and its response.
using ExchangeId = NumericId<struct ExchangeIdTag>;

// Header names are lower case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  std::string path;   // Without the query.
  std::string query;  // Without the question mark.
  std::string authorization;
  std::string content_type;
  std::string idempotency_key;
  std::string if_match;
  std::string body;
};

// Callbacks of an HttpServer. They may call the server.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // A complete request was received.
  virtual void OnRequest(ExchangeId id, HttpRequest request) = 0;
  // The connection closed before the response ended. `id` is no longer valid.
  virtual void OnClosed(ExchangeId id) = 0;
};

// HTTP server on one address, based on libwebsockets. It rejects requests that
// exceed its limits: a body over `max_body_bytes` with status 413, too large a
// header with status 431 or by closing the connection, and a stalled sender by
// closing the connection.
class HttpServer {
 public:
  struct Options {
    Address address;
    size_t max_body_bytes = size_t{1} << 20;
    std::chrono::seconds stall_timeout{10};
  };

  // Throws std::runtime_error if the address cannot be listened on.
  HttpServer(EventLoop* loop, const Options& options, HttpHandler* handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // An id that is no longer valid is ignored by the functions below.

  // Sends a response with a complete body.
  void Respond(ExchangeId id, int status, std::string_view content_type,
               std::string body, const HttpHeaders& headers = {});

  // Starts a response whose body is sent in parts.
  void StartStream(ExchangeId id, int status, std::string_view content_type,
                   const HttpHeaders& headers = {});
  void WriteStream(ExchangeId id, std::string_view data);
  void EndStream(ExchangeId id);

  // Writes the data of streams to their sockets and aborts the exchanges of
  // callers that have closed their connection or its sending direction. Call
  // once per iteration of the event loop.
  void Flush();

  // Closes the connection of an exchange; OnClosed follows.
  void Abort(ExchangeId id);

  // Bytes of the response body that are not yet written to the socket.
  size_t PendingBytes(ExchangeId id) const;

  // Number of exchanges whose response has not ended.
  size_t OpenExchangeCount() const;

  class Impl;

 private:
  std::unique_ptr<Impl> m_impl;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_HTTP_SERVER_H_

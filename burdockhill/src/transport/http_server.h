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

// One request and its response on a server.
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

// Receives what happens on a server. Calls into the server are allowed.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // A whole request has arrived.
  virtual void OnRequest(ExchangeId id, HttpRequest request) = 0;
  // The peer has closed before the response ended. The id is no longer known.
  virtual void OnClosed(ExchangeId id) = 0;
};

// HTTP server on one address. Requests over the limits are answered here: 413
// for a body over `max_body_bytes`, 431 or a closed connection for too many
// headers, and a closed connection for a sender that stalls.
class HttpServer {
 public:
  struct Options {
    Address address;
    size_t max_body_bytes = size_t{1} << 20;
    std::chrono::seconds stall_timeout{10};
  };

  // Throws std::runtime_error when the address cannot be listened on.
  HttpServer(EventLoop* loop, const Options& options, HttpHandler* handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Answers with a whole body. An unknown id is ignored, here and below.
  void Respond(ExchangeId id, int status, std::string_view content_type,
               std::string body, const HttpHeaders& headers = {});

  // Starts a response whose body comes in parts.
  void StartStream(ExchangeId id, int status, std::string_view content_type,
                   const HttpHeaders& headers = {});
  void StreamData(ExchangeId id, std::string_view data);
  void EndStream(ExchangeId id);

  // Hands the data of streams to their sockets, and notices callers that have
  // closed, also those that have closed only their sending side. Call once a
  // turn of the loop.
  void Flush();

  // Closes the connection of an exchange; OnClosed follows.
  void Abort(ExchangeId id);

  // Bytes of the response that the peer has not taken yet.
  size_t PendingBytes(ExchangeId id) const;

  // Exchanges that have not ended.
  size_t OpenExchangeCount() const;

  class Impl;

 private:
  std::unique_ptr<Impl> m_impl;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_HTTP_SERVER_H_

#ifndef BURDOCKHILL_SRC_HTTP_HTTP_SERVER_H_
#define BURDOCKHILL_SRC_HTTP_HTTP_SERVER_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/base/buffer_budget.h"
#include "burdockhill/src/http/server.h"

namespace burdockhill {

class EventLoop;

using http::ExchangeId;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  std::string path;   // Without the query; not decoded.
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

// HTTP server on one TCP address, for the product's own interfaces. Decodes the
// header fields that they use, and answers malformed, too large and too slow
// requests itself.
class HttpServer {
 public:
  struct Options {
    Address address;
    size_t max_body_bytes = size_t{1} << 20;
    // Longest time without input while a request is awaited or incomplete.
    std::chrono::seconds stall_timeout{10};
  };

  // Throws std::runtime_error if the address cannot be listened on.
  HttpServer(EventLoop* loop, const Options& options, HttpHandler* handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The budget of the process, which requests and responses are charged to.
  BufferBudget& Buffers();

  // An id that is no longer valid is ignored by the functions below.

  // Sends a response with a complete body.
  void Respond(ExchangeId id, int status, std::string_view content_type,
               const std::string& body, const HttpHeaders& headers = {});

  // Starts a chunked response. WriteStream only queues data until Flush.
  void StartStream(ExchangeId id, int status, std::string_view content_type,
                   const HttpHeaders& headers = {});
  void WriteStream(ExchangeId id, std::string_view data);
  void EndStream(ExchangeId id);

  // Writes the queued data of streams. Call once per iteration of the event
  // loop.
  void Flush();

  // Resets the connection of an exchange; OnClosed follows from the event loop.
  void Abort(ExchangeId id);

  // Bytes of the response body that are not yet written to the socket.
  size_t PendingBytes(ExchangeId id) const;

  // Number of exchanges whose response has not ended.
  size_t OpenExchangeCount() const;

  // Whether parts of responses, those that have ended included, are not yet
  // written to their sockets.
  bool HasUnsentBytes() const;

  class Impl;

 private:
  std::unique_ptr<Impl> m_impl;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_HTTP_HTTP_SERVER_H_

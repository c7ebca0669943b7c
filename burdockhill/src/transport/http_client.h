#ifndef BURDOCKHILL_SRC_TRANSPORT_HTTP_CLIENT_H_
#define BURDOCKHILL_SRC_TRANSPORT_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/transport/http_server.h"

namespace burdockhill {

class EventLoop;

// One request of a client.
using ClientCallId = NumericId<struct ClientCallIdTag>;

// How a client call ended.
enum class CallEnd {
  kComplete,      // The whole response came.
  kNotConnected,  // No connection, so nothing was sent.
  kBroken,        // The connection closed or stalled after it was opened.
};

struct ClientRequest {
  Address address;
  std::string method = "GET";
  std::string path = "/";
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;
  // Time until the response has to be complete; zero for no limit.
  std::chrono::seconds timeout{0};
};

// Callbacks of one call. Any of them may cancel the call; `on_end` comes last,
// exactly once, unless the call was cancelled.
struct ClientEvents {
  std::function<void(int status, const std::string& content_type)> on_head;
  std::function<void(std::string_view data)> on_data;
  std::function<void(CallEnd end)> on_end;
};

// HTTP client; one connection a call.
class HttpClient {
 public:
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  ClientCallId Start(ClientRequest request, ClientEvents events);

  // Closes the connection; no callback follows.
  void Cancel(ClientCallId id);

  class Impl;

 private:
  std::unique_ptr<Impl> m_impl;
};

// Collects a whole response and hands it over once.
ClientCallId FetchResponse(
    HttpClient* client, ClientRequest request,
    std::function<void(CallEnd end, int status, std::string body)> done);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_HTTP_CLIENT_H_

#ifndef BURDOCKHILL_SRC_HTTP_HTTP_CLIENT_H_
#define BURDOCKHILL_SRC_HTTP_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/http/message.h"

namespace burdockhill {

class EventLoop;

// Identifies one request of an HttpClient.
using ClientCallId = NumericId<struct ClientCallIdTag>;

// How a call ended.
enum class CallEnd {
  kComplete,      // The response was received completely, by its framing.
  kNotConnected,  // No connection was established, so nothing was sent.
  kBroken,        // The connection failed, or the call exceeded its timeout.
};

struct ClientRequest {
  Address address;
  std::string method = "GET";
  std::string path = "/";
  std::string content_type = "application/json";
  http::Headers headers;
  std::string body;
  // From the sending of the request to the complete response; zero for no
  // limit.
  std::chrono::seconds timeout{0};
};

// Callbacks of one call. Any of them may cancel the call. `on_end` is called
// last and exactly once, unless the call is cancelled.
struct ClientEvents {
  std::function<void(const http::Head& head)> on_head;
  std::function<void(std::string_view data)> on_data;
  std::function<void(CallEnd end)> on_end;
};

// HTTP client that opens a new connection for each call.
class HttpClient {
 public:
  // Throws std::runtime_error if the sockets cannot be attached to the loop.
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. No callback is called before Start returns.
  ClientCallId Start(ClientRequest request, ClientEvents events);

  // Closes the connection of the call. No callback follows.
  void Cancel(ClientCallId id);

  class Impl;

 private:
  std::unique_ptr<Impl> m_impl;
};

// Starts a call and passes its complete response to `done`. After a failure,
// `status` is 0 unless the response header was received, and `body` may be
// partial.
ClientCallId FetchResponse(
    HttpClient* client, ClientRequest request,
    std::function<void(CallEnd end, int status, std::string body)> done);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_HTTP_HTTP_CLIENT_H_

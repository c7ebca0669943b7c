#ifndef BURDOCKHILL_SRC_HTTP_HTTP_CLIENT_H_
#define BURDOCKHILL_SRC_HTTP_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/http/message.h"
#include "burdockhill/src/http/response_observer.h"

namespace burdockhill {

class EventLoop;

// Identifies one request of an HttpClient.
using ClientCallId = NumericId<struct ClientCallIdTag>;

// How a call ended.
enum class CallEnd {
  kComplete,      // The response was received completely, by its framing.
  kNotConnected,  // No connection was established, so nothing was sent.
  kBroken,        // The connection failed, or the call exceeded its timeout.
  kTooLarge,      // More was received than may be kept; the rest is missing.
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
  // Bytes of the response that the receiver may keep. The call ends if there
  // are more, and also if the process keeps too much in total and most of it
  // for calls to this address.
  size_t max_kept_bytes = size_t{1} << 20;
};

// Callbacks of one call. Any of them may cancel the call. `on_end` is called
// last and exactly once, unless the call is cancelled.
struct ClientEvents {
  std::function<void(const http::Head& head)> on_head;
  // Gets data of the body, all of which counts as kept.
  std::function<void(std::string_view data)> on_data;
  // In place of `on_data`, for a receiver that keeps only a part. Returns how
  // many bytes of the response it keeps from now on, these and earlier ones.
  std::function<size_t(std::string_view data)> on_stream_data;
  std::function<void(CallEnd end)> on_end;
};

// HTTP client that opens a new connection for each call. Charges what is kept
// of the responses to the budget of the event loop.
class HttpClient {
 public:
  // Throws std::runtime_error if the sockets cannot be attached to the loop.
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `observer` may be nullptr.
  void SetObserver(http::ResponseObserver* observer);

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
// partial; it is empty if the response is too large.
ClientCallId FetchResponse(
    HttpClient* client, ClientRequest request,
    std::function<void(CallEnd end, int status, std::string body)> done);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_HTTP_HTTP_CLIENT_H_

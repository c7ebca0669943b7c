#include "burdockhill/src/transport/http_client.h"

#include <libwebsockets.h>

#include <array>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/vhost_owner.h"
#include "burdockhill/src/transport/wsi_support.h"

namespace burdockhill {

namespace {

constexpr char kProtocolName[] = "http-client";
constexpr size_t kBufferBytes = size_t{16} << 10;
constexpr unsigned int kConnectTimeoutSeconds = 3;

struct Call {
  ClientRequest request;
  ClientEvents events;
  lws* wsi = nullptr;
  bool connected = false;
  bool complete = false;
  bool cancelled = false;
  size_t body_bytes_sent = 0;
};

ClientCallId CallIdFrom(lws* wsi) {
  return internal::FromOpaque<ClientCallId>(wsi);
}

}  // namespace

class HttpClient::Impl : public internal::VhostOwner<HttpClient::Impl> {
 public:
  explicit Impl(EventLoop* loop) : m_context(loop->Context()) {
    m_protocols[0] = {kProtocolName, &Impl::Callback, 0, 0, 0, nullptr, 0};
    m_protocols[1] = {};
    lws_context_creation_info info = {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = m_protocols.data();
    info.vhost_name = "http-client";
    info.user = this;
    info.connect_timeout_secs = kConnectTimeoutSeconds;
    m_vhost = lws_create_vhost(m_context, &info);
    if (m_vhost == nullptr) throw std::runtime_error("cannot create a client");
  }

  ~Impl() {
    m_calls.Clear();
    lws_vhost_destroy(m_vhost);
  }

  ClientCallId Start(ClientRequest request, ClientEvents events) {
    const ClientCallId id(++m_last_call_id);
    Call& call = m_calls.FindOrInsert(id);
    call.request = std::move(request);
    call.events = std::move(events);
    m_starting_call = id;
    Connect(id, &call);
    m_starting_call = ClientCallId();
    // An immediate failure is reported by a timer, so that no callback is
    // called before Start returns.
    if (call.wsi == nullptr) ScheduleFailure(id);
    return id;
  }

  void Cancel(ClientCallId id) {
    Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    call->events = {};
    call->cancelled = true;
    if (call->wsi != nullptr) {
      lws_set_timeout(call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
  }

 private:
  struct ScheduledFailure {
    lws_sorted_usec_list_t timer;
    Impl* impl;
    ClientCallId id;
  };

  void Connect(ClientCallId id, Call* call) {
    const Address& address = call->request.address;
    lws_client_connect_info info = {};
    info.context = m_context;
    info.vhost = m_vhost;
    info.address = address.host.c_str();
    info.host = address.host.c_str();
    info.origin = address.host.c_str();
    info.port = address.port;
    info.path = call->request.path.c_str();
    info.method = call->request.method.c_str();
    info.protocol = kProtocolName;
    info.local_protocol_name = kProtocolName;
    info.opaque_user_data = internal::ToOpaque(id);
    call->wsi = lws_client_connect_via_info(&info);
  }

  void ScheduleFailure(ClientCallId id) {
    auto* failure = new ScheduledFailure{{}, this, id};
    lws_sul_schedule(
        m_context, 0, &failure->timer,
        [](lws_sorted_usec_list_t* timer) {
          auto* due = lws_container_of(timer, ScheduledFailure, timer);
          due->impl->EndCall(due->id);
          delete due;
        },
        1);
  }

  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t length) {
    Impl* impl = FindOwner(wsi);
    if (impl == nullptr) return 0;
    return impl->HandleCallback(wsi, reason, user, in, length);
  }

  int HandleCallback(lws* wsi, lws_callback_reasons reason, void* user,
                     void* in, size_t length) {
    switch (reason) {
      case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return AppendHeaders(wsi, static_cast<uint8_t**>(in), length);
      case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return WriteBody(wsi);
      case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return OnHead(wsi);
      case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return ReadAvailable(wsi);
      case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return OnData(wsi, {static_cast<char*>(in), length});
      case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        return OnComplete(wsi);
      case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      case LWS_CALLBACK_WSI_DESTROY:
        if (CallIdFrom(wsi) != m_starting_call) EndCall(CallIdFrom(wsi));
        return 0;
      default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
  }

  int AppendHeaders(lws* wsi, uint8_t** at, size_t capacity) {
    Call* call = m_calls.Find(CallIdFrom(wsi));
    if (call == nullptr || call->cancelled) return -1;
    call->connected = true;
    const ClientRequest& request = call->request;
    if (request.timeout.count() > 0) {
      lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                      static_cast<int>(request.timeout.count()));
    }
    uint8_t* end = *at + capacity;
    for (const auto& [name, value] : request.headers) {
      if (!AppendHeader(wsi, name, value, at, end)) return -1;
    }
    if (request.body.empty()) return 0;
    if (!AppendHeader(wsi, "content-type", request.content_type, at, end) ||
        !AppendHeader(wsi, "content-length",
                      std::to_string(request.body.size()), at, end)) {
      return -1;
    }
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
    return 0;
  }

  static bool AppendHeader(lws* wsi, const std::string& name,
                           const std::string& value, uint8_t** at,
                           uint8_t* end) {
    const std::string with_colon = name + ":";
    return lws_add_http_header_by_name(
               wsi, reinterpret_cast<const uint8_t*>(with_colon.c_str()),
               reinterpret_cast<const uint8_t*>(value.data()),
               static_cast<int>(value.size()), at, end) == 0;
  }

  int WriteBody(lws* wsi) {
    Call* call = m_calls.Find(CallIdFrom(wsi));
    if (call == nullptr || call->cancelled) return -1;
    const std::string& body = call->request.body;
    const size_t size =
        std::min(body.size() - call->body_bytes_sent, kBufferBytes);
    if (size == 0) return 0;
    std::array<uint8_t, LWS_PRE + kBufferBytes> buffer;
    std::memcpy(buffer.data() + LWS_PRE, body.data() + call->body_bytes_sent,
                size);
    const bool last = call->body_bytes_sent + size == body.size();
    if (last) lws_client_http_body_pending(wsi, 0);
    if (lws_write(wsi, buffer.data() + LWS_PRE, size,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
      return -1;
    }
    call->body_bytes_sent += size;
    if (!last) lws_callback_on_writable(wsi);
    return 0;
  }

  int OnHead(lws* wsi) {
    const ClientCallId id = CallIdFrom(wsi);
    Call* call = m_calls.Find(id);
    if (call == nullptr || call->cancelled) return -1;
    const auto status = static_cast<int>(lws_http_client_http_response(wsi));
    std::array<char, 128> content_type{};
    lws_hdr_copy(wsi, content_type.data(), content_type.size(),
                 WSI_TOKEN_HTTP_CONTENT_TYPE);
    if (call->request.timeout.count() == 0) {
      lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    }
    if (call->events.on_head) {
      call->events.on_head(status, content_type.data());
    }
    return 0;
  }

  int ReadAvailable(lws* wsi) {
    std::array<char, LWS_PRE + kBufferBytes> buffer;
    char* at = buffer.data() + LWS_PRE;
    int capacity = kBufferBytes;
    return lws_http_client_read(wsi, &at, &capacity) < 0 ? -1 : 0;
  }

  int OnData(lws* wsi, std::string_view data) {
    Call* call = m_calls.Find(CallIdFrom(wsi));
    if (call == nullptr || call->cancelled) return -1;
    if (call->events.on_data) call->events.on_data(data);
    return 0;
  }

  int OnComplete(lws* wsi) {
    Call* call = m_calls.Find(CallIdFrom(wsi));
    if (call != nullptr) call->complete = true;
    return -1;
  }

  void EndCall(ClientCallId id) {
    Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    CallEnd end = CallEnd::kNotConnected;
    if (call->connected) end = CallEnd::kBroken;
    if (call->complete) end = CallEnd::kComplete;
    const auto on_end = std::move(call->events.on_end);
    m_calls.Erase(id);
    if (on_end) on_end(end);
  }

  lws_context* m_context;
  lws_vhost* m_vhost = nullptr;
  std::array<lws_protocols, 2> m_protocols{};
  uint64_t m_last_call_id = 0;
  ClientCallId m_starting_call;
  Table<ClientCallId, Call> m_calls;
};

HttpClient::HttpClient(EventLoop* loop)
    : m_impl(std::make_unique<Impl>(loop)) {}

HttpClient::~HttpClient() = default;

ClientCallId HttpClient::Start(ClientRequest request, ClientEvents events) {
  return m_impl->Start(std::move(request), std::move(events));
}

void HttpClient::Cancel(ClientCallId id) { m_impl->Cancel(id); }

ClientCallId FetchResponse(
    HttpClient* client, ClientRequest request,
    std::function<void(CallEnd end, int status, std::string body)> done) {
  struct State {
    int status = 0;
    std::string body;
  };
  auto state = std::make_shared<State>();
  ClientEvents events;
  events.on_head = [state](int status, const std::string& /*content_type*/) {
    state->status = status;
  };
  events.on_data = [state](std::string_view data) { state->body += data; };
  events.on_end = [state, done = std::move(done)](CallEnd end) {
    done(end, state->status, std::move(state->body));
  };
  return client->Start(std::move(request), std::move(events));
}

}  // namespace burdockhill

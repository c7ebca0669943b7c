#include "burdockhill/src/transport/http_server.h"

#include <libwebsockets.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <cstring>
#include <stdexcept>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/vhost_owner.h"
#include "burdockhill/src/transport/wsi_support.h"

namespace burdockhill {

namespace {

constexpr char kProtocolName[] = "http";
constexpr size_t kMaxHeaderBytes = 8192;
constexpr size_t kMaxResponseHeaderBytes = 4096;
// Maximum size of one write to the socket.
constexpr size_t kMaxWriteBytes = size_t{64} << 10;

// Interval of the checks for connections that the caller has closed.
constexpr Duration kDisconnectCheckInterval = std::chrono::milliseconds(50);
// Streams are included in one of this many checks.
constexpr uint64_t kChecksPerStreamCheck = 20;

// State of one exchange, from the request header to the end of the response.
struct Exchange {
  lws* wsi = nullptr;
  HttpRequest request;
  bool body_too_large = false;
  bool response_started = false;
  bool headers_sent = false;
  bool response_ended = false;
  bool has_content_length = false;
  int status = 0;
  std::string content_type;
  HttpHeaders headers;
  std::string output;
  size_t output_start = 0;

  size_t PendingBytes() const { return output.size() - output_start; }
};

// User data that libwebsockets stores per connection.
struct Connection {
  uint64_t exchange;
};

std::string HeaderValue(lws* wsi, lws_token_indexes token) {
  const int length = lws_hdr_total_length(wsi, token);
  if (length <= 0) return {};
  std::string value(static_cast<size_t>(length) + 1, '\0');
  const int copied =
      lws_hdr_copy(wsi, value.data(), static_cast<int>(value.size()), token);
  value.resize(copied > 0 ? static_cast<size_t>(copied) : 0);
  return value;
}

std::string CustomHeaderValue(lws* wsi, std::string_view name_with_colon) {
  const int name_length = static_cast<int>(name_with_colon.size());
  const int length =
      lws_hdr_custom_length(wsi, name_with_colon.data(), name_length);
  if (length <= 0) return {};
  std::string value(static_cast<size_t>(length) + 1, '\0');
  const int copied =
      lws_hdr_custom_copy(wsi, value.data(), static_cast<int>(value.size()),
                          name_with_colon.data(), name_length);
  value.resize(copied > 0 ? static_cast<size_t>(copied) : 0);
  return value;
}

std::string QueryString(lws* wsi) {
  std::string query;
  std::array<char, 1024> fragment;
  int index = 0;
  while (lws_hdr_copy_fragment(wsi, fragment.data(), fragment.size(),
                               WSI_TOKEN_HTTP_URI_ARGS, index) > 0) {
    if (index > 0) query += '&';
    query += fragment.data();
    ++index;
  }
  return query;
}

std::string MethodName(lws* wsi) {
  struct MethodToken {
    lws_token_indexes token;
    const char* name;
  };
  static constexpr MethodToken kMethodTokens[] = {
      {WSI_TOKEN_GET_URI, "GET"},         {WSI_TOKEN_POST_URI, "POST"},
      {WSI_TOKEN_PUT_URI, "PUT"},         {WSI_TOKEN_DELETE_URI, "DELETE"},
      {WSI_TOKEN_PATCH_URI, "PATCH"},     {WSI_TOKEN_HEAD_URI, "HEAD"},
      {WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
  };
  for (const MethodToken& method : kMethodTokens) {
    if (lws_hdr_total_length(wsi, method.token) > 0) return method.name;
  }
  return {};
}

}  // namespace

class HttpServer::Impl : public internal::VhostOwner<HttpServer::Impl> {
 public:
  Impl(EventLoop* loop, const Options& options, HttpHandler* handler)
      : m_options(options), m_handler(handler) {
    m_protocols[0] = {
        kProtocolName, &Impl::Callback, sizeof(Connection), 0, 0, nullptr, 0};
    m_protocols[1] = {};
    lws_context_creation_info info = {};
    info.port = m_options.address.port;
    info.iface = m_options.address.host.c_str();
    info.protocols = m_protocols.data();
    info.vhost_name = "http-server";
    info.user = this;
    info.max_http_header_data = kMaxHeaderBytes;
    info.timeout_secs =
        static_cast<unsigned int>(m_options.stall_timeout.count());
    info.keepalive_timeout = 60;
    m_vhost = lws_create_vhost(loop->Context(), &info);
    if (m_vhost == nullptr) {
      throw std::runtime_error("cannot listen on " + m_options.address.host +
                               ":" + std::to_string(m_options.address.port));
    }
  }

  ~Impl() {
    m_handler = nullptr;
    lws_vhost_destroy(m_vhost);
  }

  void Respond(ExchangeId id, int status, std::string_view content_type,
               std::string body, const HttpHeaders& headers) {
    Exchange* exchange = StartResponse(id, status, content_type, headers);
    if (exchange == nullptr) return;
    exchange->has_content_length = true;
    exchange->output = std::move(body);
    exchange->response_ended = true;
    lws_callback_on_writable(exchange->wsi);
  }

  void StartStream(ExchangeId id, int status, std::string_view content_type,
                   const HttpHeaders& headers) {
    Exchange* exchange = StartResponse(id, status, content_type, headers);
    if (exchange != nullptr) lws_callback_on_writable(exchange->wsi);
  }

  void WriteStream(ExchangeId id, std::string_view data) {
    Exchange* exchange = m_exchanges.Find(id);
    if (exchange == nullptr || exchange->response_ended) return;
    if (exchange->output.empty()) m_streams_with_data.push_back(id);
    exchange->output.append(data);
  }

  // Aborts the exchanges whose callers have closed their connection or its
  // sending direction. libwebsockets doesn't report this while the response is
  // pending, and its event loop spins until such a connection is closed.
  void AbortDisconnected() {
    const TimePoint now = m_clock.Now();
    if (now < m_next_disconnect_check) return;
    m_next_disconnect_check = now + kDisconnectCheckInterval;
    // Streams are checked less often: their writes fail soon after a close.
    const bool check_streams = ++m_check_count % kChecksPerStreamCheck == 0;
    for (const auto& [id, exchange] : m_exchanges) {
      if (exchange.headers_sent && !check_streams) continue;
      char byte = 0;
      const ssize_t size = recv(lws_get_socket_fd(exchange.wsi), &byte, 1,
                                MSG_PEEK | MSG_DONTWAIT);
      if (size == 0) Abort(id);
    }
  }

  void Flush() {
    AbortDisconnected();
    for (const ExchangeId& id : std::exchange(m_streams_with_data, {})) {
      Exchange* exchange = m_exchanges.Find(id);
      if (exchange == nullptr) continue;
      // libwebsockets requires its writeable callback for the header and the
      // end of a response.
      const bool can_write_now = exchange->headers_sent &&
                                 !exchange->response_ended &&
                                 internal::CanWriteNow(exchange->wsi);
      const bool written = can_write_now && WriteBody(exchange->wsi, exchange);
      if (!written || exchange->PendingBytes() > 0) {
        lws_callback_on_writable(exchange->wsi);
      }
    }
  }

  void EndStream(ExchangeId id) {
    Exchange* exchange = m_exchanges.Find(id);
    if (exchange == nullptr || exchange->response_ended) return;
    exchange->response_ended = true;
    lws_callback_on_writable(exchange->wsi);
  }

  void Abort(ExchangeId id) {
    const Exchange* exchange = m_exchanges.Find(id);
    if (exchange == nullptr) return;
    lws_set_timeout(exchange->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }

  size_t PendingBytes(ExchangeId id) const {
    const Exchange* exchange = m_exchanges.Find(id);
    return exchange == nullptr ? 0 : exchange->PendingBytes();
  }

  size_t OpenExchangeCount() const { return m_exchanges.Size(); }

 private:
  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t length) {
    Impl* impl = FindOwner(wsi);
    auto* connection = static_cast<Connection*>(user);
    if (impl == nullptr) return 0;
    switch (reason) {
      case LWS_CALLBACK_HTTP:
        return impl->OnHeaders(wsi, connection,
                               {static_cast<char*>(in), length});
      case LWS_CALLBACK_HTTP_BODY:
        impl->OnBody(connection, {static_cast<char*>(in), length});
        return 0;
      case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        impl->OnRequestComplete(connection);
        return 0;
      case LWS_CALLBACK_HTTP_WRITEABLE:
        return impl->OnWriteable(wsi, connection);
      case LWS_CALLBACK_CLOSED_HTTP:
        if (connection != nullptr) impl->OnConnectionClosed(connection);
        return 0;
      default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
  }

  int OnHeaders(lws* wsi, Connection* connection, std::string_view path) {
    const ExchangeId id(++m_last_exchange_id);
    connection->exchange = id.Value();
    Exchange& exchange = m_exchanges.FindOrInsert(id);
    exchange.wsi = wsi;
    HttpRequest& request = exchange.request;
    request.method = MethodName(wsi);
    request.path = path;
    request.query = QueryString(wsi);
    request.authorization = HeaderValue(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    request.content_type = HeaderValue(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    request.if_match = HeaderValue(wsi, WSI_TOKEN_HTTP_IF_MATCH);
    request.idempotency_key = CustomHeaderValue(wsi, "idempotency-key:");
    const std::string length = HeaderValue(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const uint64_t body_bytes =
        length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    if (body_bytes > m_options.max_body_bytes) {
      exchange.body_too_large = true;
      OnRequestComplete(connection);
      return 0;
    }
    if (body_bytes == 0) OnRequestComplete(connection);
    return 0;
  }

  void OnBody(Connection* connection, std::string_view data) {
    Exchange* exchange = m_exchanges.Find(ExchangeId(connection->exchange));
    if (exchange == nullptr || exchange->body_too_large) return;
    exchange->request.body.append(data);
  }

  void OnRequestComplete(Connection* connection) {
    const ExchangeId id(connection->exchange);
    Exchange* exchange = m_exchanges.Find(id);
    if (exchange == nullptr || exchange->response_started) return;
    lws_set_timeout(exchange->wsi, NO_PENDING_TIMEOUT, 0);
    if (exchange->body_too_large) {
      Respond(
          id, HTTP_STATUS_REQ_ENTITY_TOO_LARGE, "application/json",
          R"({"error":{"type":"too_large","message":"The body is too large.","outcome":"not_run"}})",
          {});
      return;
    }
    m_handler->OnRequest(id, std::move(exchange->request));
  }

  void OnConnectionClosed(Connection* connection) {
    const ExchangeId id(connection->exchange);
    connection->exchange = 0;
    Exchange* exchange = m_exchanges.Find(id);
    if (exchange == nullptr) return;
    const bool handled = !exchange->body_too_large;
    m_exchanges.Erase(id);
    if (handled && m_handler != nullptr) m_handler->OnClosed(id);
  }

  Exchange* StartResponse(ExchangeId id, int status,
                          std::string_view content_type,
                          const HttpHeaders& headers) {
    Exchange* exchange = m_exchanges.Find(id);
    if (exchange == nullptr || exchange->response_started) return nullptr;
    exchange->response_started = true;
    exchange->status = status;
    exchange->content_type = content_type;
    exchange->headers = headers;
    return exchange;
  }

  int OnWriteable(lws* wsi, Connection* connection) {
    const ExchangeId id(connection->exchange);
    Exchange* exchange = m_exchanges.Find(id);
    if (exchange == nullptr || !exchange->response_started) return 0;
    if (!exchange->headers_sent && !WriteHeaders(wsi, exchange)) return -1;
    if (!WriteBody(wsi, exchange)) return -1;
    if (!exchange->response_ended || exchange->PendingBytes() > 0) {
      if (exchange->PendingBytes() > 0) lws_callback_on_writable(wsi);
      return 0;
    }
    const bool close = exchange->body_too_large;
    m_exchanges.Erase(id);
    connection->exchange = 0;
    if (close) return -1;
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
  }

  static bool WriteHeaders(lws* wsi, Exchange* exchange) {
    std::array<uint8_t, LWS_PRE + kMaxResponseHeaderBytes> buffer;
    uint8_t* start = buffer.data() + LWS_PRE;
    uint8_t* at = start;
    uint8_t* end = buffer.data() + buffer.size() - 1;
    const lws_filepos_t length = exchange->has_content_length
                                     ? exchange->PendingBytes()
                                     : LWS_ILLEGAL_HTTP_CONTENT_LEN;
    if (lws_add_http_common_headers(
            wsi, static_cast<unsigned int>(exchange->status),
            exchange->content_type.c_str(), length, &at, end) != 0) {
      return false;
    }
    for (const auto& [name, value] : exchange->headers) {
      const std::string with_colon = name + ":";
      if (lws_add_http_header_by_name(
              wsi, reinterpret_cast<const uint8_t*>(with_colon.c_str()),
              reinterpret_cast<const uint8_t*>(value.data()),
              static_cast<int>(value.size()), &at, end) != 0) {
        return false;
      }
    }
    if (lws_finalize_write_http_header(wsi, start, &at, end) != 0) return false;
    exchange->headers_sent = true;
    return true;
  }

  static bool WriteBody(lws* wsi, Exchange* exchange) {
    const size_t size = std::min(exchange->PendingBytes(), kMaxWriteBytes);
    if (size == 0) return true;
    static thread_local std::vector<uint8_t> buffer(LWS_PRE + kMaxWriteBytes);
    std::memcpy(buffer.data() + LWS_PRE,
                exchange->output.data() + exchange->output_start, size);
    const bool final =
        exchange->response_ended && size == exchange->PendingBytes();
    const int written =
        lws_write(wsi, buffer.data() + LWS_PRE, size,
                  final ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < 0) return false;
    exchange->output_start += size;
    if (exchange->PendingBytes() == 0) {
      exchange->output.clear();
      exchange->output_start = 0;
    }
    return true;
  }

  Options m_options;
  HttpHandler* m_handler;
  lws_vhost* m_vhost = nullptr;
  std::array<lws_protocols, 2> m_protocols{};
  uint64_t m_last_exchange_id = 0;
  SystemClock m_clock;
  TimePoint m_next_disconnect_check{};
  uint64_t m_check_count = 0;
  Table<ExchangeId, Exchange> m_exchanges;
  std::vector<ExchangeId> m_streams_with_data;
};

HttpServer::HttpServer(EventLoop* loop, const Options& options,
                       HttpHandler* handler)
    : m_impl(std::make_unique<Impl>(loop, options, handler)) {}

HttpServer::~HttpServer() = default;

void HttpServer::Respond(ExchangeId id, int status,
                         std::string_view content_type, std::string body,
                         const HttpHeaders& headers) {
  m_impl->Respond(id, status, content_type, std::move(body), headers);
}

void HttpServer::StartStream(ExchangeId id, int status,
                             std::string_view content_type,
                             const HttpHeaders& headers) {
  m_impl->StartStream(id, status, content_type, headers);
}

void HttpServer::WriteStream(ExchangeId id, std::string_view data) {
  m_impl->WriteStream(id, data);
}

void HttpServer::EndStream(ExchangeId id) { m_impl->EndStream(id); }

void HttpServer::Flush() { m_impl->Flush(); }

void HttpServer::Abort(ExchangeId id) { m_impl->Abort(id); }

size_t HttpServer::PendingBytes(ExchangeId id) const {
  return m_impl->PendingBytes(id);
}

size_t HttpServer::OpenExchangeCount() const {
  return m_impl->OpenExchangeCount();
}

}  // namespace burdockhill

#include "burdockhill/src/http/http_server.h"

#include <utility>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/tcp_sockets.h"

namespace burdockhill {

namespace {

constexpr size_t kMaxHeaderBytes = 8192;
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(50);

std::string HeaderValue(const http::Headers& headers, std::string_view name) {
  const std::string* value = headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

HttpRequest DecodeRequest(const http::Head& head, std::string body) {
  const size_t question_mark = head.target.find('?');
  HttpRequest request;
  request.method = head.method;
  request.path = head.target.substr(0, question_mark);
  if (question_mark != std::string::npos) {
    request.query = head.target.substr(question_mark + 1);
  }
  request.authorization = HeaderValue(head.headers, "Authorization");
  request.content_type = HeaderValue(head.headers, "Content-Type");
  request.idempotency_key = HeaderValue(head.headers, "Idempotency-Key");
  request.if_match = HeaderValue(head.headers, "If-Match");
  request.body = std::move(body);
  return request;
}

http::Head ResponseHead(int status, std::string_view content_type,
                        const HttpHeaders& headers) {
  http::Head head;
  head.status = status;
  head.headers.Add("Content-Type", std::string(content_type));
  for (const auto& [name, value] : headers) head.headers.Add(name, value);
  return head;
}

}  // namespace

class HttpServer::Impl : private http::ServerEvents, private BufferOwner {
 public:
  Impl(EventLoop* loop, const Options& options, HttpHandler* handler)
      : m_loop(loop),
        m_handler(handler),
        m_sockets(loop),
        m_server(&m_sockets, &m_clock, this) {
    http::ServerLimits limits;
    limits.max_header_bytes = kMaxHeaderBytes;
    limits.max_body_bytes = options.max_body_bytes;
    limits.header_timeout = options.stall_timeout;
    limits.idle_timeout = options.stall_timeout;
    m_server.SetLimits(limits);
    m_server.Listen(options.address);
    ScheduleTimeoutCheck();
  }

  ~Impl() override {
    m_loop->CancelTimer(m_check_timer);
    m_loop->CancelTimer(m_abort_timer);
  }

  void Respond(ExchangeId id, int status, std::string_view content_type,
               const std::string& body, const HttpHeaders& headers) {
    m_server.Respond(id, ResponseHead(status, content_type, headers), body);
  }

  void StartStream(ExchangeId id, int status, std::string_view content_type,
                   const HttpHeaders& headers) {
    m_server.StartStream(id, ResponseHead(status, content_type, headers));
  }

  void WriteStream(ExchangeId id, std::string_view data) {
    if (!m_server.IsOpen(id)) return;
    Queued& queued = m_queued.FindOrInsert(id);
    if (queued.data.empty()) {
      queued.charge.Open(&m_sockets.Buffers(), BufferKind::kOutput,
                         "response " + std::to_string(id.Value()), this,
                         BufferKey(id.Value()));
    }
    queued.data.append(data);
    queued.charge.SetBytes(queued.data.capacity());
  }

  void EndStream(ExchangeId id) {
    if (const Queued* queued = m_queued.Find(id)) {
      m_server.WriteStream(id, queued->data);
      m_queued.Erase(id);
    }
    m_server.EndStream(id);
  }

  void Flush() {
    for (const auto& [id, queued] : std::exchange(m_queued, {})) {
      m_server.WriteStream(id, queued.data);
    }
  }

  void Abort(ExchangeId id) {
    if (!m_server.IsOpen(id)) return;
    m_server.Abort(id);
    m_queued.Erase(id);
    m_aborted.push_back(id);
    if (m_abort_timer.IsValid()) return;
    m_abort_timer = m_loop->CallAfter(Duration(0), [this] { NotifyAborted(); });
  }

  size_t PendingBytes(ExchangeId id) const {
    const Queued* queued = m_queued.Find(id);
    return m_server.PendingBytes(id) +
           (queued == nullptr ? 0 : queued->data.size());
  }

  BufferBudget& Buffers() { return m_sockets.Buffers(); }

  size_t OpenExchangeCount() const { return m_server.OpenExchangeCount(); }

  bool HasUnsentBytes() const {
    return m_queued.Size() > 0 || m_sockets.TotalPendingBytes() > 0;
  }

 private:
  struct Queued {
    std::string data;
    BufferCharge charge;
  };

  void OnBufferEvicted(BufferKey key) override {
    Abort(ExchangeId(key.Value()));
  }

  void ScheduleTimeoutCheck() {
    m_check_timer = m_loop->CallAfter(kTimeoutCheckInterval, [this] {
      const TimePoint now = m_clock.Now();
      m_server.CheckTimeouts(now);
      m_sockets.CheckTimeouts(now);
      ScheduleTimeoutCheck();
    });
  }

  void NotifyAborted() {
    m_abort_timer = TimerId();
    for (const ExchangeId id : std::exchange(m_aborted, {})) {
      m_handler->OnClosed(id);
    }
  }

  void OnRequest(ExchangeId id, http::Head head, std::string body) override {
    m_handler->OnRequest(id, DecodeRequest(head, std::move(body)));
  }

  // A caller that has only closed its sending direction counts as gone too.
  void OnCallerDisconnected(ExchangeId id) override {
    m_server.Abort(id);
    m_queued.Erase(id);
    m_handler->OnClosed(id);
  }

  EventLoop* m_loop;
  HttpHandler* m_handler;
  SystemClock m_clock;
  TcpSockets m_sockets;
  http::Server m_server;
  TimerId m_check_timer;
  TimerId m_abort_timer;
  std::vector<ExchangeId> m_aborted;   // OnClosed is still to be called.
  Table<ExchangeId, Queued> m_queued;  // Data of streams, until Flush.
};

HttpServer::HttpServer(EventLoop* loop, const Options& options,
                       HttpHandler* handler)
    : m_impl(std::make_unique<Impl>(loop, options, handler)) {}

HttpServer::~HttpServer() = default;

BufferBudget& HttpServer::Buffers() { return m_impl->Buffers(); }

void HttpServer::Respond(ExchangeId id, int status,
                         std::string_view content_type, const std::string& body,
                         const HttpHeaders& headers) {
  m_impl->Respond(id, status, content_type, body, headers);
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

bool HttpServer::HasUnsentBytes() const { return m_impl->HasUnsentBytes(); }

}  // namespace burdockhill

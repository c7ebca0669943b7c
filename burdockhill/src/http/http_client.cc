#include "burdockhill/src/http/http_client.h"

#include <utility>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/http/held_end.h"
#include "burdockhill/src/http/message_reader.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/tcp_sockets.h"

namespace burdockhill {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(3);
// What has arrived within the time limit of a call is read within this time.
constexpr Duration kLateReadTime = std::chrono::milliseconds(50);
constexpr Duration kHeldEndInterval = std::chrono::milliseconds(20);
constexpr size_t kMaxResponseHeaderBytes = size_t{64} << 10;
constexpr std::string_view kHeadMethod = "HEAD";

struct Call {
  ClientRequest request;
  // Shared, since a callback may cancel the call that it is called for.
  std::shared_ptr<const ClientEvents> events;
  SocketId socket;
  TimerId timer;
  http::MessageReader reader{http::MessageKind::kResponse,
                             kMaxResponseHeaderBytes};
  bool connected = false;
  bool head_reported = false;
  bool reads_late = false;  // The time limit is over.
  http::HeldEnd held_end;
  TimerId held_end_timer;
  size_t kept_bytes = 0;  // Of the body, by the receiver.
  BufferCharge charge;
};

std::string SourceName(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

std::string Format(const ClientRequest& request) {
  http::Head head;
  head.method = request.method;
  head.target = request.path;
  head.headers = request.headers;
  if (!request.body.empty()) {
    head.headers.Add("Content-Type", request.content_type);
  }
  return http::FormatRequest(head, request.address.host, request.body.size()) +
         request.body;
}

}  // namespace

class HttpClient::Impl : private SocketEvents, private BufferOwner {
 public:
  explicit Impl(EventLoop* loop) : m_loop(loop), m_sockets(loop) {}

  ~Impl() override {
    for (const auto& [id, call] : m_calls) CancelTimers(call);
  }

  void SetObserver(http::ResponseObserver* observer) { m_observer = observer; }

  ClientCallId Start(ClientRequest request, ClientEvents events) {
    const ClientCallId id(++m_last_call_id);
    Call& call = m_calls.FindOrInsert(id);
    call.request = std::move(request);
    call.events = std::make_shared<const ClientEvents>(std::move(events));
    call.charge.Open(&m_sockets.Buffers(), BufferKind::kAnswer,
                     SourceName(call.request.address), this,
                     BufferKey(id.Value()));
    if (call.request.method == kHeadMethod) call.reader.ExpectNoBody();
    call.socket = m_sockets.Connect(call.request.address, this);
    if (call.socket.IsValid()) m_calls_by_socket.FindOrInsert(call.socket, id);
    // An immediate failure is reported by the timer, so that no callback is
    // called before Start returns.
    SetTimer(id, &call, call.socket.IsValid() ? kConnectTimeout : Duration(0));
    return id;
  }

  void Cancel(ClientCallId id) { Remove(id, /*reset=*/true); }

 private:
  void SetTimer(ClientCallId id, Call* call, Duration delay) {
    m_loop->CancelTimer(call->timer);
    call->timer = m_loop->CallAfter(delay, [this, id] { OnTimeout(id); });
  }

  void CancelTimers(const Call& call) {
    m_loop->CancelTimer(call.timer);
    m_loop->CancelTimer(call.held_end_timer);
  }

  void OnTimeout(ClientCallId id) {
    Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    const bool may_read =
        call->connected && m_sockets.HasUnreadInput(call->socket);
    if (!may_read || std::exchange(call->reads_late, true)) return Fail(id);
    SetTimer(id, call, kLateReadTime);
  }

  // Returns the callbacks of the removed call, or nullptr if there is none.
  std::shared_ptr<const ClientEvents> Remove(ClientCallId id, bool reset) {
    Call* call = m_calls.Find(id);
    if (call == nullptr) return nullptr;
    std::shared_ptr<const ClientEvents> events = std::move(call->events);
    const SocketId socket = call->socket;
    CancelTimers(*call);
    m_calls_by_socket.Erase(socket);
    m_calls.Erase(id);
    m_sockets.Close(socket, reset);
    return events;
  }

  void Fail(ClientCallId id, CallEnd end = CallEnd::kBroken) {
    const Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    if (!call->connected) end = CallEnd::kNotConnected;
    const auto events = Remove(id, /*reset=*/true);
    if (events->on_end) events->on_end(end);
  }

  // Ends a call that exceeds a bound of its own.
  void FailTooLarge(ClientCallId id, const Call& call, size_t bound) {
    m_sockets.Buffers().ReportOverflow({BufferKind::kAnswer,
                                        SourceName(call.request.address),
                                        call.charge.Bytes(), bound});
    Fail(id, CallEnd::kTooLarge);
  }

  void FailMalformed(ClientCallId id, const Call& call,
                     http::Malformation reason) {
    if (m_observer != nullptr) {
      m_observer->OnResponseRejected(
          {SourceName(call.request.address),
           call.request.method + " " + call.request.path, reason});
    }
    Fail(id);
  }

  void OnBufferEvicted(BufferKey key) override {
    Fail(ClientCallId(key.Value()), CallEnd::kTooLarge);
  }

  // Passes the head to the receiver. Returns the call, or nullptr if it has
  // ended meanwhile.
  Call* ReportHead(ClientCallId id, Call* call) {
    if (http::HeldEnd::Applies(call->reader)) {
      call->held_end.BeginResponse(m_sockets.UnacknowledgedBytes(call->socket));
    }
    const std::shared_ptr<const ClientEvents> events = call->events;
    if (!events->on_head) return call;
    events->on_head(call->reader.MessageHead());
    return m_calls.Find(id);
  }

  // Passes data of the body to the receiver. Returns the call, or nullptr if it
  // has ended meanwhile.
  Call* Deliver(ClientCallId id, Call* call, std::string_view data) {
    const std::shared_ptr<const ClientEvents> events = call->events;
    size_t kept = call->kept_bytes;
    if (events->on_stream_data) {
      kept = events->on_stream_data(data);
    } else if (events->on_data) {
      kept += data.size();
      events->on_data(data);
    }
    call = m_calls.Find(id);
    if (call == nullptr) return nullptr;
    call->kept_bytes = kept;
    call->charge.SetBytes(call->reader.HeadMemory() + kept);
    if (kept <= call->request.max_kept_bytes) return call;
    FailTooLarge(id, *call, call->request.max_kept_bytes);
    return nullptr;
  }

  // Reports what the reader has parsed, and the end of the call if the response
  // is complete or malformed.
  void Report(ClientCallId id) {
    Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    if (call->reader.HasHead() && !std::exchange(call->head_reported, true)) {
      call = ReportHead(id, call);
      if (call == nullptr) return;
    }
    const std::string body = std::exchange(call->reader.Body(), {});
    if (!body.empty()) {
      call = Deliver(id, call, body);
      if (call == nullptr) return;
    }
    if (call->reader.Error() == http::ReadError::kHeaderTooLarge) {
      return FailTooLarge(id, *call, kMaxResponseHeaderBytes);
    }
    if (call->reader.Error() != http::ReadError::kNone) {
      return FailMalformed(id, *call, call->reader.Fault());
    }
    if (!call->reader.IsComplete()) return;
    const auto events = Remove(id, /*reset=*/false);
    if (events->on_end) events->on_end(CallEnd::kComplete);
  }

  ClientCallId CallIdOf(SocketId socket) const {
    const ClientCallId* id = m_calls_by_socket.Find(socket);
    return id == nullptr ? ClientCallId() : *id;
  }

  void OnConnected(SocketId socket) override {
    const ClientCallId id = CallIdOf(socket);
    Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    call->connected = true;
    m_loop->CancelTimer(std::exchange(call->timer, TimerId()));
    if (call->request.timeout.count() > 0) {
      SetTimer(id, call, call->request.timeout);
    }
    m_sockets.Write(socket, Format(call->request));
  }

  void OnBytes(SocketId socket, std::string_view bytes) override {
    const ClientCallId id = CallIdOf(socket);
    Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    call->reader.Consume(bytes);
    call->charge.SetBytes(call->reader.HeadMemory() + call->kept_bytes);
    Report(id);
  }

  void OnEndOfInput(SocketId socket) override {
    const ClientCallId id = CallIdOf(socket);
    Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    if (http::HeldEnd::Applies(call->reader) &&
        call->held_end.Begin(m_sockets.UnacknowledgedBytes(socket),
                             m_clock.Now())) {
      return ScheduleHeldEndCheck(id, call);
    }
    FinishAtEndOfInput(id, call);
  }

  void FinishAtEndOfInput(ClientCallId id, Call* call) {
    call->reader.ConsumeEndOfInput();
    Report(id);
    // Ends the call if nothing was received, which is not reported.
    Fail(id);
  }

  void ScheduleHeldEndCheck(ClientCallId id, Call* call) {
    call->held_end_timer =
        m_loop->CallAfter(kHeldEndInterval, [this, id] { CheckHeldEnd(id); });
  }

  void CheckHeldEnd(ClientCallId id) {
    Call* call = m_calls.Find(id);
    if (call == nullptr) return;
    call->held_end_timer = TimerId();
    switch (call->held_end.Check(m_sockets.UnacknowledgedBytes(call->socket),
                                 m_clock.Now())) {
      case http::HeldEnd::State::kHeld:
        return ScheduleHeldEndCheck(id, call);
      case http::HeldEnd::State::kOver:
        return FinishAtEndOfInput(id, call);
      case http::HeldEnd::State::kTimedOut:
        return FailMalformed(id, *call, http::Malformation::kEndedEarly);
    }
  }

  void OnFailed(SocketId socket) override {
    const ClientCallId id = CallIdOf(socket);
    const Call* call = m_calls.Find(id);
    if (call != nullptr && call->held_end.HasBegun()) {
      return FailMalformed(id, *call, http::Malformation::kEndedEarly);
    }
    Fail(id);
  }

  EventLoop* m_loop;
  SystemClock m_clock;
  TcpSockets m_sockets;
  http::ResponseObserver* m_observer = nullptr;
  uint64_t m_last_call_id = 0;
  Table<ClientCallId, Call> m_calls;
  Table<SocketId, ClientCallId> m_calls_by_socket;
};

HttpClient::HttpClient(EventLoop* loop)
    : m_impl(std::make_unique<Impl>(loop)) {}

HttpClient::~HttpClient() = default;

void HttpClient::SetObserver(http::ResponseObserver* observer) {
  m_impl->SetObserver(observer);
}

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
  events.on_head = [state](const http::Head& head) {
    state->status = head.status;
  };
  events.on_data = [state](std::string_view data) { state->body += data; };
  events.on_end = [state, done = std::move(done)](CallEnd end) {
    if (end == CallEnd::kTooLarge) std::string().swap(state->body);
    done(end, state->status, std::move(state->body));
  };
  return client->Start(std::move(request), std::move(events));
}

}  // namespace burdockhill

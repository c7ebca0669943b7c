#include "burdockhill/src/adapters/engine_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "burdockhill/src/http/sse_event_splitter.h"
#include "burdockhill/src/resources/untrusted_json.h"

namespace burdockhill {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kCancelTimeout{1};
constexpr std::chrono::seconds kStateTimeout{2};
constexpr std::chrono::seconds kPrefillTimeout{120};
constexpr int kHttpOk = 200;
constexpr int kHttpGone = 410;
constexpr int kHttpServiceUnavailable = 503;
constexpr std::string_view kDataField = "data: ";
// Of an answer of a plain service. A message to a peer has it whole.
constexpr size_t kMaxAnswerBytes = size_t{4} << 20;

std::string FormatAddress(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

std::string ContentType(const http::Head& head) {
  const std::string* type = head.headers.Find("Content-Type");
  return type == nullptr ? std::string() : *type;
}

// Whether a response that is complete by its framing is whole. Event streams
// must not end inside an event.
bool IsWhole(const http::Head& head, const std::string& body) {
  if (ContentType(head).empty() || !http::IsEventStream(head)) return true;
  http::SseEventSplitter events;
  events.Append(body);
  return events.EndsStream(FramingOf(head));
}

std::optional<EngineState> ParseEngineState(const std::string& body) {
  const json text = ParseUntrustedJson(body);
  try {
    EngineState state;
    state.boot_id = text.at("boot").get<uint64_t>();
    state.role = text.at("role") == "prefill" ? EngineRole::kPrefill
                                              : EngineRole::kDecode;
    state.slots = text.at("slots").get<uint32_t>();
    state.pieces = Pieces(text.at("pieces").get<int64_t>());
    state.piece_size = Tokens(text.at("piece_tokens").get<int64_t>());
    state.prefill_rate = text.at("prefill_rate").get<int64_t>();
    state.request_ids = text.at("requests").get<std::vector<std::string>>();
    if (state.piece_size.Value() <= 0) return std::nullopt;
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

EngineClient::EngineClient(HttpClient* client, const Settings& settings)
    : m_client(client), m_plain(settings.serves_plain) {
  for (const BackEnd& back_end : settings.back_ends) {
    m_addresses[back_end.name] = *ParseAddress(back_end.address);
  }
}

void EngineClient::Prefill(const EngineName& engine,
                           const PrefillCommand& command) {
  const json body = {
      {"id", EngineRequestId(command.attempt)},
      {"priority", static_cast<int>(command.request_class)},
      {"prompt", command.text},
      {"parameters", json::parse(command.parameters, nullptr, false)}};
  ClientRequest request = PostRequest(engine, "/v1/prefill", body.dump());
  request.timeout = kPrefillTimeout;
  const AttemptId attempt = command.attempt;
  const std::string kv_source = FormatAddress(m_addresses.at(engine));
  m_calls_in_flight.FindOrInsert(attempt) =
      FetchResponse(m_client, std::move(request),
                    [this, attempt, kv_source](CallEnd end, int status,
                                               const std::string& answer) {
                      m_calls_in_flight.Erase(attempt);
                      OnPrefillAnswer(attempt, kv_source, end, status, answer);
                    });
}

void EngineClient::OnPrefillAnswer(const AttemptId& attempt,
                                   const std::string& kv_source, CallEnd end,
                                   int status, const std::string& body) {
  if (end != CallEnd::kComplete || status != kHttpOk) {
    return ReportFailure(attempt, end, status);
  }
  const json answer = ParseUntrustedJson(body);
  try {
    const auto handle = answer.at("kv_handle").get<std::string>();
    const Tokens prompt(answer.at("prompt_tokens").get<int64_t>());
    const Tokens reused(answer.at("reused_tokens").get<int64_t>());
    m_events->OnPrefillDone(attempt, handle, kv_source, prompt, reused);
  } catch (const json::exception&) {
    m_events->OnCommandFailed(attempt, ErrorKind::kUpstreamFailed, true);
  }
}

void EngineClient::Decode(const EngineName& engine,
                          const DecodeCommand& command) {
  const json body = {
      {"id", EngineRequestId(command.attempt)},
      {"priority", static_cast<int>(command.request_class)},
      {"kv_handle", command.kv_handle},
      {"kv_source", command.kv_source},
      {"max_tokens", command.max_output.Value()},
      {"first_offset", command.first_offset},
      {"parameters", json::parse(command.parameters, nullptr, false)}};
  struct Stream {
    int status = 0;
    std::string partial_line;
    size_t ignored_bytes = 0;  // Of an error.
  };
  auto stream = std::make_shared<Stream>();
  const AttemptId attempt = command.attempt;
  ClientEvents events;
  events.on_head = [stream](const http::Head& head) {
    stream->status = head.status;
  };
  events.on_stream_data = [this, attempt, stream](std::string_view data) {
    if (stream->status != kHttpOk) {
      // Counts as kept, so that an error without end is ended too.
      return stream->ignored_bytes += data.size();
    }
    OnStreamData(attempt, &stream->partial_line, data);
    return stream->partial_line.size();
  };
  events.on_end = [this, attempt, stream](CallEnd end) {
    // OnStreamLine() erases a call whose last event it has reported.
    if (m_calls_in_flight.Find(attempt) == nullptr) return;
    m_calls_in_flight.Erase(attempt);
    ReportFailure(attempt, end == CallEnd::kComplete ? CallEnd::kBroken : end,
                  stream->status);
  };
  m_calls_in_flight.FindOrInsert(attempt) = m_client->Start(
      PostRequest(engine, "/v1/decode", body.dump()), std::move(events));
}

void EngineClient::OnStreamData(const AttemptId& attempt,
                                std::string* partial_line,
                                std::string_view data) {
  partial_line->append(data);
  size_t start = 0;
  for (;;) {
    const size_t end = partial_line->find('\n', start);
    if (end == std::string::npos) break;
    OnStreamLine(attempt,
                 std::string_view{*partial_line}.substr(start, end - start));
    start = end + 1;
  }
  partial_line->erase(0, start);
}

void EngineClient::OnStreamLine(const AttemptId& attempt,
                                std::string_view line) {
  if (!line.starts_with(kDataField)) return;
  line.remove_prefix(kDataField.size());
  const json event = ParseUntrustedJson(line);
  try {
    const auto offset = event.at("offset").get<uint64_t>();
    const auto tokens = event.at("tokens").get<uint32_t>();
    const auto text = event.at("text").get<std::string>();
    const auto finish = event.value("finish_reason", std::string());
    if (!finish.empty()) m_calls_in_flight.Erase(attempt);
    m_events->OnTokens(attempt, offset, tokens, text, finish);
  } catch (const json::exception&) {
    // A malformed event leaves a gap in the offsets: later events are dropped,
    // and the attempt fails when the stream ends without its last event.
  }
}

void EngineClient::Cancel(const EngineName& engine, const AttemptId& attempt) {
  if (const ClientCallId* call = m_calls_in_flight.Find(attempt)) {
    m_client->Cancel(*call);
    m_calls_in_flight.Erase(attempt);
  }
  const json body = {{"id", EngineRequestId(attempt)}};
  ClientRequest request = PostRequest(engine, "/v1/cancel", body.dump());
  request.timeout = kCancelTimeout;
  FetchResponse(
      m_client, std::move(request),
      [this, attempt](CallEnd end, int status, const std::string& /*body*/) {
        // Any other result leaves the cancel unconfirmed; the core repeats it.
        if (end == CallEnd::kComplete && status == kHttpOk) {
          m_events->OnCancelConfirmed(attempt);
        }
      });
}

void EngineClient::CancelOrphanedRequest(const EngineName& engine,
                                         const std::string& request_id) {
  const json body = {{"id", request_id}};
  ClientRequest request = PostRequest(engine, "/v1/cancel", body.dump());
  request.timeout = kCancelTimeout;
  FetchResponse(m_client, std::move(request),
                [](CallEnd, int, const std::string&) {});
}

void EngineClient::PollState(const EngineName& engine) {
  ClientRequest request;
  request.address = m_addresses.at(engine);
  request.path = m_plain ? "/healthz" : "/v1/state";
  request.timeout = kStateTimeout;
  FetchResponse(
      m_client, std::move(request),
      [this, engine](CallEnd end, int status, const std::string& body) {
        if (end != CallEnd::kComplete || status != kHttpOk) {
          m_events->OnEngineState(engine, std::nullopt);
        } else if (m_plain) {
          m_events->OnEngineState(engine, EngineState());
        } else {
          m_events->OnEngineState(engine, ParseEngineState(body));
        }
      });
}

void EngineClient::Call(const EngineName& engine, const CallService& call) {
  ClientRequest request;
  request.address = m_addresses.at(engine);
  request.method = call.method;
  request.path = call.path;
  request.content_type = call.content_type;
  request.body = call.body;
  if (!call.idempotency_key.empty()) {
    request.headers.Add("Idempotency-Key", call.idempotency_key);
  }
  request.timeout =
      std::max(std::chrono::seconds(1),
               std::chrono::duration_cast<std::chrono::seconds>(call.timeout));
  request.max_kept_bytes = kMaxAnswerBytes;
  const AttemptId attempt = call.attempt;
  struct Answer {
    http::Head head;
    std::string body;
  };
  auto answer = std::make_shared<Answer>();
  ClientEvents events;
  events.on_head = [answer](const http::Head& head) { answer->head = head; };
  events.on_data = [answer](std::string_view data) { answer->body += data; };
  events.on_end = [this, attempt, answer](CallEnd end) {
    m_calls_in_flight.Erase(attempt);
    if (end != CallEnd::kComplete || !IsWhole(answer->head, answer->body)) {
      return m_events->OnCommandFailed(attempt, ErrorKind::kUpstreamFailed,
                                       end != CallEnd::kNotConnected);
    }
    m_events->OnCallAnswered(attempt, answer->head.status,
                             ContentType(answer->head), answer->body);
  };
  m_calls_in_flight.FindOrInsert(attempt) =
      m_client->Start(std::move(request), std::move(events));
}

ClientRequest EngineClient::PostRequest(const EngineName& engine,
                                        const std::string& path,
                                        std::string body) const {
  ClientRequest request;
  request.address = m_addresses.at(engine);
  request.method = "POST";
  request.path = path;
  request.body = std::move(body);
  return request;
}

void EngineClient::ReportFailure(const AttemptId& attempt, CallEnd end,
                                 int status) {
  // An engine that responds with an error status has not run the command.
  if (status == kHttpGone) {
    return m_events->OnCommandFailed(attempt, ErrorKind::kKvGone, false);
  }
  if (status == kHttpServiceUnavailable) {
    return m_events->OnCommandFailed(attempt, ErrorKind::kOverloaded, false);
  }
  if (status != 0 && status != kHttpOk) {
    return m_events->OnCommandFailed(attempt, ErrorKind::kUpstreamRefused,
                                     false);
  }
  m_events->OnCommandFailed(attempt, ErrorKind::kUpstreamFailed,
                            end != CallEnd::kNotConnected);
}

}  // namespace burdockhill

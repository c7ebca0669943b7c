#include "burdockhill/src/adapters/caller_api.h"

#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

namespace burdockhill {

namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr char kEventStream[] = "text/event-stream";
constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kBearer = "Bearer ";
// A stream with more unsent bytes is aborted: its caller reads too slowly. So
// is a response that is sent at once and has more output.
constexpr size_t kMaxBacklogBytes = size_t{4} << 20;

HttpHeaders RequestIdHeaders(RequestId id) {
  return {{"x-request-id", FormatRequestId(id)}};
}

}  // namespace

std::optional<KeyDigest> KeyOf(std::string_view authorization) {
  if (!authorization.starts_with(kBearer)) return std::nullopt;
  return KeyDigest::Of(authorization.substr(kBearer.size()));
}

void CallerApi::OnRequest(ExchangeId id, HttpRequest request) {
  const bool chat = request.path == "/v1/chat/completions";
  const bool text = request.path == "/v1/completions";
  if (chat || text) {
    if (request.method != "POST") {
      return RespondError(id, ErrorKind::kMethodNotAllowed);
    }
    return OnCompletion(
        id, chat ? CompletionStyle::kChat : CompletionStyle::kText, request);
  }
  if (request.path == "/v1/models") {
    if (request.method != "GET") {
      return RespondError(id, ErrorKind::kMethodNotAllowed);
    }
    return OnModels(id, request);
  }
  if (request.path.starts_with(kServicesPath)) {
    return OnServiceCall(id, std::move(request));
  }
  RespondError(id, ErrorKind::kNotFound);
}

void CallerApi::OnClosed(ExchangeId id) {
  const RequestId* found = m_request_by_exchange.Find(id);
  if (found == nullptr) return;
  const RequestId request = *found;
  m_request_by_exchange.Erase(id);
  m_open_requests.Erase(request);
  m_core->OnCallerDisconnected(request);
}

void CallerApi::OnTokens(RequestId id, const std::string& text) {
  OpenRequest* open = m_open_requests.Find(id);
  if (open == nullptr) return;
  if (!open->stream) return KeepOutput(id, open, text);
  if (!open->head_sent) {
    open->head_sent = true;
    HttpHeaders headers = RequestIdHeaders(id);
    headers.emplace_back("cache-control", "no-store");
    m_server->StartStream(open->exchange, 200, kEventStream, headers);
    m_server->WriteStream(open->exchange, open->writer->FirstEvent());
  }
  m_server->WriteStream(open->exchange, open->writer->TokenEvent(text));
  if (m_server->PendingBytes(open->exchange) > kMaxBacklogBytes) {
    const ExchangeId exchange = open->exchange;
    m_server->Abort(exchange);
  }
}

void CallerApi::KeepOutput(RequestId id, OpenRequest* open,
                           const std::string& text) {
  if (open->output_charge == nullptr) {
    open->output_charge = std::make_unique<BufferCharge>();
    open->output_charge->Open(&m_server->Buffers(), BufferKind::kAnswer,
                              FormatRequestId(id), this, BufferKey(id.Value()));
  }
  open->output += text;
  open->output_charge->SetBytes(open->output.capacity());
  if (open->output.size() <= kMaxBacklogBytes) return;
  m_server->Buffers().ReportOverflow({BufferKind::kAnswer, FormatRequestId(id),
                                      open->output.size(), kMaxBacklogBytes});
  std::string().swap(open->output);
  open->output_charge->SetBytes(0);
  m_server->Abort(open->exchange);
}

void CallerApi::OnBufferEvicted(BufferKey key) {
  const RequestId id(key.Value());
  RequestError error;
  error.kind = ErrorKind::kUpstreamFailed;
  error.outcome = Outcome::kUnknown;
  OnError(id, error);
  m_core->OnCallerDisconnected(id);
}

void CallerApi::OnFinished(RequestId id, const std::string& finish_reason,
                           const TokenUsage& usage) {
  OpenRequest* open = m_open_requests.Find(id);
  if (open == nullptr) return;
  if (!open->stream) {
    m_server->Respond(
        open->exchange, 200, kJson,
        open->writer->ResponseBody(open->output, finish_reason, usage),
        RequestIdHeaders(id));
    return ForgetRequest(id, *open);
  }
  if (!open->head_sent) OnTokens(id, "");
  m_server->WriteStream(
      open->exchange,
      open->writer->LastEvents(finish_reason, usage, open->include_usage));
  m_server->EndStream(open->exchange);
  ForgetRequest(id, *open);
}

void CallerApi::OnAnswer(RequestId id, int status,
                         const std::string& content_type,
                         const std::string& body) {
  const OpenRequest* open = m_open_requests.Find(id);
  if (open == nullptr) return;
  m_server->Respond(open->exchange, status, content_type, body,
                    RequestIdHeaders(id));
  ForgetRequest(id, *open);
}

void CallerApi::OnError(RequestId id, const RequestError& error) {
  const OpenRequest* open = m_open_requests.Find(id);
  if (open == nullptr) return;
  // An error among the events would be taken for output, and the end of the
  // stream for its completion.
  if (open->head_sent) {
    m_server->Abort(open->exchange);
    return ForgetRequest(id, *open);
  }
  const std::string body = ErrorBody(id, error);
  HttpHeaders headers = RequestIdHeaders(id);
  const std::string retry_after = RetryAfterSeconds(error);
  if (!retry_after.empty()) headers.emplace_back("retry-after", retry_after);
  m_server->Respond(open->exchange, ErrorResponseFor(error.kind).http_status,
                    kJson, body, headers);
  ForgetRequest(id, *open);
}

void CallerApi::OnCompletion(ExchangeId id, CompletionStyle style,
                             const HttpRequest& request) {
  std::string message;
  std::optional<CompletionRequest> parsed =
      ParseCompletionRequest(style, request.body, &message);
  if (!parsed.has_value()) {
    return RespondError(id, ErrorKind::kBadRequest, message);
  }
  CallerRequest caller_request = std::move(parsed->request);
  caller_request.id = RequestId(m_random->NextId());
  caller_request.key = KeyOf(request.authorization);
  OpenRequest open;
  open.stream = parsed->stream;
  open.include_usage = parsed->include_usage;
  open.writer = std::make_unique<CompletionWriter>(
      style, caller_request.id, parsed->model, std::time(nullptr));
  Submit(id, std::move(caller_request), std::move(open));
}

void CallerApi::OnServiceCall(ExchangeId id, HttpRequest request) {
  const std::string_view service_path =
      std::string_view{request.path}.substr(kServicesPath.size());
  const size_t slash = service_path.find('/');
  CallerRequest caller_request;
  caller_request.id = RequestId(m_random->NextId());
  caller_request.key = KeyOf(request.authorization);
  caller_request.plain = true;
  caller_request.service =
      ServiceName(std::string(service_path.substr(0, slash)));
  caller_request.path = slash == std::string_view::npos
                            ? "/"
                            : std::string(service_path.substr(slash));
  if (!request.query.empty()) caller_request.path += "?" + request.query;
  caller_request.method = request.method;
  caller_request.content_type = request.content_type;
  caller_request.idempotency_key = request.idempotency_key;
  caller_request.body = std::move(request.body);
  Submit(id, std::move(caller_request), OpenRequest());
}

void CallerApi::OnModels(ExchangeId id, const HttpRequest& request) {
  const auto configuration = m_core->Board().configuration;
  if (configuration == nullptr) return RespondError(id, ErrorKind::kNotReady);
  const std::optional<KeyDigest> key = KeyOf(request.authorization);
  if (!key.has_value() || configuration->teams.FindByDigest(*key) == nullptr) {
    return RespondError(id, ErrorKind::kUnauthorized);
  }
  json models = json::array();
  for (const auto& [name, model] : configuration->models) {
    models.push_back({{"id", name.Value()},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", "operators"}});
  }
  m_server->Respond(id, 200, kJson,
                    json{{"object", "list"}, {"data", models}}.dump());
}

void CallerApi::Submit(ExchangeId exchange, CallerRequest request,
                       OpenRequest open) {
  open.exchange = exchange;
  m_request_by_exchange.FindOrInsert(exchange) = request.id;
  m_open_requests.FindOrInsert(request.id) = std::move(open);
  m_core->Submit(std::move(request));
}

void CallerApi::RespondError(ExchangeId id, ErrorKind kind,
                             const std::string& detail) {
  RequestError error;
  error.kind = kind;
  error.outcome = Outcome::kNotRun;
  error.detail = detail;
  error.retry_after = ErrorResponseFor(kind).retry_after;
  HttpHeaders headers;
  const std::string retry_after = RetryAfterSeconds(error);
  if (!retry_after.empty()) headers.emplace_back("retry-after", retry_after);
  m_server->Respond(id, ErrorResponseFor(kind).http_status, kJson,
                    ErrorBody(RequestId(), error), headers);
}

void CallerApi::ForgetRequest(RequestId id, const OpenRequest& open) {
  m_request_by_exchange.Erase(open.exchange);
  m_open_requests.Erase(id);
}

}  // namespace burdockhill

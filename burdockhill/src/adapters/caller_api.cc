#include "burdockhill/src/adapters/caller_api.h"

#include <openssl/evp.h>

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
// A stream with more unsent bytes is aborted: its caller reads too slowly.
constexpr size_t kMaxBacklogBytes = size_t{4} << 20;

HttpHeaders HeadersFor(RequestId id) {
  return {{"x-request-id", FormatRequestId(id)}};
}

}  // namespace

std::string KeyDigest(const std::string& authorization) {
  if (!authorization.starts_with(kBearer)) return {};
  const std::string_view key =
      std::string_view{authorization}.substr(kBearer.size());
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(key.data(), key.size(), digest, &size, EVP_sha256(), nullptr);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < size; ++i) {
    text += kDigits[digest[i] >> 4U];
    text += kDigits[digest[i] & 0xFU];
  }
  return text;
}

void CallerApi::OnRequest(ExchangeId id, HttpRequest request) {
  const bool chat = request.path == "/v1/chat/completions";
  const bool text = request.path == "/v1/completions";
  if (chat || text) {
    if (request.method != "POST") {
      return Refuse(id, ErrorKind::kMethodNotAllowed);
    }
    return OnCompletion(
        id, chat ? CompletionStyle::kChat : CompletionStyle::kText, request);
  }
  if (request.path == "/v1/models") {
    if (request.method != "GET") {
      return Refuse(id, ErrorKind::kMethodNotAllowed);
    }
    return OnModels(id, request);
  }
  if (request.path.starts_with(kServicesPath)) {
    return OnServiceCall(id, std::move(request));
  }
  Refuse(id, ErrorKind::kNotFound);
}

void CallerApi::OnClosed(ExchangeId id) {
  const RequestId* found = m_by_exchange.Find(id);
  if (found == nullptr) return;
  const RequestId request = *found;
  m_by_exchange.Erase(id);
  m_open.Erase(request);
  m_core->OnCallerDisconnected(request);
}

void CallerApi::OnTokens(RequestId id, const std::string& text) {
  Open* open = m_open.Find(id);
  if (open == nullptr) return;
  if (!open->stream) {
    open->text += text;
    return;
  }
  if (!open->started) {
    open->started = true;
    HttpHeaders headers = HeadersFor(id);
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

void CallerApi::OnFinished(RequestId id, const std::string& finish_reason,
                           const TokenUsage& usage) {
  Open* open = m_open.Find(id);
  if (open == nullptr) return;
  if (!open->stream) {
    m_server->Respond(open->exchange, 200, kJson,
                      open->writer->Whole(open->text, finish_reason, usage),
                      HeadersFor(id));
    return Close(id, *open);
  }
  if (!open->started) OnTokens(id, "");
  m_server->WriteStream(
      open->exchange,
      open->writer->LastEvents(finish_reason, usage, open->include_usage));
  m_server->EndStream(open->exchange);
  Close(id, *open);
}

void CallerApi::OnAnswer(RequestId id, int status,
                         const std::string& content_type,
                         const std::string& body) {
  const Open* open = m_open.Find(id);
  if (open == nullptr) return;
  m_server->Respond(open->exchange, status, content_type, body, HeadersFor(id));
  Close(id, *open);
}

void CallerApi::OnError(RequestId id, const RequestError& error) {
  const Open* open = m_open.Find(id);
  if (open == nullptr) return;
  const std::string body = ErrorBody(id, error);
  if (open->started) {
    m_server->WriteStream(open->exchange, "data: " + body + "\n\n");
    m_server->EndStream(open->exchange);
    return Close(id, *open);
  }
  HttpHeaders headers = HeadersFor(id);
  const std::string retry_after = RetryAfter(error);
  if (!retry_after.empty()) headers.emplace_back("retry-after", retry_after);
  m_server->Respond(open->exchange, ErrorResponseFor(error.kind).http_status,
                    kJson, body, headers);
  Close(id, *open);
}

void CallerApi::OnCompletion(ExchangeId id, CompletionStyle style,
                             const HttpRequest& request) {
  std::string message;
  std::optional<CompletionRequest> parsed =
      ParseCompletion(style, request.body, &message);
  if (!parsed.has_value()) {
    return Refuse(id, ErrorKind::kBadRequest, message);
  }
  CallerRequest asked = std::move(parsed->request);
  asked.id = RequestId(m_random->NextId());
  asked.key_sha256 = KeyDigest(request.authorization);
  Open open;
  open.stream = parsed->stream;
  open.include_usage = parsed->include_usage;
  open.writer = std::make_unique<CompletionWriter>(
      style, asked.id, parsed->model, std::time(nullptr));
  Submit(id, std::move(asked), std::move(open));
}

void CallerApi::OnServiceCall(ExchangeId id, HttpRequest request) {
  const std::string_view rest =
      std::string_view{request.path}.substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  CallerRequest asked;
  asked.id = RequestId(m_random->NextId());
  asked.key_sha256 = KeyDigest(request.authorization);
  asked.plain = true;
  asked.service = ServiceName(std::string(rest.substr(0, slash)));
  asked.path =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  if (!request.query.empty()) asked.path += "?" + request.query;
  asked.method = request.method;
  asked.content_type = request.content_type;
  asked.idempotency_key = request.idempotency_key;
  asked.body = std::move(request.body);
  Submit(id, std::move(asked), Open());
}

void CallerApi::OnModels(ExchangeId id, const HttpRequest& request) {
  const auto configuration = m_core->Board().configuration;
  if (configuration == nullptr) return Refuse(id, ErrorKind::kNotReady);
  if (!configuration->teams_by_key.contains(KeyDigest(request.authorization))) {
    return Refuse(id, ErrorKind::kUnauthorized);
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

void CallerApi::Submit(ExchangeId exchange, CallerRequest request, Open open) {
  open.exchange = exchange;
  m_by_exchange.FindOrInsert(exchange) = request.id;
  m_open.FindOrInsert(request.id) = std::move(open);
  m_core->Submit(std::move(request));
}

void CallerApi::Refuse(ExchangeId id, ErrorKind kind,
                       const std::string& detail) {
  RequestError error;
  error.kind = kind;
  error.outcome = Outcome::kNotRun;
  error.detail = detail;
  error.retry_after = ErrorResponseFor(kind).retry_after;
  HttpHeaders headers;
  const std::string retry_after = RetryAfter(error);
  if (!retry_after.empty()) headers.emplace_back("retry-after", retry_after);
  m_server->Respond(id, ErrorResponseFor(kind).http_status, kJson,
                    ErrorBody(RequestId(), error), headers);
}

void CallerApi::Close(RequestId id, const Open& open) {
  m_by_exchange.Erase(open.exchange);
  m_open.Erase(id);
}

}  // namespace burdockhill

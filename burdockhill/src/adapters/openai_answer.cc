#include "burdockhill/src/adapters/openai_answer.h"

#include <nlohmann/json.hpp>

namespace burdockhill {

namespace {

using nlohmann::json;

// `text` as a JSON string. Invalid UTF-8 is replaced by U+FFFD.
std::string Quote(const std::string& text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

json UsageObject(const TokenUsage& usage) {
  return {{"prompt_tokens", usage.prompt.Value()},
          {"completion_tokens", usage.output.Value()},
          {"total_tokens", (usage.prompt + usage.output).Value()},
          {"prompt_tokens_details", {{"cached_tokens", usage.reused.Value()}}}};
}

}  // namespace

CompletionWriter::CompletionWriter(CompletionStyle style, RequestId id,
                                   const std::string& model, int64_t created)
    : m_style(style) {
  const bool chat = style == CompletionStyle::kChat;
  const auto head = [&](const std::string& object) {
    return "{\"id\":" + Quote(FormatRequestId(id)) +
           ",\"object\":" + Quote(object) +
           ",\"created\":" + std::to_string(created) +
           ",\"model\":" + Quote(model);
  };
  m_event_head = head(chat ? "chat.completion.chunk" : "text_completion");
  m_body_head = head(chat ? "chat.completion" : "text_completion");
  m_token_event_prefix = "data: " + m_event_head +
                         ",\"choices\":[{\"index\":0," +
                         (chat ? "\"delta\":{\"content\":" : "\"text\":");
  m_token_event_suffix = chat ? "},\"finish_reason\":null}]}\n\n"
                              : ",\"finish_reason\":null}]}\n\n";
}

std::string CompletionWriter::FirstEvent() const {
  if (m_style == CompletionStyle::kText) return {};
  return "data: " + m_event_head +
         ",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\","
         "\"content\":\"\"},\"finish_reason\":null}]}\n\n";
}

std::string CompletionWriter::TokenEvent(const std::string& text) const {
  return m_token_event_prefix + Quote(text) + m_token_event_suffix;
}

std::string CompletionWriter::LastEvents(const std::string& finish_reason,
                                         const TokenUsage& usage,
                                         bool include_usage) const {
  const std::string empty =
      m_style == CompletionStyle::kChat ? "\"delta\":{}" : "\"text\":\"\"";
  std::string events = "data: " + m_event_head + ",\"choices\":[{\"index\":0," +
                       empty + ",\"finish_reason\":" + Quote(finish_reason) +
                       "}]}\n\n";
  if (include_usage) {
    events += "data: " + m_event_head +
              ",\"choices\":[],\"usage\":" + UsageObject(usage).dump() +
              "}\n\n";
  }
  return events + "data: [DONE]\n\n";
}

std::string CompletionWriter::ResponseBody(const std::string& text,
                                           const std::string& finish_reason,
                                           const TokenUsage& usage) const {
  const std::string content =
      m_style == CompletionStyle::kChat
          ? "\"message\":{\"role\":\"assistant\",\"content\":" + Quote(text) +
                "}"
          : "\"text\":" + Quote(text);
  return m_body_head + ",\"choices\":[{\"index\":0," + content +
         ",\"finish_reason\":" + Quote(finish_reason) +
         "}],\"usage\":" + UsageObject(usage).dump() + "}";
}

std::string ErrorBody(RequestId id, const RequestError& error) {
  const ErrorResponse& answer = ErrorResponseFor(error.kind);
  std::string message(answer.message);
  if (!error.detail.empty()) message += " (" + error.detail + ")";
  json body = {{"type", answer.type},
               {"code", answer.type},
               {"message", message},
               {"outcome", OutcomeName(error.outcome)}};
  if (id.IsValid()) body["request_id"] = FormatRequestId(id);
  const std::string retry_after = RetryAfterSeconds(error);
  if (!retry_after.empty()) body["retry_after_s"] = std::stoi(retry_after);
  return json{{"error", body}}.dump(-1, ' ', false,
                                    json::error_handler_t::replace);
}

std::string RetryAfterSeconds(const RequestError& error) {
  if (error.retry_after <= Duration(0)) return {};
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(error.retry_after);
  return std::to_string(seconds.count());
}

}  // namespace burdockhill

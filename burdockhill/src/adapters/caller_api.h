#ifndef BURDOCKHILL_SRC_ADAPTERS_CALLER_API_H_
#define BURDOCKHILL_SRC_ADAPTERS_CALLER_API_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "burdockhill/src/adapters/openai_answer.h"
#include "burdockhill/src/base/buffer_budget.h"
#include "burdockhill/src/base/random.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/entry/caller_port.h"
#include "burdockhill/src/entry/entry_core.h"
#include "burdockhill/src/http/http_server.h"

namespace burdockhill {

// The HTTP API for callers: OpenAI-compatible completions, the list of models,
// and plain services under /services/.
class CallerApi : public HttpHandler, public CallerPort, private BufferOwner {
 public:
  explicit CallerApi(Random* random) : m_random(random) {}

  // Both must be set before the first iteration of the event loop.
  void SetServer(HttpServer* server) { m_server = server; }
  void SetCore(EntryCore* core) { m_core = core; }

  // HttpHandler:
  void OnRequest(ExchangeId id, HttpRequest request) override;
  void OnClosed(ExchangeId id) override;

  // CallerPort:
  void OnTokens(RequestId id, const std::string& text) override;
  void OnFinished(RequestId id, const std::string& finish_reason,
                  const TokenUsage& usage) override;
  void OnAnswer(RequestId id, int status, const std::string& content_type,
                const std::string& body) override;
  void OnError(RequestId id, const RequestError& error) override;

 private:
  // A request whose response is not complete.
  struct OpenRequest {
    ExchangeId exchange;
    std::unique_ptr<CompletionWriter>
        writer;  // Null for calls of plain services.
    bool stream = false;
    bool include_usage = false;
    bool head_sent = false;
    std::string output;  // Output so far, if not streaming.
    std::unique_ptr<BufferCharge> output_charge;  // Open once there is output.
  };

  void OnBufferEvicted(BufferKey key) override;
  void KeepOutput(RequestId id, OpenRequest* open, const std::string& text);
  void OnCompletion(ExchangeId id, CompletionStyle style,
                    const HttpRequest& request);
  void OnServiceCall(ExchangeId id, HttpRequest request);
  void OnModels(ExchangeId id, const HttpRequest& request);
  void Submit(ExchangeId exchange, CallerRequest request, OpenRequest open);
  // Responds with an error to a request that was not submitted to the core.
  void RespondError(ExchangeId id, ErrorKind kind,
                    const std::string& detail = {});
  // Forgets a request whose response is complete.
  void ForgetRequest(RequestId id, const OpenRequest& open);

  Random* m_random;
  HttpServer* m_server = nullptr;
  EntryCore* m_core = nullptr;
  Table<RequestId, OpenRequest> m_open_requests;
  Table<ExchangeId, RequestId> m_request_by_exchange;
};

// Digest of the API key in `authorization`, the value of an Authorization
// header; nullopt unless its scheme is "Bearer".
std::optional<KeyDigest> KeyOf(std::string_view authorization);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_CALLER_API_H_

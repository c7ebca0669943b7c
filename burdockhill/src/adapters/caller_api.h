#ifndef BURDOCKHILL_SRC_ADAPTERS_CALLER_API_H_
#define BURDOCKHILL_SRC_ADAPTERS_CALLER_API_H_

#include <memory>
#include <string>

#include "burdockhill/src/adapters/openai_answer.h"
#include "burdockhill/src/base/random.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/entry/caller_port.h"
#include "burdockhill/src/entry/entry_core.h"
#include "burdockhill/src/transport/http_server.h"

namespace burdockhill {

// The callers' interface: OpenAI-compatible completions, the list of models,
// and plain services below /services/.
class CallerApi : public HttpHandler, public CallerPort {
 public:
  explicit CallerApi(Random* random) : m_random(random) {}

  // Both have to be set before the first turn of the loop.
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
  // A request that has not been answered to the end.
  struct Open {
    ExchangeId exchange;
    std::unique_ptr<CompletionWriter> writer;  // Null for plain calls.
    bool stream = false;
    bool include_usage = false;
    bool started = false;  // The response head is out.
    std::string text;      // Collected when not streaming.
  };

  void OnCompletion(ExchangeId id, CompletionStyle style,
                    const HttpRequest& request);
  void OnServiceCall(ExchangeId id, HttpRequest request);
  void OnModels(ExchangeId id, const HttpRequest& request);
  void Submit(ExchangeId exchange, CallerRequest request, Open open);
  void Refuse(ExchangeId id, ErrorKind kind, const std::string& detail = {});
  void Close(RequestId id, const Open& open);

  Random* m_random;
  HttpServer* m_server = nullptr;
  EntryCore* m_core = nullptr;
  Table<RequestId, Open> m_open;
  Table<ExchangeId, RequestId> m_by_exchange;
};

// Lower-case hex SHA-256 of the token of a "Bearer" header; empty without one.
std::string KeyDigest(const std::string& authorization);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_CALLER_API_H_

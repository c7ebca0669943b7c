#ifndef BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_
#define BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_

#include <functional>
#include <map>
#include <string>

#include "burdockhill/src/transport/http_server.h"

namespace burdockhill {

class AgentCore;
class EntryCore;

// The operators' interface of a process: health, readiness, metrics, status
// and, on entries, the decisions about a request. Read-only.
class OperatorsApi : public HttpHandler {
 public:
  struct Page {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
  };
  // `rest` is what follows the registered path.
  using Source = std::function<Page(const std::string& rest)>;

  void SetServer(HttpServer* server) { m_server = server; }

  // Serves `path`, and all below it when it ends in '/'.
  void Add(const std::string& path, Source source);

  void OnRequest(ExchangeId id, HttpRequest request) override;
  void OnClosed(ExchangeId /*id*/) override {}

 private:
  HttpServer* m_server = nullptr;
  std::map<std::string, Source> m_sources;
};

// The pages of each role. The core must outlive `api`.
void AddEntryPages(OperatorsApi* api, EntryCore* core);
void AddAgentPages(OperatorsApi* api, AgentCore* core);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_

#ifndef BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_
#define BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_

#include <functional>
#include <map>
#include <string>

#include "burdockhill/src/transport/http_server.h"

namespace burdockhill {

class AgentCore;
class EntryCore;

// The HTTP API for operators of a process: health, readiness, metrics, status
// and, on entries, the decisions about a request. Read-only.
class OperatorsApi : public HttpHandler {
 public:
  struct Page {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
  };
  // `rest` is the part of the request path after the registered path.
  using Source = std::function<Page(const std::string& rest)>;

  void SetServer(HttpServer* server) { m_server = server; }

  // Serves `path` and, if it ends in '/', every path that starts with it.
  void Add(const std::string& path, Source source);

  void OnRequest(ExchangeId id, HttpRequest request) override;
  void OnClosed(ExchangeId /*id*/) override {}

 private:
  HttpServer* m_server = nullptr;
  std::map<std::string, Source> m_sources;
};

// Register the pages of an entry or an agent. `core` must outlive `api`.
void AddEntryPages(OperatorsApi* api, EntryCore* core);
void AddAgentPages(OperatorsApi* api, AgentCore* core);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_

#ifndef BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_
#define BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_

#include <functional>
#include <map>
#include <string>

#include "burdockhill/src/http/http_server.h"

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
  // `subpath` is the part of the request path after the registered path.
  using PageHandler = std::function<Page(const std::string& subpath)>;

  void SetServer(HttpServer* server) { m_server = server; }

  // Serves `path` and, if it ends in '/', every path that starts with it.
  void AddPage(const std::string& path, PageHandler handler);

  void OnRequest(ExchangeId id, HttpRequest request) override;
  void OnClosed(ExchangeId /*id*/) override {}

 private:
  HttpServer* m_server = nullptr;
  std::map<std::string, PageHandler> m_page_handlers;
};

// Register the pages of an entry or an agent. `core` must outlive `api`.
void AddEntryPages(OperatorsApi* api, EntryCore* core);
void AddAgentPages(OperatorsApi* api, AgentCore* core);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_OPERATORS_API_H_

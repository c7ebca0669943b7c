#ifndef BURDOCKHILL_SRC_ADAPTERS_ENGINE_CLIENT_H_
#define BURDOCKHILL_SRC_ADAPTERS_ENGINE_CLIENT_H_

#include <map>
#include <string>
#include <vector>

#include "burdockhill/src/agent/engine_link.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/http/http_client.h"
#include "burdockhill/src/resources/settings.h"

namespace burdockhill {

// HTTP client for the engines, or the plain service, of one upstream. See
// docs/engine-api.md.
class EngineClient : public EngineLink {
 public:
  EngineClient(HttpClient* client, const Settings& settings);

  // Must be called before the first command.
  void SetEvents(EngineEvents* events) { m_events = events; }

  void Prefill(const EngineName& engine,
               const PrefillCommand& command) override;
  void Decode(const EngineName& engine, const DecodeCommand& command) override;
  void Cancel(const EngineName& engine, const AttemptId& attempt) override;
  void CancelOrphanedRequest(const EngineName& engine,
                             const std::string& request) override;
  void PollState(const EngineName& engine) override;
  void Call(const EngineName& engine, const CallService& call) override;

 private:
  ClientRequest PostRequest(const EngineName& engine, const std::string& path,
                            std::string body) const;
  void OnPrefillAnswer(const AttemptId& attempt, const std::string& kv_source,
                       CallEnd end, int status, const std::string& body);
  void OnStreamData(const AttemptId& attempt, std::string* partial_line,
                    std::string_view data);
  void OnStreamLine(const AttemptId& attempt, std::string_view line);
  // Reports a command that ended without a result. `status` is the HTTP status,
  // or 0 if no response head arrived.
  void ReportFailure(const AttemptId& attempt, CallEnd end, int status);

  HttpClient* m_client;
  EngineEvents* m_events = nullptr;
  bool m_plain;
  std::map<EngineName, Address> m_addresses;
  Table<AttemptId, ClientCallId> m_calls_in_flight;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_ENGINE_CLIENT_H_

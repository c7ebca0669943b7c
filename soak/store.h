#ifndef BURDOCKHILL_SOAK_STORE_H_
#define BURDOCKHILL_SOAK_STORE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "burdockhill/src/http/server.h"

namespace burdockhill::soak {

// The platform's store, as far as the programs read it: lists, waiting watches,
// forgotten history, and outages.
class Store : public http::ServerEvents {
 public:
  enum class Outage { kNone, kBusy, kSilent };

  Store(Sockets* sockets, const Clock* clock, const std::string& address);

  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  void Delete(const std::string& kind, const std::string& name);
  void SetOutage(Outage outage) { m_outage = outage; }
  // Watches from before now get the answer that history is gone.
  void ForgetHistory();

  // Answers watches whose wait is over. Call once a turn of the loop.
  void Step();

  void OnRequest(http::ExchangeId id, http::Head head,
                 std::string body) override;
  void OnCallerDisconnected(http::ExchangeId id) override {
    m_watches.erase(id);
  }

 private:
  struct Change {
    std::string kind;
    uint64_t revision = 0;
    nlohmann::json event;
  };
  struct Watch {
    std::string kind;
    uint64_t since = 0;
    TimePoint until{};
  };

  void Answer(http::ExchangeId id, int status, const nlohmann::json& body);
  bool AnswerWatch(http::ExchangeId id, const Watch& watch, bool over);

  const Clock* m_clock;
  http::Server m_server;
  Outage m_outage = Outage::kNone;
  uint64_t m_revision = 1;
  uint64_t m_history_from = 0;
  std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
  std::vector<Change> m_changes;
  std::map<http::ExchangeId, Watch> m_watches;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_STORE_H_

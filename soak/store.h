#ifndef BURDOCKHILL_SOAK_STORE_H_
#define BURDOCKHILL_SOAK_STORE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "burdockhill/src/http/server.h"

namespace burdockhill::soak {

// The read side of the platform's store over HTTP: lists and long-polled
// watches, with outages, discarded change history and restores from a copy.
class Store : public http::ServerEvents {
 public:
  // kErrors answers everything with 503, kSilent does not answer.
  enum class Outage { kNone, kErrors, kSilent };

  Store(Sockets* sockets, const Clock* clock, const std::string& address);

  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec);
  // Writes an entry that cannot be read, one of some kinds.
  void PutUnreadable(const std::string& kind, const std::string& name,
                     uint64_t number);
  void Delete(const std::string& kind, const std::string& name);
  void SetOutage(Outage outage) { m_outage = outage; }
  // Discards the change history: watches from an older revision get status 410.
  void DiscardHistory();

  // Keeps a copy of the objects.
  void SaveCopy() { m_copy = {m_objects, m_revision}; }
  // Restores the objects and the revision of the copy, and begins an era.
  void Restore();

  // Answers watches that have changes or have expired. Call once per event-loop
  // iteration.
  void Tick();

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
    TimePoint deadline{};
  };

  void Respond(http::ExchangeId id, int status, const nlohmann::json& body);
  bool AnswerWatch(http::ExchangeId id, const Watch& watch, bool is_expired);

  const Clock* m_clock;
  http::Server m_server;
  Outage m_outage = Outage::kNone;
  uint64_t m_revision = 1;
  uint64_t m_oldest_watch_revision = 0;
  using Objects = std::map<std::string, std::map<std::string, nlohmann::json>>;
  struct Copy {
    Objects objects;
    uint64_t revision = 1;
  };
  uint64_t m_era = 1;
  Objects m_objects;
  Copy m_copy;
  std::vector<Change> m_changes;
  std::map<http::ExchangeId, Watch> m_watches;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_STORE_H_

#ifndef BURDOCKHILL_SRC_ROUTING_UPSTREAM_DIRECTORY_H_
#define BURDOCKHILL_SRC_ROUTING_UPSTREAM_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/store_revision.h"
#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// The registration of one process run of an upstream.
struct RegisteredUpstream {
  UpstreamName name;
  ServiceName service;
  std::string address;  // "host:port".
  ZoneName zone;
  SoftwareVersion version;         // Of the process; may be unknown.
  bool leaving = false;            // Accepts no new calls.
  std::optional<EngineRole> role;  // Model engines only.
  int slots = 0;
  StoreRevision revision;  // Of the registration; increases with each change.
  // When the process started, by its own clock; zero if unknown.
  int64_t started_at_ms = 0;
  // Increases each time that the process writes its registration.
  int64_t write_count = 0;
};

// Whether the upstream has that version. Without one, any upstream fits; none
// fits the unknown version.
inline bool FitsVersion(const RegisteredUpstream& upstream,
                        const std::optional<SoftwareVersion>& version) {
  return !version.has_value() || AreSameVersion(upstream.version, *version);
}

// The registered upstreams. A registration that ends during or shortly after an
// outage of the registry is kept for a grace period, because upstreams register
// again when the registry has recovered.
//
// An upstream that restarted under a new name is registered under the old one
// too until that expires. The older registration of a service at an address is
// superseded: the process that it names has ended.
//
// A registry that was restored from a copy begins a new era, in which revisions
// are given out again. What it lists then may have been overtaken by what was
// known before: a registration that its process has written again since is
// ignored, and one that had ended is used only if it is still listed after a
// time in which the registry would have dropped it.
//
// A process that has stated in a response that it leaves is leaving, whatever
// its registration says: the registry may be behind, or the process may not
// report it there.
class UpstreamDirectory {
 public:
  // Applies a complete list as of `revision`. Older registrations that are not
  // in the list have ended.
  void ApplyList(std::vector<RegisteredUpstream> upstreams,
                 StoreRevision revision, TimePoint now);
  // Applies one registration. Ignored if a newer revision of it is known.
  void ApplyUpdate(RegisteredUpstream upstream);
  // Applies the end of a registration. Ignored if a newer revision is known.
  void ApplyRemoval(const UpstreamName& name, StoreRevision revision,
                    TimePoint now);

  // Records that the process of the upstream that started at `started_at_ms`
  // has stated that it leaves. Returns whether this was not known.
  bool RecordLeaving(const UpstreamName& name, int64_t started_at_ms);

  // The registration may be of a process that has ended unnoticed. Its version
  // counts as unknown until it is confirmed or read again.
  void Doubt(const UpstreamName& name);
  // Grants of the upstream's agent tell its process from now on.
  void Confirm(const UpstreamName& name);

  // Records that the registry did not answer at `now`.
  void RecordOutage(TimePoint now) { m_last_outage = now; }

  // Drops ended registrations whose grace period is over. Call once per
  // event-loop iteration.
  void Expire(TimePoint now);

  // Whether a complete list was applied.
  bool HasList() const { return m_has_list; }
  const RegisteredUpstream* Find(const UpstreamName& name) const;
  // All upstreams of the service in the order of their names, including those
  // that are leaving, without superseded ones.
  std::vector<const RegisteredUpstream*> FindByService(
      const ServiceName& service) const;
  // Whether another registration of its service has its address and is newer.
  bool IsSuperseded(const RegisteredUpstream& upstream) const;
  // Includes superseded registrations.
  const std::map<UpstreamName, RegisteredUpstream>& All() const {
    return m_upstreams;
  }
  // Increases with every change; shows when data derived from the directory are
  // out of date.
  uint64_t Version() const { return m_version; }

 private:
  // Whether the registration, as listed in a new era, may be one that had ended
  // before.
  bool MayHaveEnded(const RegisteredUpstream& upstream) const;
  // Drops the registration, or schedules that if the registry had an outage
  // recently.
  void EndRegistration(const UpstreamName& name, TimePoint now);
  void Drop(const UpstreamName& name, TimePoint now);
  // Makes the registration the latest at its address if no newer one is known.
  void UpdateLatest(const RegisteredUpstream& upstream);
  void RebuildLatest();

  std::map<UpstreamName, RegisteredUpstream> m_upstreams;
  // The latest registration of each service at each address.
  std::map<std::pair<ServiceName, std::string>, UpstreamName> m_latest;
  std::map<UpstreamName, TimePoint> m_drop_at;  // When each is dropped.
  // Start times of the processes that have stated that they leave.
  std::map<UpstreamName, int64_t> m_stated_leaving;
  // Versions of the registrations that are in doubt.
  std::map<UpstreamName, SoftwareVersion> m_doubted;
  struct Ended {
    int64_t started_at_ms = 0;
    uint64_t era = 0;
    TimePoint at{};
  };
  std::map<UpstreamName, Ended> m_ended;  // Registrations dropped lately.
  struct Restored {
    RegisteredUpstream upstream;
    TimePoint use_at{};
  };
  // Registrations of a restored registry that may have ended before.
  std::map<UpstreamName, Restored> m_restored;
  TimePoint m_last_outage{};
  bool m_has_list = false;
  uint64_t m_list_era = 0;  // Era of the registry in the latest list.
  uint64_t m_version = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_UPSTREAM_DIRECTORY_H_

#ifndef BURDOCKHILL_SRC_ROUTING_PERMIT_COORDINATORS_H_
#define BURDOCKHILL_SRC_ROUTING_PERMIT_COORDINATORS_H_

#include <map>
#include <set>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"

namespace burdockhill {

// Chooses the entry that hands out the permits for an upstream with a rate
// limit. Every entry ranks the seeds, to which all entries connect, by a hash
// of seed and upstream, and takes the first that it reaches; so all entries
// agree without talking about it, and the upstreams are spread over the seeds.
//
// Entries that do not reach the same seeds may choose different ones, so that
// the coordinators divide the limit: one that reaches a seed of better rank
// hands out a small part, and the part of entries that have fallen silent is
// left to them, as they may be cut off and have a coordinator of their own.
class PermitCoordinators {
 public:
  // Other seeds count as silent until they are connected, as this entry may
  // have started while it was cut off.
  PermitCoordinators(VmName self, const std::vector<VmName>& seeds,
                     TimePoint now);

  // The connection to an entry came up, ended, or delivered a message.
  void RecordUp(const VmName& vm, TimePoint now);
  void RecordDown(const VmName& vm, TimePoint now);
  void RecordMessage(const VmName& vm, TimePoint now);
  // The entry did not answer in time. It is not chosen for a while, or until
  // it answers.
  void RecordNoAnswer(const VmName& vm, TimePoint now);
  void RecordAnswer(const VmName& vm);
  // Drops entries that have ended. Call once per iteration of the event loop.
  void Tick(TimePoint now);

  // The coordinator for the upstream, which may be this entry; an invalid name
  // if no seed can be reached.
  VmName Choose(const UpstreamName& upstream, TimePoint now) const;
  // The part of the upstream's limit that this entry hands out.
  double ShareOfLimit(const UpstreamName& upstream, TimePoint now) const;
  // Entries that this one knows, itself included and also silent ones. Only
  // seeds know all.
  int EntryCount(TimePoint now) const;

  // Seeds that have been silent for long, so that their connections may be
  // dead.
  std::vector<VmName> SilentSeeds(TimePoint now) const;

 private:
  struct Entry {
    bool connected = false;
    TimePoint heard_at{};
    TimePoint avoided_until{};
  };

  bool IsReachable(const VmName& vm, TimePoint now) const;
  // Whether the entry may run without being heard: its connection did not end
  // with its process.
  static bool IsSilent(const Entry& entry, TimePoint now);

  VmName m_self;
  std::set<VmName> m_seeds;           // May include this entry.
  std::map<VmName, Entry> m_entries;  // Others that were connected.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_PERMIT_COORDINATORS_H_

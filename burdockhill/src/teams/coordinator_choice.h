#ifndef BURDOCKHILL_SRC_TEAMS_COORDINATOR_CHOICE_H_
#define BURDOCKHILL_SRC_TEAMS_COORDINATOR_CHOICE_H_

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"

namespace burdockhill {

// Chooses the entry that divides a limit among all entries: its coordinator.
// A limit is named by a key, such as the name of an upstream or a team. Every
// entry ranks the seeds, to which all entries connect, by a hash of seed and
// key, and takes the first that it reaches; so all entries agree without
// talking about it, and the limits are spread over the seeds.
//
// Entries that do not reach the same seeds may choose different ones, so that
// the coordinators divide the limit: one that reaches a seed of better rank
// hands out a small part, and the part of entries that have fallen silent is
// left to them, as they may be cut off and have a coordinator of their own.
class CoordinatorChoice {
 public:
  // Entries count as silent if nothing has arrived from them for this time.
  // They send each other something every second.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(2500);

  // Other seeds count as silent until they are connected, as this entry may
  // have started while it was cut off.
  CoordinatorChoice(VmName self, const std::vector<VmName>& seeds,
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

  // The coordinator of the key, which may be this entry; an invalid name if no
  // seed can be reached.
  VmName Choose(std::string_view key, TimePoint now) const;
  // The part of the key's limit that this entry hands out.
  double ShareOfLimit(std::string_view key, TimePoint now) const;
  // Whether no seed of better rank than this entry is connected and heard.
  // Unlike Choose, does not pass over seeds that have missed an answer, as
  // these may still hand out the limit.
  bool IsFirst(std::string_view key, TimePoint now) const;
  // The part of the known entries that is not silent.
  double HeardPart(TimePoint now) const;
  // Entries that may run without being heard.
  std::vector<VmName> SilentEntries(TimePoint now) const;
  // Connected seeds that are not silent.
  std::vector<VmName> HeardSeeds(TimePoint now) const;
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
  bool IsHeard(const VmName& vm, TimePoint now) const;
  // Whether the entry may run without being heard: its connection did not end
  // with its process.
  static bool IsSilent(const Entry& entry, TimePoint now);

  VmName m_self;
  std::set<VmName> m_seeds;           // May include this entry.
  std::map<VmName, Entry> m_entries;  // Others that were connected.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TEAMS_COORDINATOR_CHOICE_H_

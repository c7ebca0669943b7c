#ifndef BURDOCKHILL_SRC_ROUTING_CRASH_RECORD_H_
#define BURDOCKHILL_SRC_ROUTING_CRASH_RECORD_H_

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Stands for all requests with the same method, host, target and body.
using RequestFingerprint = NumericId<struct RequestFingerprintTag>;

RequestFingerprint FingerprintOf(std::string_view method, std::string_view host,
                                 std::string_view target,
                                 std::string_view body);

// An upstream that ended while it ran a request.
struct UpstreamCrash {
  RequestFingerprint request;
  UpstreamName upstream;
  bool operator==(const UpstreamCrash&) const = default;
};

// Finds requests that end every upstream that runs them, and bars them.
//
// Answers a request that comes again and again: a connection that broke off
// while an upstream ran it makes the request a suspect; if the upstream turns
// out to have ended, that counts, and after three such upstreams the request is
// barred for a while. One whole answer clears it. Entries tell each other what
// counted.
class CrashRecord {
 public:
  // The connection to `upstream` broke off while it ran the request.
  void NoteBroken(RequestFingerprint request, const UpstreamName& upstream,
                  TimePoint now);
  // No connection to the upstream can be made.
  void NoteUnreachable(const UpstreamName& upstream, TimePoint now);
  // The request was answered as a whole.
  void NoteAnswered(RequestFingerprint request);
  // Counts suspects whose upstreams are no longer registered, and forgets what
  // is old. Call once a turn.
  void Step(const UpstreamDirectory& directory, TimePoint now);

  // A crash that counts, seen here or told by another entry; false if known.
  bool Count(const UpstreamCrash& crash, TimePoint now);
  bool IsBarred(RequestFingerprint request) const;

  // Nothing is known of any request, so that fingerprints are not needed.
  bool IsEmpty() const { return m_suspects.empty() && m_counted.empty(); }
  // What counted here since the last call, for the other entries.
  std::vector<UpstreamCrash> TakeNews();
  std::vector<UpstreamCrash> All() const;

 private:
  struct Suspect {
    UpstreamCrash crash;
    TimePoint since{};
  };
  struct Counted {
    std::set<UpstreamName> upstreams;
    TimePoint latest{};
  };

  void Confirm(const UpstreamCrash& crash, TimePoint now);

  std::vector<Suspect> m_suspects;
  std::map<RequestFingerprint, Counted> m_counted;
  std::vector<UpstreamCrash> m_news;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_CRASH_RECORD_H_

#ifndef BURDOCKHILL_SRC_ROUTING_POISON_REQUEST_DETECTOR_H_
#define BURDOCKHILL_SRC_ROUTING_POISON_REQUEST_DETECTOR_H_

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/routing/prompt_part_quarantine.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Hash of a request's method, host, target and body. Requests with the same
// fingerprint are taken to be the same request.
using RequestFingerprint = NumericId<struct RequestFingerprintTag>;

RequestFingerprint FingerprintOf(std::string_view method, std::string_view host,
                                 std::string_view target,
                                 std::string_view body);

// A crash of an upstream while it ran a request.
struct UpstreamCrash {
  RequestFingerprint request;
  UpstreamName upstream;
  bool operator==(const UpstreamCrash&) const = default;
};

// Detects poison requests, which crash every upstream that runs them, and bars
// them.
//
// A connection that breaks while an upstream runs a request makes the request a
// suspect. If that upstream then refuses connections or loses its registration,
// the crash is confirmed and counted against the request. After crashes of
// three different upstreams the request is barred for a while. One complete
// response clears it. Entries exchange the crashes that they confirm.
class PoisonRequestDetector {
 public:
  // The connection to `upstream` broke while it ran the request. `parts` are
  // the shared parts of its prompt, if the upstream had only just begun to
  // answer.
  void RecordBrokenConnection(RequestFingerprint request,
                              const UpstreamName& upstream, TimePoint now,
                              std::vector<PromptPartName> parts = {});
  // The upstream refuses connections, which confirms its suspected crashes.
  void RecordUnreachable(const UpstreamName& upstream, TimePoint now);
  // The request got a complete response, which clears it.
  void RecordCompleteResponse(RequestFingerprint request);
  // Confirms suspected crashes of upstreams that are no longer registered or
  // are superseded, and drops expired suspects and bars. Call once per
  // event-loop iteration.
  void Tick(const UpstreamDirectory& directory, TimePoint now);

  // Counts a crash that was confirmed here or by another entry. Returns false
  // if it was counted before.
  bool AddCrash(const UpstreamCrash& crash, TimePoint now);
  bool IsBarred(RequestFingerprint request) const;

  // Whether there are neither suspects nor counted crashes; then no request is
  // barred, and its fingerprint need not be computed.
  bool IsEmpty() const { return m_suspects.empty() && m_counted.empty(); }
  // Returns the crashes that this entry confirmed since the last call, which
  // the other entries are to be sent.
  std::vector<UpstreamCrash> DrainNewCrashes();
  // Returns the confirmed crashes of this entry on prompts with shared parts,
  // since the last call.
  std::vector<PromptCrash> DrainPromptCrashes();
  // All counted crashes, of this entry and of the others.
  std::vector<UpstreamCrash> AllCrashes() const;

 private:
  struct Suspect {
    UpstreamCrash crash;
    TimePoint broken_at{};
    std::vector<PromptPartName> parts;
  };
  struct CountedCrashes {
    std::set<UpstreamName> upstreams;
    TimePoint latest_at{};
  };

  void ConfirmCrash(const Suspect& suspect, TimePoint now);

  std::vector<Suspect> m_suspects;
  std::map<RequestFingerprint, CountedCrashes> m_counted;
  std::vector<UpstreamCrash> m_new_crashes;
  std::vector<PromptCrash> m_new_prompt_crashes;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_POISON_REQUEST_DETECTOR_H_

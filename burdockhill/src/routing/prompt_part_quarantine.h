#ifndef BURDOCKHILL_SRC_ROUTING_PROMPT_PART_QUARANTINE_H_
#define BURDOCKHILL_SRC_ROUTING_PROMPT_PART_QUARANTINE_H_

#include <map>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"

namespace burdockhill {

// A crash of an upstream soon after it began to answer a prompt, before the
// answer had shown that the prompt is sound.
struct PromptCrash {
  std::vector<PromptPartName> parts;  // Of the prompt, that others may share.
  UpstreamName upstream;
  TimePoint at{};
};

// What entries tell each other about one prompt part.
struct PromptPartReport {
  PromptPartName part;
  // The upstream that crashed on the part. Invalid if the part is sound: an
  // upstream has answered a prompt with it.
  UpstreamName crashed_upstream;
  // Of the crash; of a sound part, the start of the answer.
  TimePoint at{};
};

// Finds the prompt parts that crash upstreams, and refuses prompts with them.
//
// Some part of a prompt may crash each upstream that begins to answer it,
// whatever else the prompt holds. A crash is evidence against each part of each
// prompt that the upstream had just begun to answer, most of which are sound. A
// part is blamed after three crashes. An answer to a prompt with the part that
// began after a crash and lasted clears it of that crash.
//
// A part that always comes with the harmful one collects the same evidence. So
// a blamed part does not count against a prompt without some other part that
// was in all of its crashes and would explain them as well. Such a prompt is
// served, and its answer clears the part.
//
// Entries exchange reports of crashes and of sound parts by flooding: a report
// that changes what an entry knows is forwarded to the others.
class PromptPartQuarantine {
 public:
  // An answer that has lasted this long since its first event shows that its
  // prompt is sound.
  static constexpr Duration kSoundAnswerTime = std::chrono::milliseconds(500);

  void RecordCrash(const PromptCrash& crash, TimePoint now);
  // An upstream has answered a prompt with these parts; `started_at` is the
  // time of the call.
  void RecordSoundAnswer(const std::vector<PromptPartName>& parts,
                         TimePoint started_at);
  // Applies a report of another entry. Returns whether it is to be forwarded.
  bool AddReport(const PromptPartReport& report, TimePoint now);

  // Whether a prompt with these parts must not reach an upstream. Parts that
  // are still asked for stay blamed.
  bool MustRefuse(const std::vector<PromptPartName>& parts, TimePoint now);
  // Whether a part has been blamed since the last call. Requests that wait are
  // to be checked again then.
  bool TakeNewBlame();
  // Forgets old evidence. Call once per iteration of the event loop.
  void Tick(TimePoint now);

  // Returns the reports that the other entries are to be sent, and clears them.
  std::vector<PromptPartReport> DrainReports();
  // All crashes that count at present, for an entry that has just connected.
  std::vector<PromptPartReport> AllCrashes() const;
  // Whether the crashes of this part suffice to blame it.
  bool IsBlamed(const PromptPartName& part) const;

 private:
  struct Crash {
    UpstreamName upstream;
    TimePoint at{};
  };
  struct Evidence {
    std::vector<Crash> crashes;  // Since the last sound answer.
    TimePoint used_at{};         // Latest crash or refused prompt.
  };
  struct SoundAnswer {
    TimePoint started_at{};
    bool reported = false;
  };

  static bool IsSameCrash(const Crash& a, const Crash& b);
  // Whether each crash of `part` is one of `other` too.
  static bool Covers(const Evidence& other, const Evidence& part);
  // Returns whether the crash was not known and counts.
  bool AddCrash(const PromptPartName& part, const Crash& crash, TimePoint now);
  // Returns whether the answer has cleared the part of a crash.
  bool Clear(const PromptPartName& part, TimePoint started_at);
  // The other entries have been told of the latest sound answer.
  void MarkReported(const PromptPartName& part);
  // Whether a part that is not among `parts` explains the crashes as well.
  bool IsExplainedByOthers(const Evidence& evidence,
                           const std::vector<PromptPartName>& parts) const;
  void DropOldestEvidence();

  std::map<PromptPartName, Evidence> m_evidence;
  std::map<PromptPartName, SoundAnswer> m_sound;
  std::vector<PromptPartReport> m_reports;
  bool m_has_new_blame = false;
  TimePoint m_next_expiry{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_PROMPT_PART_QUARANTINE_H_

#ifndef BURDOCKHILL_SRC_ROUTING_ENGINE_OUTLOOK_H_
#define BURDOCKHILL_SRC_ROUTING_ENGINE_OUTLOOK_H_

#include <map>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// What a request needs of an engine, and by when.
struct EngineDemand {
  EngineRole role = EngineRole::kDecode;
  Tokens prompt;
  Tokens expected_output;   // Zero for prefill.
  Duration max_wait{0};     // Longest time until a grant.
  Duration target_left{0};  // Later grants miss the latency target.
  uint8_t priority = 0;     // 0 is the most urgent.

  Tokens Size() const { return prompt + expected_output; }
  bool IsLate() const { return target_left <= Duration(0); }
};

// When an engine is expected to have capacity for a request.
struct ExpectedGrant {
  Duration wait{0};  // Zero: now.
  // Whether the wait was reported, measured or stated by the agent. Without
  // that, the wait of other engines is the better guess.
  bool is_known = false;
  // The agent has refused such a request and stated this wait, so that asking
  // it earlier is in vain.
  bool is_stated = false;
};

// What an entry knows of the load of one engine: the latest report of its
// agent, the entry's own reservations since then, and the refusals in force.
class EngineOutlook {
 public:
  void ApplyReport(const LoadReport& report, TimePoint now);
  // A new connection to the agent: it does not know earlier reservations.
  void ClearReservations() { m_reserved.clear(); }
  // This entry has asked for a reservation, or has cancelled it.
  void RecordAsked(const AttemptId& attempt, Tokens size) {
    m_reserved[attempt] = size;
  }
  void RecordWithdrawn(const AttemptId& attempt) { m_reserved.erase(attempt); }
  // The agent has refused the demand, and expects capacity for it
  // `retry_after` later.
  void RecordRefusal(const EngineDemand& demand, Duration retry_after,
                     TimePoint now);
  // The agent accepts no reservations for this role for that time, whatever
  // their size.
  void RecordClosed(EngineRole role, Duration time, TimePoint now);

  bool IsClosed(EngineRole role, TimePoint now) const;
  // `rate` is that of the engine: of prompt tokens or of the output of one run,
  // by its role.
  ExpectedGrant Expect(const EngineDemand& demand, double rate,
                       TimePoint now) const;
  // Free memory that neither the report nor own reservations show as used.
  Tokens SpareMemory() const { return m_free_memory - Reserved(); }
  // Expected wait because of requests of other entries that the report does not
  // show yet: the less memory it shows free, the more likely they take it, and
  // the request waits until a run ends. `output_rate` is that of one run.
  Duration RiskOfWait(const EngineDemand& demand, double output_rate) const;

  // Prompt tokens a second of a prefill engine, output tokens a second of one
  // run of a decode engine; zero while not measured.
  double RateOf(EngineRole role) const {
    return role == EngineRole::kPrefill ? m_prompt_rate : m_output_rate;
  }

 private:
  struct Refusal {
    EngineDemand demand;
    TimePoint refused_at{};
    TimePoint until{};
    // A later report may show room. Not if the engine refused such a demand
    // again after one did.
    bool may_be_outdated = true;
  };

  // The time left of a refusal of a similar or smaller demand that the reports
  // since then do not contradict; zero if there is none.
  Duration RefusedFor(const EngineDemand& demand, TimePoint now) const;
  // Time in which the runs free this much memory.
  Duration TimeToFree(Tokens memory, const EngineDemand& demand,
                      double output_rate) const;
  bool HasRoomSince(const Refusal& refusal, const EngineDemand& demand) const;
  Tokens Reserved() const;

  TimePoint m_reported_at{};
  Tokens m_free_memory;
  Tokens m_queued_prompts;
  int m_running = 0;
  double m_prompt_rate = 0;
  double m_output_rate = 0;
  Duration m_decode_wait{0};
  std::map<AttemptId, Tokens> m_reserved;  // Own ones since the report.
  std::vector<Refusal> m_refusals;
  std::map<EngineRole, TimePoint> m_closed_until;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_ENGINE_OUTLOOK_H_

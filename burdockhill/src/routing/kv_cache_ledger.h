#ifndef BURDOCKHILL_SRC_ROUTING_KV_CACHE_LEDGER_H_
#define BURDOCKHILL_SRC_ROUTING_KV_CACHE_LEDGER_H_

#include <optional>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/routing/output_length_model.h"
#include "burdockhill/src/routing/release_projection.h"
#include "burdockhill/src/routing/routes.h"
#include "burdockhill/src/routing/service_rate.h"

namespace burdockhill {

// The KV-cache memory and slots of one decode engine, and the runs for which
// they are reserved.
//
// Another run fits if the memory use projected for every later time, plus a
// margin for its variance, stays within the capacity. The projection assumes
// that all runs generate tokens at the same rate. The probability that a run
// continues is learned from the output lengths of earlier runs.
class KvCacheLedger {
 public:
  // `memory` is that of the KV cache; zero `slots` set no limit to the runs.
  void SetCapacity(Tokens memory, int slots);

  // Whether a slot is free and the projected peak use, with this run, stays
  // within `share` of the memory. An engine without runs admits any prompt that
  // fits by itself.
  bool Fits(Tokens prompt, Tokens estimated_output, double share = 1.0) const;
  // Reserves memory and a slot for a run that was granted and starts soon.
  void Reserve(const AttemptId& attempt, Tokens prompt, Tokens estimated_output,
               TimePoint now);
  // Releases the reservation of a run that has ended or will not start, and
  // returns the tokens of its prompt and output, zero if it was never reported;
  // nullopt if there is no such reservation.
  std::optional<Tokens> Release(const AttemptId& attempt);

  // Reconciles the reservations with the runs that the engine reports at `now`.
  // Reported runs without a reservation use memory and slots as well. Releases
  // reservations whose runs have left the reports, or did not appear in them in
  // time.
  void Reconcile(const std::vector<ReportedRun>& runs, TimePoint now);

  // Highest projected memory use, margin included.
  Tokens ExpectedPeak() const;
  Tokens Capacity() const { return m_memory; }
  int Slots() const { return m_slots; }
  size_t RunCount() const { return m_runs.Size() + m_unreserved_runs.size(); }

  // Runs that fit at a time; zero until enough runs were reserved.
  double RunsAtFullLoad() const {
    return m_service_rate.RunsAtFullLoad(m_memory, m_slots);
  }
  // Requests a second that the engine can serve at full load if each run
  // generates this many tokens a second; zero until enough runs were reserved.
  double RequestsPerSecond(double output_tokens_per_second) const {
    return m_service_rate.RequestsPerSecond(m_memory, m_slots,
                                            output_tokens_per_second);
  }

  // When further runs are expected to fit, if each run generates this many
  // tokens a second.
  ReleaseProjection ProjectReleases(double output_tokens_per_second,
                                    TimePoint now) const;

 private:
  struct Run {
    Tokens prompt;
    Tokens estimated_output;
    Tokens produced;
    TimePoint reserved_at{};
    bool reported = false;
  };
  std::vector<ProjectedRun> ProjectedRuns() const;
  void AppendUnreservedRuns(std::vector<ProjectedRun>* runs) const;
  void AddStartTime(Duration time);
  // Projected memory use, margin included, after each run has generated `more`
  // further tokens.
  double ProjectedUse(const std::vector<ProjectedRun>& runs, Tokens more) const;
  // Output tokens of each run between two points of a projection.
  static Tokens ProjectionStep(const std::vector<ProjectedRun>& runs);
  double PeakUse(const std::vector<ProjectedRun>& runs) const;

  Tokens m_memory;
  int m_slots = 0;
  OutputLengthModel m_output_lengths;
  DecodeServiceRate m_service_rate;
  Table<AttemptId, Run> m_runs;
  std::vector<ReportedRun> m_unreserved_runs;
  // Mean time from the grant to the first report of a run; zero until measured.
  double m_start_seconds = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_KV_CACHE_LEDGER_H_

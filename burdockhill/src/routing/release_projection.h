#ifndef BURDOCKHILL_SRC_ROUTING_RELEASE_PROJECTION_H_
#define BURDOCKHILL_SRC_ROUTING_RELEASE_PROJECTION_H_

#include <vector>

#include "burdockhill/src/base/units.h"
#include "burdockhill/src/routing/output_length_model.h"

namespace burdockhill {

// One run of a decode engine in a projection.
struct ProjectedRun {
  Tokens kv_tokens;
  Tokens estimated_output;
  Tokens produced;
  // Output that other runs generate until this one starts to.
  Tokens starts_after{};
};

// Standard deviations of the projected memory use that are kept free, so that
// the engine preempts runs only rarely.
inline constexpr double kMarginDeviations = 2.3;

// Projects when the runs of a decode engine release enough memory and slots for
// further runs. Time is measured in the output tokens that each run generates;
// all runs generate them at the same rate.
//
// A further run fits from the first time on at which KvCacheLedger is expected
// to admit it: when the peak of the memory that is projected then, margin
// included, stays within the memory. The margin is that of the runs that still
// go on by then, which is smaller than it is now.
class ReleaseProjection {
 public:
  // `lengths` must outlive the projection. Zero `slots` set no limit.
  ReleaseProjection(const std::vector<ProjectedRun>& runs,
                    const OutputLengthModel* lengths, Tokens memory, int slots);

  // Output tokens until another run fits into this share of the memory, with
  // the runs added so far.
  Tokens OutputUntilFits(Tokens prompt, Tokens estimated_output,
                         double share = 1.0) const;
  // Adds a run that starts after this output.
  void Add(Tokens prompt, Tokens estimated_output, Tokens starts_after);

 private:
  // A run with its projection, both by step.
  struct Row {
    std::vector<double> probability;  // That it still holds its memory.
    std::vector<double> size;         // Tokens that it holds if it does.
  };

  Row MakeRow(const ProjectedRun& run) const;
  bool FitsAfter(size_t step, const Row& added, double share) const;

  const OutputLengthModel* m_lengths;
  double m_memory;
  double m_slots;
  int64_t m_step_tokens = 1;
  std::vector<Row> m_rows;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_RELEASE_PROJECTION_H_

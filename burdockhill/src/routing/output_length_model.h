#ifndef BURDOCKHILL_SRC_ROUTING_OUTPUT_LENGTH_MODEL_H_
#define BURDOCKHILL_SRC_ROUTING_OUTPUT_LENGTH_MODEL_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "burdockhill/src/base/units.h"

namespace burdockhill {

// Distribution of the ratio of an output's length to its estimated length,
// learned from the outputs that have ended.
class OutputLengthModel {
 public:
  OutputLengthModel();

  // Adds an output that was estimated at `estimate` tokens and ended after
  // `actual`.
  void AddSample(Tokens estimate, Tokens actual);

  // Means of the ratio of an output's length to its estimate, and of the square
  // of that ratio.
  double MeanRatio() const { return m_mean_ratio; }
  double MeanSquareRatio() const { return m_mean_square_ratio; }

  // Probability that an output of `produced` tokens so far reaches more than
  // `produced` + `more`.
  double SurvivalProbability(Tokens estimate, Tokens produced,
                             Tokens more) const;

 private:
  // Samples that were longer than this multiple of their estimates.
  size_t CountLonger(double ratio) const;

  void UpdateMeans();

  std::deque<double> m_ratios;   // Actual / estimated length, newest last.
  std::vector<double> m_sorted;  // The same in ascending order.
  double m_mean_ratio = 0;
  double m_mean_square_ratio = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_OUTPUT_LENGTH_MODEL_H_

#ifndef BURDOCKHILL_METRICS_H_
#define BURDOCKHILL_METRICS_H_

// Module metrics: counters and histograms by label, on Boost.Accumulators, and
// their text form for operators.

#include "burdockhill/src/metrics/histogram.h"         // IWYU pragma: export
#include "burdockhill/src/metrics/metrics_registry.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_METRICS_H_

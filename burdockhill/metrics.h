#ifndef BURDOCKHILL_METRICS_H_
#define BURDOCKHILL_METRICS_H_

// Module metrics: labelled counters, gauges and histograms (the latter on
// Boost.Accumulators) and their export in the Prometheus text format.

#include "burdockhill/src/metrics/histogram.h"         // IWYU pragma: export
#include "burdockhill/src/metrics/metrics_registry.h"  // IWYU pragma: export

#endif  // BURDOCKHILL_METRICS_H_

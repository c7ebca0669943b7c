#ifndef BURDOCKHILL_SRC_GATEWAY_BUFFER_REPORTER_H_
#define BURDOCKHILL_SRC_GATEWAY_BUFFER_REPORTER_H_

#include "burdockhill/src/base/buffer_budget.h"
#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/metrics/metrics_registry.h"

namespace burdockhill {

// Logs and counts what a process ends because it would keep too many bytes.
class BufferReporter : public BufferObserver {
 public:
  // `metrics` may be nullptr.
  BufferReporter(BufferBudget* budget, EventLog* log, MetricsRegistry* metrics);
  ~BufferReporter() override;
  BufferReporter(const BufferReporter&) = delete;
  BufferReporter& operator=(const BufferReporter&) = delete;

  void OnBufferOverflow(const BufferOverflow& overflow) override;

  // Updates the gauges of the bytes that are kept.
  void UpdateGauges();

 private:
  BufferBudget* m_budget;
  EventLog* m_log;
  MetricsRegistry* m_metrics;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_BUFFER_REPORTER_H_

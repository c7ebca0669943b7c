#include "burdockhill/src/gateway/buffer_reporter.h"

#include <array>
#include <string>

namespace burdockhill {

namespace {

constexpr std::array kKinds = {BufferKind::kRequest, BufferKind::kAnswer,
                               BufferKind::kOutput, BufferKind::kPeer};
static_assert(kKinds.size() == kBufferKindCount);

MetricLabels LabelsFor(BufferKind kind) {
  MetricLabels labels;
  labels.kind = BufferKindName(kind);
  return labels;
}

}  // namespace

BufferReporter::BufferReporter(BufferBudget* budget, EventLog* log,
                               MetricsRegistry* metrics)
    : m_budget(budget), m_log(log), m_metrics(metrics) {
  m_budget->SetObserver(this);
}

BufferReporter::~BufferReporter() { m_budget->SetObserver(nullptr); }

void BufferReporter::OnBufferOverflow(const BufferOverflow& overflow) {
  m_log->Write("buffer_overflow",
               {{"kind", std::string(BufferKindName(overflow.kind))},
                {"source", overflow.source},
                {"bytes", static_cast<int64_t>(overflow.bytes)},
                {"bound", static_cast<int64_t>(overflow.bound)},
                {"bound_of_process", overflow.is_bound_of_process},
                {"total", static_cast<int64_t>(m_budget->TotalBytes())},
                {"queued", static_cast<int64_t>(m_budget->QueuedBytes())}});
  if (m_metrics == nullptr) return;
  m_metrics->IncrementCounter("burdockhill_buffer_overflows_total",
                              LabelsFor(overflow.kind));
}

void BufferReporter::UpdateGauges() {
  if (m_metrics == nullptr) return;
  for (const BufferKind kind : kKinds) {
    m_metrics->SetGauge("burdockhill_buffered_bytes", LabelsFor(kind),
                        static_cast<int64_t>(m_budget->BytesOf(kind)));
  }
  m_metrics->SetGauge("burdockhill_socket_queue_bytes", {},
                      static_cast<int64_t>(m_budget->QueuedBytes()));
}

}  // namespace burdockhill

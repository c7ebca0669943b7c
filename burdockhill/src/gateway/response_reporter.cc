#include "burdockhill/src/gateway/response_reporter.h"

#include <string>

namespace burdockhill {

ResponseReporter::ResponseReporter(http::ConnectionPool* pool, EventLog* log,
                                   MetricsRegistry* metrics)
    : m_pool(pool), m_log(log), m_metrics(metrics) {
  m_pool->SetObserver(this);
}

ResponseReporter::~ResponseReporter() { m_pool->SetObserver(nullptr); }

void ResponseReporter::OnResponseRejected(
    const http::RejectedResponse& response) {
  const std::string reason(http::MalformationName(response.reason));
  m_log->Write("malformed_answer", {{"request", response.request},
                                    {"address", response.source},
                                    {"reason", reason}});
  if (m_metrics == nullptr) return;
  MetricLabels labels;
  labels.kind = reason;
  m_metrics->IncrementCounter("burdockhill_malformed_answers_total", labels);
}

}  // namespace burdockhill

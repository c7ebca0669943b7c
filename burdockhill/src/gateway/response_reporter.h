#ifndef BURDOCKHILL_SRC_GATEWAY_RESPONSE_REPORTER_H_
#define BURDOCKHILL_SRC_GATEWAY_RESPONSE_REPORTER_H_

#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/http/connection_pool.h"
#include "burdockhill/src/metrics/metrics_registry.h"

namespace burdockhill {

// Logs and counts the malformed responses of upstreams and the store.
class ResponseReporter : public http::ResponseObserver {
 public:
  // `metrics` may be nullptr.
  ResponseReporter(http::ConnectionPool* pool, EventLog* log,
                   MetricsRegistry* metrics);
  ~ResponseReporter() override;
  ResponseReporter(const ResponseReporter&) = delete;
  ResponseReporter& operator=(const ResponseReporter&) = delete;

  void OnResponseRejected(const http::RejectedResponse& response) override;

 private:
  http::ConnectionPool* m_pool;
  EventLog* m_log;
  MetricsRegistry* m_metrics;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_RESPONSE_REPORTER_H_

#ifndef BURDOCKHILL_SRC_GATEWAY_CONNECTION_REPORTER_H_
#define BURDOCKHILL_SRC_GATEWAY_CONNECTION_REPORTER_H_

#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/metrics/metrics_registry.h"
#include "burdockhill/src/transport/connection_limit.h"

namespace burdockhill {

// Logs and counts the connections that a process closes or refuses because it
// has too many.
class ConnectionReporter : public ConnectionObserver {
 public:
  // `metrics` may be nullptr.
  ConnectionReporter(ConnectionLimit* limit, EventLog* log,
                     MetricsRegistry* metrics);
  ~ConnectionReporter() override;
  ConnectionReporter(const ConnectionReporter&) = delete;
  ConnectionReporter& operator=(const ConnectionReporter&) = delete;

  void OnConnectionsShed(const Address& address, size_t count) override;
  void OnConnectionRefused(const Address& address) override;

  // Updates the gauge of the connections that are open.
  void UpdateGauges();

 private:
  void Report(const char* line, const char* counter, const Address& address,
              size_t count);

  ConnectionLimit* m_limit;
  EventLog* m_log;
  MetricsRegistry* m_metrics;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_CONNECTION_REPORTER_H_

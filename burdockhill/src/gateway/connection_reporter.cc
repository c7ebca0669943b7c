#include "burdockhill/src/gateway/connection_reporter.h"

#include <string>

namespace burdockhill {

ConnectionReporter::ConnectionReporter(ConnectionLimit* limit, EventLog* log,
                                       MetricsRegistry* metrics)
    : m_limit(limit), m_log(log), m_metrics(metrics) {
  m_limit->SetObserver(this);
}

ConnectionReporter::~ConnectionReporter() { m_limit->SetObserver(nullptr); }

void ConnectionReporter::OnConnectionsShed(const Address& address,
                                           size_t count) {
  Report("connections_shed", "burdockhill_connections_shed_total", address,
         count);
}

void ConnectionReporter::OnConnectionRefused(const Address& address) {
  Report("connection_refused", "burdockhill_connections_refused_total", address,
         1);
}

void ConnectionReporter::Report(const char* line, const char* counter,
                                const Address& address, size_t count) {
  m_log->Write(line,
               {{"address", address.host + ":" + std::to_string(address.port)},
                {"count", static_cast<int64_t>(count)},
                {"open", static_cast<int64_t>(m_limit->Open())},
                {"bound", static_cast<int64_t>(m_limit->Max())}});
  if (m_metrics != nullptr) m_metrics->IncrementCounter(counter, {}, count);
}

void ConnectionReporter::UpdateGauges() {
  if (m_metrics == nullptr) return;
  m_metrics->SetGauge("burdockhill_open_connections", {},
                      static_cast<int64_t>(m_limit->Open()));
}

}  // namespace burdockhill

#include "burdockhill/src/ctl/ctl_client.h"

namespace burdockhill {

namespace {
constexpr std::chrono::seconds kCallTimeout{5};
// Of one answer, which may list all requests or VMs.
constexpr size_t kMaxAnswerBytes = size_t{16} << 20;
constexpr Duration kMaxLoopWait = std::chrono::milliseconds(50);
}  // namespace

CtlAnswer CtlClient::Call(const Address& to, const std::string& method,
                          const std::string& path, const std::string& body) {
  ClientRequest request;
  request.address = to;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout = kCallTimeout;
  request.max_kept_bytes = kMaxAnswerBytes;
  CtlAnswer answer;
  bool done = false;
  FetchResponse(&m_client, std::move(request),
                [&](CallEnd end, int status, std::string text) {
                  answer.reached = end == CallEnd::kComplete;
                  answer.status = status;
                  answer.body = std::move(text);
                  done = true;
                });
  while (!done) {
    m_loop.WakeAfter(kMaxLoopWait);
    m_loop.RunOnce();
  }
  return answer;
}

void CtlClient::Sleep(Duration time) {
  const SystemClock clock;
  const TimePoint until = clock.Now() + time;
  while (clock.Now() < until) {
    m_loop.WakeAfter(until - clock.Now());
    m_loop.RunOnce();
  }
}

}  // namespace burdockhill

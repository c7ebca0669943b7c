#ifndef BURDOCKHILL_EMULATION_PLAIN_UPSTREAM_FAKE_H_
#define BURDOCKHILL_EMULATION_PLAIN_UPSTREAM_FAKE_H_

#include <string>

#include "burdockhill/src/http/server.h"
#include "emulation/event_queue.h"
#include "emulation/request_rate.h"

namespace burdockhill::emulation {

// An upstream of a plain service, which answers each request after a constant
// time and states its rate limit in each response.
class PlainUpstreamFake : public http::ServerEvents {
 public:
  PlainUpstreamFake(const std::string& address, Duration call_time,
                    Sockets* sockets, EventQueue* queue, const Clock* clock);

  RequestRate& Rate() { return m_rate; }
  // Answers this status from now on; 200 at first.
  void SetStatus(int status) { m_status = status; }

  void OnRequest(http::ExchangeId id, http::Head head,
                 std::string body) override;
  void OnCallerDisconnected(http::ExchangeId /*id*/) override {}

 private:
  Duration m_call_time;
  EventQueue* m_queue;
  const Clock* m_clock;
  http::Server m_server;
  RequestRate m_rate;
  int m_status = http::kOk;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_PLAIN_UPSTREAM_FAKE_H_

#ifndef BURDOCKHILL_EMULATION_PLAIN_RUNNER_FAKE_H_
#define BURDOCKHILL_EMULATION_PLAIN_RUNNER_FAKE_H_

#include <string>

#include "emulation/model_runner_fake.h"

namespace burdockhill::emulation {

// A back end of a plain service. It responds to each request after a constant
// processing time with the request's id and body, and states its rate limit in
// each response.
class PlainRunnerFake : public http::ServerEvents {
 public:
  PlainRunnerFake(const std::string& address, Sockets* sockets,
                  EventQueue* queue, const Clock* clock, RunnerCounters* counts)
      : m_queue(queue),
        m_clock(clock),
        m_counts(counts),
        m_server(sockets, clock, this) {
    m_server.Listen(*ParseAddress(address));
  }

  RequestRate& Rate() { return m_rate; }
  // Responds with this status from now on; with 200 at first.
  void SetStatus(int status) { m_status = status; }

  void OnRequest(http::ExchangeId id, http::Head head,
                 std::string body) override {
    const std::string* request = head.headers.Find("X-Request-Id");
    if (request == nullptr) return;
    m_rate.Count(m_clock->Now(), *request);
    ++m_counts->starts_by_request[*request];
    constexpr Duration kWork = std::chrono::milliseconds(30);
    m_queue->Schedule(kWork, [this, id, name = *request, body] {
      http::Head answer;
      answer.status = m_status;
      answer.headers.Add("X-Request-Id", name);
      answer.headers.Add("X-Response-Seal", "seal");
      answer.headers.Add("Keep-Alive", "timeout=5");
      m_rate.StateLimit(&answer);
      m_server.Respond(id, answer, "answer to " + name + " " + body);
    });
  }
  void OnCallerDisconnected(http::ExchangeId /*id*/) override {}

 private:
  EventQueue* m_queue;
  const Clock* m_clock;
  RunnerCounters* m_counts;
  http::Server m_server;
  RequestRate m_rate;
  int m_status = http::kOk;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_PLAIN_RUNNER_FAKE_H_

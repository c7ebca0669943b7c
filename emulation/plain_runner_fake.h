#ifndef BURDOCKHILL_EMULATION_PLAIN_RUNNER_FAKE_H_
#define BURDOCKHILL_EMULATION_PLAIN_RUNNER_FAKE_H_

#include <string>

#include "emulation/model_runner_fake.h"

namespace burdockhill::emulation {

// A back end of a plain service. It responds to each request after a constant
// processing time with the request's id and body, followed by as many bytes as
// the request asks for, and states its rate limit in each response.
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

  // Whether each response states that the process leaves.
  void SetStatesLeaving(bool leaving) { m_states_leaving = leaving; }
  // Refuses all requests until then.
  void PauseUntil(TimePoint until) { m_paused_until = until; }

  void OnRequest(http::ExchangeId id, http::Head head,
                 std::string body) override {
    const std::string* request = head.headers.Find("X-Request-Id");
    if (request == nullptr) return;
    m_rate.Count(m_clock->Now(), *request);
    m_counts->plain_retries.CountArrival(*request, m_clock->Now());
    if (m_clock->Now() < m_paused_until) return Refuse(id, *request);
    ++m_counts->starts_by_request[*request];
    constexpr Duration kWork = std::chrono::milliseconds(30);
    const std::string* bytes = head.headers.Find("X-Answer-Bytes");
    const size_t padding = bytes == nullptr ? 0 : std::stoul(*bytes);
    m_queue->Schedule(kWork, [this, id, name = *request, body, padding] {
      http::Head answer;
      answer.status = m_status;
      answer.headers.Add("X-Request-Id", name);
      answer.headers.Add("X-Response-Seal", "seal");
      answer.headers.Add("Keep-Alive", "timeout=5");
      m_rate.StateLimit(&answer);
      if (m_states_leaving) answer.headers.Add("Server-Leaving", "1");
      m_server.Respond(
          id, answer,
          "answer to " + name + " " + body + std::string(padding, 'x'));
    });
  }
  void OnCallerDisconnected(http::ExchangeId /*id*/) override {}

 private:
  void Refuse(http::ExchangeId id, const std::string& request) {
    const Duration left = m_paused_until - m_clock->Now();
    http::Head answer;
    answer.status = http::kUnavailable;
    answer.headers.Add("X-Request-Id", request);
    answer.headers.Add("X-Not-Executed", "1");
    answer.headers.Add(
        "Retry-After",
        std::to_string(std::chrono::duration<double>(left).count()));
    m_server.Respond(id, answer, "");
  }

  EventQueue* m_queue;
  const Clock* m_clock;
  RunnerCounters* m_counts;
  http::Server m_server;
  RequestRate m_rate;
  int m_status = http::kOk;
  bool m_states_leaving = false;
  TimePoint m_paused_until{};
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_PLAIN_RUNNER_FAKE_H_

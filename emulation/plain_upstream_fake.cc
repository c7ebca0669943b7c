#include "emulation/plain_upstream_fake.h"

namespace burdockhill::emulation {

PlainUpstreamFake::PlainUpstreamFake(const std::string& address,
                                     Duration call_time, Sockets* sockets,
                                     EventQueue* queue, const Clock* clock)
    : m_call_time(call_time),
      m_queue(queue),
      m_clock(clock),
      m_server(sockets, clock, this) {
  m_server.Listen(*ParseAddress(address));
}

void PlainUpstreamFake::OnRequest(http::ExchangeId id, http::Head head,
                                  std::string /*body*/) {
  m_rate.Count(m_clock->Now());
  const std::string* request_id = head.headers.Find("X-Request-Id");
  m_queue->Schedule(
      m_call_time,
      [this, id,
       request_id = request_id == nullptr ? std::string() : *request_id] {
        http::Head answer;
        answer.status = m_status;
        answer.headers.Add("X-Request-Id", request_id);
        m_rate.StateLimit(&answer);
        m_server.Respond(id, answer, "done");
      });
}

}  // namespace burdockhill::emulation

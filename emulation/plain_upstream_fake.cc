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
  const std::string* field = head.headers.Find("X-Request-Id");
  const std::string request = field == nullptr ? "" : *field;
  m_rate.Count(m_clock->Now(), request);
  m_queue->Schedule(m_call_time, [this, id, request] {
    http::Head answer;
    answer.status = m_status;
    answer.headers.Add("X-Request-Id", request);
    m_rate.StateLimit(&answer);
    m_server.Respond(id, answer, "done");
  });
}

}  // namespace burdockhill::emulation

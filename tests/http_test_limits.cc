// Module http: limits that change while connections are open.

#include <CppUTest/TestHarness.h>

#include <string>

#include "burdockhill/http.h"
#include "emulation/sockets_fake.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

namespace {

constexpr char kCallers[] = "10.0.0.1:80";

}  // namespace

TEST_GROUP_BASE(ChangedLimits, Utest) {
  class Responder : public http::ServerEvents {
   public:
    void OnRequest(http::ExchangeId id, http::Head /*head*/,
                   std::string /*body*/) override {
      http::Head head;
      head.status = http::kOk;
      server->Respond(id, head, "ok");
    }
    void OnCallerDisconnected(http::ExchangeId /*id*/) override {}
    http::Server* server = nullptr;
  };

  void setup() override {
    m_responder.server = &m_server;
    m_server.Listen(*ParseAddress(kCallers));
    SetIdleTimeout(seconds(15));
  }

  void SetIdleTimeout(Duration timeout) {
    http::ServerLimits limits;
    limits.idle_timeout = timeout;
    m_server.SetLimits(limits);
    m_server.CheckTimeouts(m_clock.Now());
  }

  void AdvanceTime(Duration time) {
    m_clock.Advance(time);
    m_server.CheckTimeouts(m_clock.Now());
  }

  ManualClock m_clock;
  emulation::SocketsFake m_sockets;
  Responder m_responder;
  http::Server m_server{&m_sockets, &m_clock, &m_responder};
};

TEST(ChangedLimits, AShorterIdleTimeoutDoesNotCloseConnectionsThatWaitAlready) {
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  AdvanceTime(seconds(5));
  SetIdleTimeout(seconds(3));
  AdvanceTime(seconds(5));
  m_sockets.Inject(id, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 200", m_sockets.DrainOutput(id).c_str());
  // The next wait has the new limit.
  AdvanceTime(seconds(2));
  CHECK(m_sockets.GetConnection(id).open);
  AdvanceTime(seconds(2));
  CHECK(!m_sockets.GetConnection(id).open);
  CHECK(!m_sockets.GetConnection(id).closed_gracefully);
}

TEST(ChangedLimits, ALongerIdleTimeoutHoldsForConnectionsThatWaitAlready) {
  SetIdleTimeout(seconds(3));
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  SetIdleTimeout(seconds(15));
  AdvanceTime(seconds(10));
  CHECK(m_sockets.GetConnection(id).open);
  AdvanceTime(seconds(6));
  CHECK(!m_sockets.GetConnection(id).open);
  CHECK(!m_sockets.GetConnection(id).closed_gracefully);
}

TEST(ChangedLimits, ABodyThatArrivesIsAnsweredWhateverTheNewLimits) {
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id,
                   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n");
  AdvanceTime(seconds(5));
  SetIdleTimeout(seconds(3));
  m_sockets.Inject(id, "body");
  STRCMP_CONTAINS("HTTP/1.1 200", m_sockets.DrainOutput(id).c_str());
}

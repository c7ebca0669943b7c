// Module http: requests that arrive on connections which the server closes, and
// limits that change meanwhile.

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "burdockhill/http.h"
#include "emulation/sockets_fake.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kCallers[] = "10.0.0.1:80";
constexpr char kGet[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

http::Head OkHead() {
  http::Head head;
  head.status = http::kOk;
  return head;
}

}  // namespace

TEST_GROUP_BASE(ClosingConnections, Utest) {
  class Responder : public http::ServerEvents {
   public:
    void OnRequest(http::ExchangeId id, http::Head /*head*/,
                   std::string /*body*/) override {
      exchanges.push_back(id);
      if (responds) server->Respond(id, OkHead(), "ok");
    }
    void OnCallerDisconnected(http::ExchangeId /*id*/) override {}
    http::Server* server = nullptr;
    bool responds = true;
    std::vector<http::ExchangeId> exchanges;
  };

  void setup() override {
    m_responder.server = &m_server;
    m_server.Listen(*ParseAddress(kCallers));
    m_limits.idle_timeout = seconds(10);
    m_server.SetLimits(m_limits);
  }

  void AdvanceTime(Duration time) {
    m_clock.Advance(time);
    m_server.CheckTimeouts(m_clock.Now());
  }

  std::string Send(SocketId id, const std::string& bytes) {
    m_sockets.Inject(id, bytes);
    return m_sockets.DrainOutput(id);
  }

  // Whether input that arrives after the close is not read.
  bool IsClosedUnread(SocketId id) const {
    const auto& connection = m_sockets.GetConnection(id);
    return !connection.open && !connection.closed_gracefully;
  }

  ManualClock m_clock;
  emulation::SocketsFake m_sockets;
  Responder m_responder;
  http::ServerLimits m_limits;
  http::Server m_server{&m_sockets, &m_clock, &m_responder};
};

TEST(ClosingConnections, ARequestThatWaitsUnreadAtTheIdleTimeoutIsAnswered) {
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.QueueInput(id, kGet);
  AdvanceTime(seconds(20));
  m_sockets.ReadInput(id);
  STRCMP_CONTAINS("HTTP/1.1 200", m_sockets.DrainOutput(id).c_str());
}

TEST(ClosingConnections, TheRestOfARequestThatWaitsUnreadIsAnswered) {
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id, std::string(kGet).substr(0, 7));
  m_sockets.QueueInput(id, std::string(kGet).substr(7));
  AdvanceTime(seconds(20));
  m_sockets.ReadInput(id);
  STRCMP_CONTAINS("HTTP/1.1 200", m_sockets.DrainOutput(id).c_str());
}

TEST(ClosingConnections, ARequestThatCrossesAnIdleCloseIsNotReadAndDropped) {
  const SocketId fresh = m_sockets.ConnectAsCaller(kCallers);
  const SocketId used = m_sockets.ConnectAsCaller(kCallers);
  Send(used, kGet);
  AdvanceTime(seconds(20));
  CHECK(IsClosedUnread(fresh));
  CHECK(IsClosedUnread(used));
}

TEST(ClosingConnections, ARequestThatWaitsUnreadInAPlannedStopIsAnswered) {
  const SocketId waiting = m_sockets.ConnectAsCaller(kCallers);
  const SocketId idle = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.QueueInput(waiting, kGet);
  m_server.DisableKeepAlive();
  m_server.CloseIdleConnections();
  m_sockets.ReadInput(waiting);
  const std::string response = m_sockets.DrainOutput(waiting);
  STRCMP_CONTAINS("HTTP/1.1 200", response.c_str());
  STRCMP_CONTAINS("Connection: close", response.c_str());
  CHECK(IsClosedUnread(idle));
}

TEST(ClosingConnections, AChunkedAnswerThatSaidKeepAliveKeepsItsConnection) {
  m_responder.responds = false;
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id, kGet);
  m_server.StartStream(m_responder.exchanges.back(), OkHead());
  m_server.DisableKeepAlive();
  m_server.EndStream(m_responder.exchanges.back());
  m_sockets.DrainOutput(id);
  m_responder.responds = true;
  const std::string response = Send(id, kGet);
  STRCMP_CONTAINS("HTTP/1.1 200", response.c_str());
  STRCMP_CONTAINS("Connection: close", response.c_str());
}

TEST(ClosingConnections, AnAnswerSaysForHowLongItsConnectionIsKept) {
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  STRCMP_CONTAINS("Keep-Alive: timeout=10\r\n", Send(id, kGet).c_str());
  AdvanceTime(seconds(10));
  STRCMP_CONTAINS("HTTP/1.1 200", Send(id, kGet).c_str());
}

TEST(ClosingConnections, AConnectionThatClosesIsNotSaidToBeKept) {
  const SocketId closing = m_sockets.ConnectAsCaller(kCallers);
  const std::string last = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
  CHECK(Send(closing, last).find("Keep-Alive") == std::string::npos);
  m_limits.idle_timeout = milliseconds(700);
  m_server.SetLimits(m_limits);
  const SocketId brief = m_sockets.ConnectAsCaller(kCallers);
  CHECK(Send(brief, kGet).find("Keep-Alive") == std::string::npos);
}

TEST(ClosingConnections, AStreamKeepsItsConnectionForAsLongAsItsHeadSaid) {
  m_responder.responds = false;
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id, kGet);
  m_server.StartStream(m_responder.exchanges.back(), OkHead());
  STRCMP_CONTAINS("Keep-Alive: timeout=10\r\n",
                  m_sockets.DrainOutput(id).c_str());
  m_limits.idle_timeout = seconds(2);
  m_server.SetLimits(m_limits);
  m_server.EndStream(m_responder.exchanges.back());
  AdvanceTime(seconds(9));
  m_sockets.DrainOutput(id);
  m_responder.responds = true;
  STRCMP_CONTAINS("HTTP/1.1 200", Send(id, kGet).c_str());
}

TEST(ClosingConnections, ARequestIsHeldToNoLowerLimitThanWhenItBegan) {
  const std::string head = "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n";
  const SocketId body = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(body, head);
  const SocketId started = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(started, head.substr(0, 10));
  m_limits.max_body_bytes = 50;
  m_limits.header_timeout = milliseconds(100);
  m_limits.max_header_bytes = 10;
  m_server.SetLimits(m_limits);
  AdvanceTime(seconds(1));
  const std::string rest(100, 'x');
  STRCMP_CONTAINS("HTTP/1.1 200", Send(body, rest).c_str());
  STRCMP_CONTAINS("HTTP/1.1 200",
                  Send(started, head.substr(10) + rest).c_str());
  STRCMP_CONTAINS("HTTP/1.1 431", Send(body, head + rest).c_str());
}

TEST(ClosingConnections, APipelinedRequestKeepsTheLimitsUnderWhichItArrived) {
  m_responder.responds = false;
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id, std::string(kGet) +
                           "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" +
                           std::string(100, 'x'));
  m_limits.max_body_bytes = 50;
  m_server.SetLimits(m_limits);
  m_responder.responds = true;
  m_server.Respond(m_responder.exchanges.back(), OkHead(), "ok");
  LONGS_EQUAL(2, m_responder.exchanges.size());
}

TEST(ClosingConnections, ARaisedLimitHoldsAtOnceOnKeptConnections) {
  m_limits.max_header_bytes = 100;
  m_limits.max_body_bytes = 10;
  m_server.SetLimits(m_limits);
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  Send(id, kGet);
  m_limits.max_header_bytes = 1000;
  m_limits.max_body_bytes = 100;
  m_server.SetLimits(m_limits);
  const std::string request =
      "POST / HTTP/1.1\r\nX-Long: " + std::string(200, 'x') +
      "\r\nContent-Length: 50\r\n\r\n" + std::string(50, 'x');
  STRCMP_CONTAINS("HTTP/1.1 200", Send(id, request).c_str());
}

TEST(ClosingConnections, PipelinedRequestsOfAHalfClosedCallerAreAnswered) {
  m_responder.responds = false;
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id, std::string(kGet) + kGet);
  m_sockets.InjectEndOfInput(id);
  for (int i = 0; i < 2; ++i) {
    m_server.Respond(m_responder.exchanges.back(), OkHead(), "ok");
    STRCMP_CONTAINS("HTTP/1.1 200", m_sockets.DrainOutput(id).c_str());
  }
  LONGS_EQUAL(2, m_responder.exchanges.size());
  CHECK(m_sockets.GetConnection(id).closed_gracefully);
}

TEST(ClosingConnections, APartOfARequestOfAHalfClosedCallerIsNotAwaited) {
  m_responder.responds = false;
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id, std::string(kGet) + "GET / HT");
  m_sockets.InjectEndOfInput(id);
  m_server.Respond(m_responder.exchanges.back(), OkHead(), "ok");
  CHECK(m_sockets.GetConnection(id).closed_gracefully);
}

TEST(ClosingConnections, AnAnswerOnItsWayIsNotCutOffByAPlannedStop) {
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  Send(id, kGet);
  m_sockets.SetPendingBytes(id, 100);
  m_server.DisableKeepAlive();
  m_server.CloseIdleConnections();
  CHECK(m_sockets.GetConnection(id).open);
  m_sockets.SetPendingBytes(id, 0);
  STRCMP_CONTAINS("HTTP/1.1 200", Send(id, kGet).c_str());
}

TEST(ClosingConnections, AnAnswerThatIsReadSlowlyIsNotCut) {
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  Send(id, kGet);
  m_sockets.SetPendingBytes(id, 1000);
  AdvanceTime(seconds(50));
  m_sockets.SetPendingBytes(id, 500);
  AdvanceTime(seconds(50));
  CHECK(m_sockets.GetConnection(id).open);
  AdvanceTime(seconds(59));
  CHECK(m_sockets.GetConnection(id).open);
  AdvanceTime(seconds(2));
  CHECK(!m_sockets.GetConnection(id).open);
}

TEST(ClosingConnections, APipelinedRequestThatWaitsUnreadInAStopIsAnswered) {
  m_responder.responds = false;
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id, kGet);
  m_server.DisableKeepAlive();
  m_sockets.QueueInput(id, kGet);
  m_responder.responds = true;
  m_server.Respond(m_responder.exchanges.back(), OkHead(), "ok");
  m_sockets.DrainOutput(id);
  m_sockets.ReadInput(id);
  const std::string response = m_sockets.DrainOutput(id);
  STRCMP_CONTAINS("HTTP/1.1 200", response.c_str());
  STRCMP_CONTAINS("Connection: close", response.c_str());
}

TEST(ClosingConnections, ASlowHeadIsRefusedAlthoughBytesKeepArriving) {
  const SocketId id = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(id, "GET /");
  for (int i = 0; i < 100; ++i) {
    m_sockets.QueueInput(id, "x");
    AdvanceTime(milliseconds(50));
    m_sockets.ReadInput(id);
  }
  STRCMP_CONTAINS("HTTP/1.1 408", m_sockets.DrainOutput(id).c_str());
}

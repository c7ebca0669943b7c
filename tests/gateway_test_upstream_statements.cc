// Module gateway: upstreams that state in their responses that they leave, or
// that they want no requests for a time.

#include "tests/gateway_test_entry.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class StatementsFixture : public EntryFixture {
 public:
  // The connection of a call that was not read yet; invalid if there is none.
  SocketId ReadCall() {
    for (const SocketId id : m_sockets.AllOutgoing()) {
      m_sockets.CompleteConnect(id);
      if (!m_sockets.DrainOutput(id).empty()) return id;
    }
    return {};
  }
  // Answers such a call; returns its address, which is empty if there is none.
  std::string AnswerPlain(int status, const std::string& headers) {
    const SocketId id = ReadCall();
    if (!id.IsValid()) return "";
    std::string address = m_sockets.GetConnection(id).address;
    m_sockets.Inject(
        id, HttpResponse(status, "X-Request-Id: r1\r\n" + headers, "body"));
    return address;
  }
  // Whether one of some requests goes to that address.
  bool IsCalled(const std::string& address, const std::string& path) {
    bool called = false;
    for (int i = 0; i < 12; ++i) {
      const SocketId caller = Post(path);
      const std::string answered = AnswerPlain(200, "");
      CHECK(!answered.empty());
      called = called || answered == address;
      CHECK(!m_sockets.DrainOutput(caller).empty());
    }
    return called;
  }
  static std::string Refusal(const std::string& retry_after) {
    return "X-Not-Executed: 1\r\nRetry-After: " + retry_after + "\r\n";
  }
  void PauseAll(const std::string& retry_after) {
    const SocketId caller = Post("/safe/x");
    while (!AnswerPlain(503, Refusal(retry_after)).empty()) {
    }
    m_sockets.Fail(caller);
  }
};

}  // namespace

TEST_GROUP_BASE(Statements, StatementsFixture){};

TEST(Statements, UpstreamsThatStateThatTheyLeaveGetNoFurtherRequests) {
  for (const int status : {200, 500}) {
    Post("/once/x");
    const std::string leaving = AnswerPlain(status, "Server-Leaving: 1\r\n");
    CHECK(!IsCalled(leaving, "/safe/x"));
    CHECK(!IsCalled(leaving, "/once/x"));
    LONGS_EQUAL(1, m_log.Count("upstream_states_leaving"));
    // A later process at that address, and under that name.
    const std::string name = leaving == kPlainOne ? "p1" : "p2";
    RegisteredUpstream next = MakeUpstream(name, "plain", leaving);
    next.revision = m_board.upstreams.Find(UpstreamName(name))->revision;
    ++next.revision.number;
    next.started_at_ms = 1000 + status;
    m_board.upstreams.ApplyUpdate(next);
    CHECK(!m_board.upstreams.Find(UpstreamName(name))->leaving);
    if (status == 200) CHECK(IsCalled(leaving, "/safe/x"));
    m_log.events.clear();
  }
}

// Guards against an answer that is late or for another request, and takes an
// upstream out of service.
TEST(Statements, OtherAnswersSayNothing) {
  const SocketId caller = Post("/once/x");
  const SocketId upstream = ReadCall();
  m_sockets.Inject(upstream, HttpResponse(200,
                                          "X-Request-Id: other\r\n"
                                          "Server-Leaving: 1\r\n",
                                          ""));
  m_sockets.Inject(upstream, HttpResponse(503,
                                          "X-Request-Id: other\r\n"
                                          "Retry-After: 9\r\n",
                                          ""));
  // Another process has the address now.
  m_sockets.Inject(upstream, HttpResponse(421,
                                          "X-Request-Id: r1\r\n"
                                          "Server-Leaving: 1\r\n",
                                          ""));
  LONGS_EQUAL(0, m_log.Count("upstream_states_leaving"));
  LONGS_EQUAL(0, m_log.Count("upstream_pauses"));
  // The request was retried at the other upstream.
  AnswerPlain(200, "");
  CHECK(!m_sockets.DrainOutput(caller).empty());
  // The upstream has restarted since it was called.
  const SocketId second = Post("/once/x");
  const SocketId call = ReadCall();
  for (const char* name : {"p1", "p2"}) {
    RegisteredUpstream next = *m_board.upstreams.Find(UpstreamName(name));
    next.started_at_ms = 9;
    next.revision = 2;
    m_board.upstreams.ApplyUpdate(next);
  }
  m_sockets.Inject(call, HttpResponse(200,
                                      "X-Request-Id: r1\r\n"
                                      "Server-Leaving: 1\r\n",
                                      ""));
  CHECK(!m_sockets.DrainOutput(second).empty());
  LONGS_EQUAL(0, m_log.Count("upstream_states_leaving"));
}

TEST(Statements, UpstreamsGetNoRequestsUntilTheEndOfTheirPause) {
  const SocketId caller = Post("/safe/x");
  const std::string paused = AnswerPlain(503, Refusal("1.5"));
  CHECK(AnswerPlain(200, "") != paused);
  CHECK(!m_sockets.DrainOutput(caller).empty());
  for (int i = 0; i < 7; ++i) {
    AdvanceTime(milliseconds(200));
    CHECK(!IsCalled(paused, "/safe/x"));
    CHECK(!IsCalled(paused, "/once/x"));
  }
  AdvanceTime(milliseconds(200));
  CHECK(IsCalled(paused, "/safe/x"));
}

// Guards against a caller that waits, or is told to return at once, although
// no upstream wants requests before its deadline.
TEST(Statements, RequestsAreRejectedAtOnceIfAllUpstreamsPause) {
  PauseAll("2.5");
  const SocketId caller = Post("/once/x");
  const std::string response = m_sockets.DrainOutput(caller);
  STRCMP_CONTAINS("HTTP/1.1 503", response.c_str());
  STRCMP_CONTAINS("Retry-After: 2.5", response.c_str());
  CHECK(m_gateway.IsIdle());
}

TEST(Statements, RequestsWaitForAShortPauseOfAllUpstreams) {
  PauseAll("0.1");
  const SocketId caller = Post("/once/x");
  STRCMP_EQUAL("", m_sockets.DrainOutput(caller).c_str());
  STRCMP_EQUAL("", AnswerPlain(200, "").c_str());
  AdvanceTime(milliseconds(120));
  CHECK(!AnswerPlain(200, "").empty());
  STRCMP_CONTAINS("HTTP/1.1 200", m_sockets.DrainOutput(caller).c_str());
  CHECK(m_gateway.IsIdle());
}

TEST(Statements, WaitingCallersThatDisconnectAreForgotten) {
  PauseAll("0.1");
  const SocketId caller = Post("/once/x");
  m_sockets.Fail(caller);
  CHECK(m_gateway.IsIdle());
  AdvanceTime(milliseconds(200));
  STRCMP_EQUAL("", AnswerPlain(200, "").c_str());
}

// The decode engine refuses the first call of a stream; the second goes to the
// other engine, also if the first could compute the prompt itself.
TEST(Statements, DecodeEnginesThatPauseAreNotCalledAgain) {
  for (const bool leaves : {true, false}) {
    SocketId caller;
    const SocketId decode = StartDecodeCall("/stream/x", &caller);
    const std::string address = m_sockets.GetConnection(decode).address;
    m_peer_link.sent.clear();
    m_sockets.DrainOutput(decode);
    const std::string statement =
        leaves ? "Server-Leaving: 1\r\n" : "Retry-After: 30\r\n";
    m_sockets.Inject(
        decode,
        HttpResponse(
            503, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n" + statement, ""));
    for (int i = 0; i < 5; ++i) {
      AdvanceTime(milliseconds(50));
      GrantLatest<ReserveDecode>();
      GrantLatest<ReservePrefill>();
      const SocketId prefill = EstablishTo(kPrefill);
      if (m_sockets.DrainOutput(prefill).starts_with("POST")) {
        m_sockets.Inject(prefill, HttpResponse(200, "X-Request-Id: r1\r\n",
                                               R"({"kvHandle":"k2"})"));
      }
    }
    for (const SocketId id : m_sockets.OpenTo(address)) {
      m_sockets.CompleteConnect(id);
      STRCMP_EQUAL("", m_sockets.DrainOutput(id).c_str());
    }
    const std::string other = address == kDecodeOne ? kDecodeTwo : kDecodeOne;
    STRCMP_CONTAINS("POST /stream/x",
                    m_sockets.DrainOutput(EstablishTo(other)).c_str());
    m_sockets.Fail(caller);
    AdvanceTime(seconds(4));  // Until the prefill engine is used again.
    const std::string name = address == kDecodeOne ? "e1" : "e2";
    RegisteredUpstream next = *m_board.upstreams.Find(UpstreamName(name));
    next.leaving = false;
    next.started_at_ms = 5;  // The engine restarts.
    ++next.revision.number;
    m_board.upstreams.ApplyUpdate(next);
  }
}

TEST(Statements, PrefillEnginesThatLeaveAreNotCalledAgain) {
  SocketId caller;
  const SocketId decode = StartDecodeCall(
      "/stream/x", &caller);  // Its prefill answer says nothing.
  m_sockets.Fail(caller);
  m_peer_link.sent.clear();
  Post("/stream/x");
  CHECK(GrantLatest<ReserveDecode>());
  CHECK(GrantLatest<ReservePrefill>());
  m_sockets.Inject(
      EstablishTo(kPrefill),
      HttpResponse(200, "X-Request-Id: r1\r\nServer-Leaving: 1\r\n",
                   R"({"kvHandle":"k2"})"));
  CHECK(m_board.upstreams.Find(UpstreamName("e0"))->leaving);
  m_peer_link.sent.clear();
  Post("/stream/x");
  CHECK(GrantLatest<ReserveDecode>());
  for (const auto& [agent, message] : m_peer_link.sent) {
    CHECK(!std::holds_alternative<ReservePrefill>(message) ||
          agent != VmName("10.0.2.1"));
  }
  CHECK(m_sockets.GetConnection(decode).address != kPrefill);
}

// A stream that broke off goes on at an engine that has not stated that it
// leaves.
TEST(Statements, ResumedStreamsDoNotReachAnEngineThatLeaves) {
  m_board.upstreams.RecordLeaving(UpstreamName("e2"), 0);
  Tick();
  SocketId caller;
  const SocketId decode = StartStream("/resume/x", &caller);
  STRCMP_EQUAL(kDecodeOne, m_sockets.GetConnection(decode).address.c_str());
  m_peer_link.sent.clear();
  m_sockets.Fail(decode);
  AdvanceTime(seconds(4));
  for (const auto& [agent, message] : m_peer_link.sent) {
    CHECK(!std::holds_alternative<ReserveDecode>(message) ||
          agent != VmName("10.0.2.3"));
  }
  LONGS_EQUAL(0, m_sockets.OpenTo(kDecodeTwo).size());
}

TEST(Statements, StreamsAreRejectedAtOnceIfAllDecodeEnginesPause) {
  for (const char* name : {"e1", "e2"}) {
    m_board.pauses.Record(UpstreamName(name), 0, seconds(4), m_clock.Now());
  }
  const SocketId caller = Post("/stream/x");
  const std::string response = m_sockets.DrainOutput(caller);
  STRCMP_CONTAINS("HTTP/1.1 503", response.c_str());
  const size_t at = response.find("Retry-After: ");
  CHECK(at != std::string::npos);
  CHECK(std::stod(response.substr(at + 13)) >= 4);
  CHECK(m_gateway.IsIdle());
}

TEST(Statements, StreamsWaitForAShortPauseOfAllDecodeEngines) {
  for (const char* name : {"e1", "e2"}) {
    m_board.pauses.Record(UpstreamName(name), 0, milliseconds(30),
                          m_clock.Now());
  }
  m_peer_link.sent.clear();
  const SocketId caller = Post("/stream/x");
  CHECK(!GrantLatest<ReserveDecode>());
  STRCMP_EQUAL("", m_sockets.DrainOutput(caller).c_str());
  AdvanceTime(milliseconds(60));
  CHECK(GrantLatest<ReserveDecode>());
  CHECK(m_sockets.GetConnection(caller).open);
}

// Module gateway: upstreams of several software versions in one service.

#include <map>
#include <set>

#include "tests/gateway_test_versions_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(SoftwareVersions, VersionsFixture){};

TEST(SoftwareVersions, ATakeUpGoesOnlyToTheVersionThatBeganIt) {
  SetVersion("e2", "v2");
  AddEngine("e4", "10.0.2.5", EngineRole::kPrefill, "v2");
  const std::pair<std::string, std::string> expected[] = {{"v2", kDecodeTwo},
                                                          {"v1", kDecodeOne}};
  for (const auto& [version, address] : expected) {
    Know("llm", "first", version);
    const SocketId caller = TakeUp("/resume/x");
    const SocketId call = AwaitCall();
    STRCMP_EQUAL(address.c_str(), AddressOf(call).c_str());
    STRCMP_CONTAINS("Last-Event-Id: 3\r\n", m_call.c_str());
    STRCMP_CONTAINS("Resumes: first\r\n", m_call.c_str());
    STRCMP_CONTAINS("X-Kv-Source: ", m_call.c_str());
    m_sockets.Fail(caller);
    CHECK(m_gateway.IsIdle());
  }
  LONGS_EQUAL(2, m_log.Count("stream_taken_up"));
}

// Guards against a guess that the only version that serves began the stream.
TEST(SoftwareVersions, ATakeUpOfAnUnknownStreamIsRefusedAtOnce) {
  for (const std::string path : {"/resume/x", "/replay/x"}) {
    m_origins.retry_after = milliseconds(700);
    STRCMP_CONTAINS("Retry-After: 0.700\r\n",
                    CheckRefused(TakeUp(path)).c_str());
    m_origins.retry_after = Duration(0);
    CheckRefused(TakeUp(path));
  }
  LONGS_EQUAL(4, m_log.Count("stream_origin_unknown"));
}

TEST(SoftwareVersions, ATakeUpThatNamesNoOtherAttemptIsRefused) {
  for (const std::string service : {"llm", "plain"}) {
    for (const std::string attempt : {"", "r1", "first", "second"}) {
      Know(service, attempt, "v1");
    }
  }
  for (const std::string path : {"/resume/x", "/replay/x"}) {
    for (const std::string names : {"", "Resumes:\r\n", "Resumes: r1\r\n",
                                    "Resumes: first\r\nResumes: second\r\n"}) {
      CheckRefused(TakeUp(path, names));
    }
  }
}

TEST(SoftwareVersions, AnAttemptThatIsNamedTwiceAlikeIsKnown) {
  Know("llm", "first", "v1");
  TakeUp("/resume/x", "Resumes: first\r\nResumes: first\r\n");
  CHECK(AwaitCall().IsValid());
}

TEST(SoftwareVersions, ATakeUpIsRefusedAtOnceIfNoUpstreamOfItsVersionIsLeft) {
  SetVersion("e2", "v2", /*leaving=*/true);
  SetVersion("p2", "v2", /*leaving=*/true);
  // One that only computes prompts cannot go on with a stream.
  AddEngine("e4", "10.0.2.5", EngineRole::kPrefill, "v3");
  const std::pair<std::string, std::string> paths[] = {{"/resume/x", "llm"},
                                                       {"/replay/x", "plain"}};
  for (const std::string version : {"v2", "v3", "v4"}) {
    for (const auto& [path, service] : paths) {
      Know(service, "first", version);
      m_log.last_text.clear();
      CheckRefused(TakeUp(path));
      STRCMP_EQUAL("no upstream of the stream's version",
                   m_log.last_text["reason"].c_str());
      STRCMP_EQUAL("no_upstream", m_log.last_text["kind"].c_str());
    }
  }
}

// A registration without a version fits no stream that is taken up.
TEST(SoftwareVersions, UpstreamsOfUnknownVersionTakeUpNoStream) {
  for (const char* name : {"e1", "e2", "p1", "p2"}) SetVersion(name, "");
  Know("llm", "first", "v1");
  Know("plain", "first", "v1");
  CheckRefused(TakeUp("/resume/x"));
  CheckRefused(TakeUp("/replay/x"));
}

TEST(SoftwareVersions, NewStreamsGoToAnyVersion) {
  for (const std::string head :
       {"", "Resumes: first\r\n", "Last-Event-Id: 0\r\nResumes: first\r\n"}) {
    std::set<std::string> addresses;
    for (const std::string left_out : {"e1", "e2"}) {
      SetVersion("e1", "v1", left_out == "e1");
      SetVersion("e2", "v2", left_out == "e2");
      const SocketId caller = Post("/resume/x", head);
      addresses.insert(AddressOf(AwaitCall()));
      m_sockets.Fail(caller);
    }
    CHECK(addresses == std::set<std::string>({kDecodeOne, kDecodeTwo}));
  }
  CHECK(m_origins.searches.empty());
}

// Streams that may not be resumed are not taken up, whatever the caller says.
TEST(SoftwareVersions, StreamsThatCannotBeResumedNeedNoOrigin) {
  Post("/stream/x", "Last-Event-Id: 3\r\n");
  CHECK(m_origins.searches.empty());
  CHECK(AwaitCall().IsValid());
}

TEST(SoftwareVersions, AnAnswerThatMovesOnKeepsItsVersion) {
  SetVersion("e2", "v2");
  AddEngine("e3", "10.0.2.4", EngineRole::kDecode, "v1");
  for (int i = 0; i < 5; ++i) {
    for (int j = 0; j < 50; ++j) {  // So that the budget allows retries.
      m_board.retry_budget.CountRequest(ServiceName("llm"), m_clock.Now());
    }
    SocketId caller;
    const SocketId decode =
        StartStream("/resume/" + std::to_string(i), &caller);
    STRCMP_EQUAL(kDecodeOne, AddressOf(decode).c_str());
    m_peer_link.sent.clear();
    m_sockets.Fail(decode);
    CHECK(Asked<ReserveDecode>() == std::set<std::string>({"10.0.2.4"}));
    STRCMP_EQUAL(kDecodeThree, AddressOf(AwaitCall()).c_str());
    m_sockets.Fail(caller);
    AdvanceTime(seconds(3));  // Past the backoff of the engine.
    m_peer_link.sent.clear();
    SendLoadReport("10.0.2.4", EngineRole::kDecode);
  }
}

TEST(SoftwareVersions, AnAnswerEndsAtOnceIfNoEngineOfItsVersionIsLeft) {
  for (const bool leaving : {false, true}) {
    SetVersion("e2", leaving ? "v1" : "v2", leaving);
    SocketId caller;
    const SocketId decode = StartStream("/resume/x", &caller);
    m_peer_link.sent.clear();
    m_sockets.Fail(decode);
    CHECK(m_sockets.GetConnection(caller).was_reset);
    LONGS_EQUAL(0, Asked<ReserveDecode>().size());
    LONGS_EQUAL(0, m_log.Count("stream_resumed"));
    CHECK(m_gateway.IsIdle());
    AdvanceTime(seconds(3));
  }
}

TEST(SoftwareVersions, AnAnswerOfAnUnknownVersionIsNotMovedOn) {
  for (const char* name : {"e0", "e1", "e2"}) SetVersion(name, "");
  const SocketId caller = Post("/resume/x");
  const SocketId decode = AwaitCall();
  m_sockets.Inject(decode, std::string(kEventHead) + kFourthEvent);
  m_peer_link.sent.clear();
  m_sockets.Fail(decode);
  CHECK(m_sockets.GetConnection(caller).was_reset);
  LONGS_EQUAL(0, Asked<ReserveDecode>().size());
  LONGS_EQUAL(0, m_origins.records.size());
  CHECK(m_gateway.IsIdle());
}

TEST(SoftwareVersions, ANewStreamWithoutAHeadMayGoToAnotherVersion) {
  SetVersion("e2", "v2");
  SocketId caller;
  const SocketId decode = StartDecodeCall("/resume/x", &caller);
  STRCMP_EQUAL(kDecodeOne, AddressOf(decode).c_str());
  m_peer_link.sent.clear();
  m_sockets.Fail(decode);
  STRCMP_EQUAL(kDecodeTwo, AddressOf(AwaitCall()).c_str());
}

TEST(SoftwareVersions, ATakeUpWithoutAHeadStaysAtItsVersion) {
  SetVersion("e2", "v2");
  Know("llm", "first", "v1");
  const SocketId caller = TakeUp("/resume/x");
  const SocketId decode = AwaitCall();
  STRCMP_EQUAL(kDecodeOne, AddressOf(decode).c_str());
  m_peer_link.sent.clear();
  m_sockets.Inject(decode, HttpResponse(503,
                                        "X-Request-Id: r1\r\n"
                                        "X-Not-Executed: 1\r\n",
                                        ""));
  AdvanceTime(milliseconds(100));
  if (AwaitCall().IsValid()) {
    CHECK(m_call.find("X-Expect-Instance: e2") == std::string::npos);
  }
  for (const SocketId id : m_sockets.OpenTo(kDecodeOne)) m_sockets.Fail(id);
  AdvanceTime(milliseconds(100));
  LONGS_EQUAL(0, Asked<ReserveDecode>().count("10.0.2.3"));
  STRCMP_EQUAL("none", AddressOf(AwaitCall()).c_str());
  CHECK(m_gateway.IsIdle());
  CHECK(m_sockets.DrainOutput(caller).find("HTTP/1.1 5") == 0);
}

TEST(SoftwareVersions, PromptsAreComputedByAnEngineOfTheSameVersion) {
  AddEngine("e4", "10.0.2.5", EngineRole::kPrefill, "v2");
  for (const std::string version : {"v1", "v2"}) {
    SetVersion("e1", version);
    SetVersion("e2", version);
    for (int i = 0; i < 5; ++i) {
      m_peer_link.sent.clear();
      const SocketId caller = Post("/stream/x");
      CHECK(GrantLatest<ReserveDecode>());
      CHECK(Asked<ReservePrefill>() ==
            std::set<std::string>({version == "v1" ? "10.0.2.1" : "10.0.2.5"}));
      m_sockets.Fail(caller);
    }
  }
}

// Guards against KV cache of one version in an engine of another.
TEST(SoftwareVersions, PromptsAreComputedLocallyIfNoPrefillEngineFits) {
  for (const std::string version : {"v2", ""}) {
    SetVersion("e1", version);
    SetVersion("e2", version);
    m_peer_link.sent.clear();
    const SocketId caller = Post("/stream/x");
    CHECK(GrantLatest<ReserveDecode>());
    Tick();
    CHECK(Asked<ReservePrefill>() == std::set<std::string>({"10.0.2.2"}));
    // The only choice, so the prompt does not count as late.
    const auto& asked =
        std::get<ReservePrefill>(m_peer_link.sent.back().second);
    CHECK(asked.target_left == asked.wait_budget);
    LONGS_EQUAL(0, m_sockets.OpenTo(kPrefill).size());
    const SocketId decode = AwaitCall();
    STRCMP_EQUAL(kDecodeOne, AddressOf(decode).c_str());
    CHECK(m_call.find("X-Kv-Source") == std::string::npos);
    m_sockets.Fail(caller);
  }
}

TEST(SoftwareVersions, ADecodeEngineThatChangedItsVersionGetsNoOtherKvCache) {
  Know("llm", "first", "v1");
  for (const bool taken_up : {true, false}) {
    SetVersion("e1", "v1");
    SetVersion("e2", "v2");
    m_peer_link.sent.clear();
    const SocketId caller = taken_up ? TakeUp("/resume/x") : Post("/stream/x");
    CHECK(GrantLatest<ReserveDecode>());
    CHECK(GrantLatest<ReservePrefill>());
    const SocketId prefill = EstablishTo(kPrefill);
    m_sockets.DrainOutput(prefill);
    SetVersion("e1", "v2");
    m_sockets.Inject(prefill, HttpResponse(200, "X-Request-Id: r1\r\n",
                                           R"({"kvHandle":"k"})"));
    LONGS_EQUAL(0, m_sockets.OpenTo(kDecodeOne).size());
    STRCMP_CONTAINS("DELETE /-/kv-handle/k",
                    m_sockets.DrainOutput(prefill).c_str());
    m_sockets.Fail(caller);
    m_sockets.Fail(prefill);
    AdvanceTime(seconds(3));
  }
}

TEST(SoftwareVersions, AnEngineThatChangedItsVersionTakesUpNoStream) {
  SetVersion("e0", "v3");  // Prompts are computed by the decode engine.
  SetVersion("e2", "v2");
  Know("llm", "first", "v1");
  const SocketId caller = TakeUp("/resume/x");
  CHECK(GrantLatest<ReserveDecode>());
  SetVersion("e1", "v2");
  STRCMP_EQUAL("none", AddressOf(AwaitCall()).c_str());
  STRCMP_CONTAINS("HTTP/1.1 503", m_sockets.DrainOutput(caller).c_str());
  STRCMP_EQUAL("no upstream of the stream's version",
               m_log.last_text["reason"].c_str());
  CHECK(m_gateway.IsIdle());
}

TEST(SoftwareVersions, APrefillEngineThatChangedItsVersionIsNotCalled) {
  Post("/stream/x");
  CHECK(GrantLatest<ReserveDecode>());
  SetVersion("e0", "v2");
  CHECK(GrantLatest<ReservePrefill>());
  LONGS_EQUAL(0, m_sockets.OpenTo(kPrefill).size());
  const SocketId decode = AwaitCall();
  STRCMP_EQUAL(kDecodeOne, AddressOf(decode).c_str());
  CHECK(m_call.find("X-Kv-Source") == std::string::npos);
}

// Guards against a stream that waits for an engine that it may not use.
TEST(SoftwareVersions, APauseOfItsVersionIsAwaitedAlsoIfOthersAreFree) {
  SetVersion("e2", "v2");
  m_board.pauses.Record(UpstreamName("e1"), 0, seconds(2), m_clock.Now());
  Know("llm", "first", "v1");
  const SocketId caller = TakeUp("/resume/x");
  const std::string response = m_sockets.DrainOutput(caller);
  STRCMP_CONTAINS("HTTP/1.1 503", response.c_str());
  STRCMP_EQUAL("all engines pause", m_log.last_text["reason"].c_str());
}

// Guards against a refusal because another version needs no permit.
TEST(SoftwareVersions, APermitOfItsVersionIsAwaitedAlsoIfOthersNeedNone) {
  SetVersion("e2", "v2");
  SetVersion("p2", "v2");
  const std::pair<std::string, std::string> streams[] = {{"/resume/", "e1"},
                                                         {"/replay/", "p1"}};
  for (const auto& [path, name] : streams) {
    m_board.rate_limits.Record(UpstreamName(name), {40, m_clock.Now()});
    Know(path == "/resume/" ? "llm" : "plain", "first", "v1");
    const SocketId first = TakeUp(path + "1");
    const std::string address = AddressOf(AwaitCall());
    const SocketId second = TakeUp(path + "2");
    STRCMP_EQUAL("none", AddressOf(AwaitCall()).c_str());
    STRCMP_EQUAL("", m_sockets.DrainOutput(second).c_str());
    AdvanceTime(milliseconds(60));
    STRCMP_EQUAL(address.c_str(), AddressOf(AwaitCall()).c_str());
    m_sockets.Fail(first);
    m_sockets.Fail(second);
  }
}

TEST(SoftwareVersions, TheFirstEventIsRecordedBeforeItIsForwarded) {
  for (const std::string path : {"/resume/x", "/replay/x"}) {
    m_origins.records.clear();
    const SocketId caller = Post(path);
    std::string forwarded;
    m_origins.on_record = [&] { forwarded += m_sockets.DrainOutput(caller); };
    const SocketId call = AwaitCall();
    AdvanceTime(milliseconds(400));
    m_sockets.Inject(call, kEventHead);
    LONGS_EQUAL(0, m_origins.records.size());
    m_sockets.Inject(call, kFourthEvent);
    LONGS_EQUAL(1, m_origins.records.size());
    CHECK(forwarded.find("data: d") == std::string::npos);
    STRCMP_CONTAINS("data: d", m_sockets.DrainOutput(caller).c_str());
    const emulation::StreamOriginsFake::Recorded& record =
        m_origins.records.back();
    STRCMP_EQUAL(path == "/resume/x" ? "llm" : "plain",
                 record.stream.service.Value().c_str());
    CHECK(record.stream.attempt == HashRequestId("r1"));
    STRCMP_EQUAL("v1", record.version.Value().c_str());
    // The caller waits for 14 s, which is longer than the route's timeout.
    CHECK(record.keep == milliseconds(13600));
    m_sockets.Inject(call, kFourthEvent);
    LONGS_EQUAL(1, m_origins.records.size());
    m_sockets.Fail(caller);
  }
}

TEST(SoftwareVersions, StreamsThatCannotBeTakenUpAreNotRecorded) {
  for (const std::string path : {"/stream/x", "/feed/x"}) {
    Post(path);
    m_sockets.Inject(AwaitCall(), std::string(kEventHead) + kFourthEvent);
  }
  for (const char* name : {"e1", "e2", "p1", "p2"}) SetVersion(name, "");
  for (const std::string path : {"/resume/x", "/replay/x"}) {
    Post(path);
    m_sockets.Inject(AwaitCall(), std::string(kEventHead) + kFourthEvent);
  }
  LONGS_EQUAL(0, m_origins.records.size());
}

// A third try names the attempt that brought the first event, not the second.
TEST(SoftwareVersions, ATakeUpRenewsTheAttemptThatItNames) {
  const std::pair<std::string, std::string> paths[] = {{"/resume/x", "llm"},
                                                       {"/replay/x", "plain"}};
  for (const auto& [path, service] : paths) {
    Know(service, "first", "v1");
    m_origins.records.clear();
    const SocketId caller = TakeUp(path);
    const SocketId call = AwaitCall();
    m_sockets.Inject(call, std::string(kEventHead) + kFourthEvent);
    STRCMP_CONTAINS("id: 4", m_sockets.DrainOutput(caller).c_str());
    LONGS_EQUAL(1, m_origins.records.size());
    const emulation::StreamOriginsFake::Recorded& record =
        m_origins.records.back();
    CHECK(record.stream.service == ServiceName(service));
    CHECK(record.stream.attempt == HashRequestId("first"));
    CHECK(record.stream.owner.IsValid());
    STRCMP_EQUAL("v1", record.version.Value().c_str());
    CHECK(record.keep > seconds(13));
    m_sockets.Fail(caller);
  }
}

TEST(SoftwareVersions, TwoCallersMayTakeUpOneAttempt) {
  SetVersion("e1", "v2");
  Know("llm", "first", "v1");
  for (int i = 0; i < 2; ++i) {
    Post("/resume/x", "Last-Event-Id: 3\r\nResumes: first\r\n");
  }
  LONGS_EQUAL(2, m_origins.searches.size());
  Tick();
  LONGS_EQUAL(2, m_log.Count("stream_taken_up"));
  std::set<AttemptId> attempts;
  for (const auto& [agent, message] : m_peer_link.sent) {
    const auto* asked = std::get_if<ReserveDecode>(&message);
    if (asked == nullptr) continue;
    STRCMP_EQUAL("10.0.2.3", agent.Value().c_str());
    attempts.insert(asked->attempt);
  }
  LONGS_EQUAL(2, attempts.size());
}

TEST(SoftwareVersions, ACallerThatGoesDuringTheSearchLeavesNothingBehind) {
  m_origins.is_silent = true;
  for (const std::string path : {"/resume/x", "/replay/x"}) {
    const SocketId caller = TakeUp(path);
    LONGS_EQUAL(1, m_origins.searches.size());
    m_sockets.Fail(caller);
    CHECK(m_origins.searches.empty());
    CHECK(m_gateway.IsIdle());
    LONGS_EQUAL(0, m_sockets.AllOutgoing().size());
  }
}

TEST(SoftwareVersions, ASearchEndsAtTheDeadlineAndAtTheStop) {
  m_origins.is_silent = true;
  for (const bool stops : {false, true}) {
    const SocketId stream = TakeUp("/resume/x");
    const SocketId plain = TakeUp("/replay/x");
    LONGS_EQUAL(2, m_origins.searches.size());
    if (stops) m_board.shutdown_deadline = m_clock.Now();
    AdvanceTime(stops ? Duration(milliseconds(20)) : Duration(seconds(4)));
    CheckRefused(stream);
    CheckRefused(plain);
  }
}

TEST(SoftwareVersions, ABarredRequestIsRefusedDuringTheSearch) {
  m_origins.is_silent = true;
  const SocketId caller = TakeUp(
      "/resume/x", "Resumes: first\r\nX-Prompt-Prefix: bad:300,1:4500\r\n");
  for (const char* upstream : {"x", "y", "z"}) {
    m_board.prompt_parts.AddReport(
        {PromptPartName("bad"), UpstreamName(upstream), m_clock.Now()},
        m_clock.Now());
  }
  Tick();
  CheckRefused(caller);
}

TEST(SoftwareVersions, PlainTakeUpsGoOnlyToTheVersionThatBeganThem) {
  SetVersion("p2", "v2");
  const std::pair<std::string, std::string> expected[] = {{"v2", kPlainTwo},
                                                          {"v1", kPlainOne}};
  for (const auto& [version, address] : expected) {
    Know("plain", "first", version);
    for (int i = 0; i < 6; ++i) {
      const SocketId caller = TakeUp("/replay/x");
      STRCMP_EQUAL(address.c_str(), AddressOf(AwaitCall()).c_str());
      m_sockets.Fail(caller);
      CHECK(m_gateway.IsIdle());
    }
  }
}

TEST(SoftwareVersions, ARejectedPlainTakeUpIsNotRetriedAtAnotherVersion) {
  SetVersion("p2", "v2");
  Know("plain", "first", "v2");
  const SocketId caller = TakeUp("/replay/x");
  const SocketId call = AwaitCall();
  STRCMP_EQUAL(kPlainTwo, AddressOf(call).c_str());
  m_sockets.Inject(call, HttpResponse(503,
                                      "X-Request-Id: r1\r\n"
                                      "X-Not-Executed: 1\r\n",
                                      ""));
  STRCMP_EQUAL("none", AddressOf(AwaitCall()).c_str());
  STRCMP_CONTAINS("HTTP/1.1 503", m_sockets.DrainOutput(caller).c_str());
  CHECK(m_gateway.IsIdle());
}

TEST(SoftwareVersions, APlainTakeUpWaitsForAPermitOfItsVersionOnly) {
  SetVersion("p2", "v2");
  Know("plain", "first", "v2");
  m_board.rate_limits.Record(UpstreamName("p2"), {100, m_clock.Now()});
  const SocketId caller =
      Post("/replay/x", "Last-Event-Id: 3\r\nResumes: first\r\n");
  m_origins.Deliver();
  SetVersion("p2", "v1");  // Another process, before the permit is there.
  AdvanceTime(milliseconds(200));
  STRCMP_EQUAL("none", AddressOf(AwaitCall()).c_str());
  STRCMP_CONTAINS("HTTP/1.1 503", m_sockets.DrainOutput(caller).c_str());
}

TEST(SoftwareVersions, AnEngineThatRestartedUnderItsNameGetsNoStreamBefore) {
  for (const char* name : {"e1", "e2"}) {
    RegisteredUpstream engine = *m_board.upstreams.Find(UpstreamName(name));
    engine.started_at_ms = 100;
    ++engine.revision.number;
    m_board.upstreams.ApplyUpdate(engine);
  }
  Post("/resume/x");
  LONGS_EQUAL(1, Asked<ReserveDecode>().count("10.0.2.2"));
  AttemptId attempt;
  for (const auto& [agent, message] : m_peer_link.sent) {
    const auto* request = std::get_if<ReserveDecode>(&message);
    if (request != nullptr) attempt = request->attempt;
  }
  m_peer_link.sent.clear();
  m_reservations.OnMessage(VmName("10.0.2.2"),
                           ReserveGranted{attempt, EngineName("x"), 200});
  LONGS_EQUAL(0, Asked<ReservePrefill>().size());
  LONGS_EQUAL(1, Asked<CancelAttempt>().count("10.0.2.2"));
  Tick();
  LONGS_EQUAL(1, Asked<ReserveDecode>().count("10.0.2.3"));
  m_reservations.OnMessage(VmName("10.0.2.3"),
                           ReserveGranted{attempt, EngineName("x"), 100});
  LONGS_EQUAL(1, Asked<ReservePrefill>().size());
}

// Module gateway: entries that keep the origins of streams at agents.

#include "tests/gateway_test_stream_origins_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr size_t kHolders = ReplicatedStreamOrigins::kHolders;

}  // namespace

TEST_GROUP_BASE(ReplicatedStreamOrigins, StreamOriginsFixture){};

TEST(ReplicatedStreamOrigins, AnotherEntryFindsTheVersion) {
  Record(0, 1);
  LONGS_EQUAL(kHolders, m_holders[1].size());
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
  CHECK(m_took <= milliseconds(40));
}

TEST(ReplicatedStreamOrigins, AnEntryKnowsItsOwnStreamsWithoutAsking) {
  Record(0, 1);
  STRCMP_EQUAL("1.0", Version(0, 1).c_str());
  LONGS_EQUAL(0, m_queries_sent);
}

TEST(ReplicatedStreamOrigins, AllEntriesMayEndAtOnce) {
  for (uint64_t stream = 1; stream <= 100; ++stream) Record(0, stream);
  EndEntry(0);
  EndEntry(1);
  Run(seconds(1));
  StartEntry(0);
  StartEntry(2);
  for (uint64_t stream = 1; stream <= 100; ++stream) {
    STRCMP_EQUAL("1.0", Version(stream % 2 == 0 ? 0 : 2, stream).c_str());
  }
}

TEST(ReplicatedStreamOrigins, AnEntryThatHasJustStartedAsksAgentsAsTheyComeUp) {
  Record(0, 1);
  EndEntry(0);
  StartEntry(0, /*connect=*/false);
  const OriginSearchId id = Origins(0).Find(Stream(1), &m_searches);
  Run(milliseconds(200));
  LONGS_EQUAL(0, m_searches.event_count);
  for (int i = 0; i < 8; ++i) ConnectPair(EntryVm(0), AgentVm(i));
  Run(milliseconds(60));
  CHECK(m_searches.results.at(id).version == kOne);
  LONGS_EQUAL(1, m_searches.event_count);
}

TEST(ReplicatedStreamOrigins, AnEntryWithoutAgentsOrListSaysWhenToReturn) {
  Record(0, 1);
  EndEntry(0);
  StartEntry(0, /*connect=*/false);
  CheckUnknown(0, Stream(1), /*may_return=*/true);
  m_registered.clear();
  m_agents.clear();
  m_entries[EntryVm(0)] = std::make_unique<OriginsEntry>(
      &m_clock, &m_random, &m_log, SenderOf(EntryVm(0)));
  CheckUnknown(0, Stream(1), /*may_return=*/true);
}

TEST(ReplicatedStreamOrigins, OneHolderIsEnough) {
  Record(0, 1);
  EndEntry(0);
  for (const int index : HoldersOf(1, kHolders - 1)) EndAgent(index);
  Run(milliseconds(100));
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(ReplicatedStreamOrigins, OtherAgentsTakeTheStreamsOfAHolderThatGoes) {
  Record(0, 1);
  for (const int index : HoldersOf(1, kHolders)) EndAgent(index);
  Run(milliseconds(100));
  LONGS_EQUAL(2 * kHolders, m_holders[1].size());
  LONGS_EQUAL(2 * kHolders, m_records_sent);
  EndEntry(0);
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(ReplicatedStreamOrigins, OtherAgentsTakeTheStreamsOfAHolderThatLeaves) {
  Record(0, 1);
  const int holder = HoldersOf(1, 1).front();
  SetLeaving(holder);
  Run(milliseconds(100));
  LONGS_EQUAL(kHolders + 1, m_holders[1].size());
  LONGS_EQUAL(kHolders + 1, m_records_sent);
  Record(0, 2);
  CHECK_FALSE(m_holders[2].contains(AgentVm(holder)));
}

TEST(ReplicatedStreamOrigins, AgentsThatLeaveAreAskedToo) {
  Record(0, 1);
  EndEntry(0);
  for (const int index : HoldersOf(1, kHolders)) SetLeaving(index);
  Run(milliseconds(100));
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(ReplicatedStreamOrigins, AReleaseThatReplacesAllAgentsLosesNothing) {
  for (uint64_t stream = 1; stream <= 50; ++stream) Record(0, stream);
  for (int i = 0; i < 8; ++i) {
    SetLeaving(i);
    StartAgent(100 + i);
    Run(seconds(2));
    RemoveEngine(i);
    Run(milliseconds(100));
  }
  for (uint64_t stream = 1; stream <= 50; ++stream) {
    STRCMP_EQUAL("1.0", Version(1, stream).c_str());
  }
  // Each stream is told to as many as have gone, not to all at each change.
  CHECK(m_records_sent <= 50 * 2 * 8);
}

TEST(ReplicatedStreamOrigins,
     AnAgentThatRestartsGetsItsStreamsAgainOrOthersDo) {
  Record(0, 1);
  const std::vector<int> holders = HoldersOf(1, kHolders);
  for (const int index : holders) {
    EndAgent(index);
    StartAgent(index);
    Run(milliseconds(100));
  }
  EndEntry(0);
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(ReplicatedStreamOrigins,
     StreamsRecordedBeforeAgentsAreConnectedAreToldLater) {
  StartEntry(2, /*connect=*/false);
  Run(milliseconds(40));
  Record(2, 1);
  LONGS_EQUAL(0, m_records_sent);
  for (int i = 0; i < 8; ++i) ConnectPair(EntryVm(2), AgentVm(i));
  Run(milliseconds(60));
  LONGS_EQUAL(kHolders, m_holders[1].size());
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(ReplicatedStreamOrigins, ManyStreamsOfOneHolderAreMovedInBatches) {
  for (uint64_t stream = 1; stream <= 1000; ++stream) Record(0, stream);
  for (int i = 0; i < 4; ++i) SetLeaving(i);
  int before = m_records_sent;
  for (int i = 0; i < 30; ++i) {
    Run(milliseconds(20));
    CHECK(m_records_sent - before <= 192);
    before = m_records_sent;
  }
  for (const auto& [stream, holders] : m_holders) {
    LONGS_EQUAL(kHolders, std::count_if(holders.begin(), holders.end(),
                                        [](const VmName& vm) {
                                          return vm >= VmName("10.0.1.4");
                                        }));
  }
}

TEST(ReplicatedStreamOrigins, AStreamThatNobodyKnowsIsSaidAtOnce) {
  CheckUnknown(0, Stream(1), /*may_return=*/false);
  CHECK(m_took <= milliseconds(40));
  LONGS_EQUAL(8, m_queries_sent);
}

TEST(ReplicatedStreamOrigins, ASearchAsksAtMostSoManyAgents) {
  for (int i = 8; i < 40; ++i) StartAgent(i);
  Run(kAgentStart);
  CheckUnknown(0, Stream(1), /*may_return=*/false);
  LONGS_EQUAL(AskedProcesses::kMaxAgents, m_queries_sent);
}

TEST(ReplicatedStreamOrigins, AFrozenAgentMayKnowTheStreamLater) {
  Record(0, 1);
  EndEntry(0);
  for (const int index : HoldersOf(1, kHolders)) {
    m_agents.at(AgentVm(index))->frozen = true;
  }
  CheckUnknown(1, Stream(1), /*may_return=*/true);
  for (const int index : HoldersOf(1, kHolders)) {
    m_agents.at(AgentVm(index))->frozen = false;
  }
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(ReplicatedStreamOrigins,
     AFrozenAgentGetsNoStreamsAndIsNotWaitedForForever) {
  Record(0, 1);
  const int holder = HoldersOf(1, 1).front();
  m_agents.at(AgentVm(holder))->frozen = true;
  Run(seconds(3));
  LONGS_EQUAL(kHolders + 1, m_holders[1].size());
  CheckUnknown(1, Stream(2), /*may_return=*/true);
  Run(seconds(10));
  CheckUnknown(1, Stream(3), /*may_return=*/false);
}

TEST(ReplicatedStreamOrigins, AStreamThatWasToldWithTwoVersionsIsUnknown) {
  // Two entries that do not know of each other.
  Record(0, 1, kOne);
  Record(1, 1, kTwo);
  StartEntry(2);
  CheckUnknown(2, Stream(1), /*may_return=*/false);
  Record(0, 2, kOne);
  Record(0, 2, kTwo);
  CheckUnknown(0, Stream(2), /*may_return=*/false);
}

TEST(ReplicatedStreamOrigins, DifferentAnswersAreNotChosenFrom) {
  const OriginSearchId id = Origins(0).Find(Stream(1), &m_searches);
  m_sent.clear();
  Origins(0).OnMessage(AgentVm(0), StreamOriginAnswer{id.Value(), kOne});
  Origins(0).OnMessage(AgentVm(1), StreamOriginAnswer{id.Value(), kTwo});
  Run(milliseconds(20));
  CHECK_FALSE(m_searches.results.at(id).version.IsValid());
  CHECK(m_searches.results.at(id).retry_after == Duration(0));
}

TEST(ReplicatedStreamOrigins, AnswersOfThoseThatWereNotAskedAreIgnored) {
  for (int i = 8; i < 40; ++i) StartAgent(i);
  Run(kAgentStart);
  const OriginSearchId id = Origins(0).Find(Stream(1), &m_searches);
  for (int i = 0; i < 40; ++i) {
    const bool was_asked =
        std::any_of(m_sent.begin(), m_sent.end(), [&](const Sent& sent) {
          return sent.to == AgentVm(i) &&
                 std::holds_alternative<StreamOriginQuery>(sent.message);
        });
    const uint64_t answered_id = was_asked ? id.Value() + 1 : id.Value();
    Origins(0).OnMessage(AgentVm(i), StreamOriginAnswer{answered_id, kOne});
    Origins(0).OnMessage(AgentVm(i), StreamOriginAnswer{0, kOne});
  }
  Origins(0).OnMessage(VmName("stranger"),
                       StreamOriginAnswer{id.Value(), kOne});
  Run(milliseconds(40));
  CHECK_FALSE(m_searches.results.at(id).version.IsValid());
}

TEST(ReplicatedStreamOrigins,
     AStreamThatAnEntryRecordedWithTwoVersionsIsUnknown) {
  Record(0, 1, kOne);
  Origins(0).Record(Stream(1), kTwo, kKeep);
  m_sent.clear();  // The agents know one version only.
  CheckUnknown(0, Stream(1), /*may_return=*/false);
}

TEST(ReplicatedStreamOrigins, TheSameAttemptOfAnotherServiceIsAnotherStream) {
  Origins(0).Record(Stream(1, "s"), kOne, kKeep);
  Origins(0).Record(Stream(1, "t"), kTwo, kKeep);
  DeliverMessages();
  CHECK(Search(1, Stream(1, "s")).version == kOne);
  CHECK(Search(1, Stream(1, "t")).version == kTwo);
  CheckUnknown(1, Stream(1, "u"), /*may_return=*/false);
}

TEST(ReplicatedStreamOrigins, WhatIsNotValidIsNeitherToldNorAsked) {
  const std::string huge(64 << 10, 'x');
  Origins(0).Record(Stream(0), kOne, kKeep);
  Origins(0).Record(Stream(1, ""), kOne, kKeep);
  Origins(0).Record(Stream(1, huge), kOne, kKeep);
  Origins(0).Record(Stream(1), SoftwareVersion(huge), kKeep);
  Origins(0).Record(Stream(1), kOne, Duration(0));
  Origins(0).Record(Stream(1), kOne, Duration(-1));
  DeliverMessages();
  LONGS_EQUAL(0, m_records_sent);
  CheckUnknown(0, Stream(0), /*may_return=*/false);
  CheckUnknown(0, Stream(1, huge), /*may_return=*/false);
  LONGS_EQUAL(0, m_queries_sent);
  // From a peer.
  OriginsAgent& agent = *m_agents.at(AgentVm(0));
  agent.agent.OnMessage(
      EntryVm(0), StreamOrigin{ServiceName(huge), RequestId(1), kOne, kKeep});
  agent.agent.OnMessage(EntryVm(0), StreamOriginQuery{});
  agent.agent.OnMessage(EntryVm(0),
                        StreamOriginQuery{1, ServiceName(huge), RequestId(1)});
  CHECK_FALSE(
      std::get<StreamOriginAnswer>(m_sent.back().message).version.IsValid());
}

TEST(ReplicatedStreamOrigins, AHugeTimeIsCutToTheBound) {
  Origins(0).Record(Stream(1), kOne, hours(1000));
  DeliverMessages();
  EndEntry(0);
  Run(seconds(5));
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
  m_clock.Advance(kMaxOriginKeep);
  Run(seconds(1));
  CHECK_FALSE(Search(1, Stream(1)).version.IsValid());
}

TEST(ReplicatedStreamOrigins, ACancelledSearchHasNoEvent) {
  Record(0, 1);
  const OriginSearchId known = Origins(0).Find(Stream(1), &m_searches);
  const OriginSearchId asked = Origins(1).Find(Stream(1), &m_searches);
  Origins(0).Cancel(known);
  Origins(1).Cancel(asked);
  Origins(1).Cancel(asked);
  Run(kLongSearch);
  LONGS_EQUAL(0, m_searches.event_count);
}

TEST(ReplicatedStreamOrigins, TooManySearchesEndInTheNextTick) {
  for (size_t i = 0; i < OriginSearches::kMaxOpen; ++i) {
    Origins(0).Find(Stream(i + 1), &m_searches);
  }
  const int asked = static_cast<int>(m_sent.size());
  const OriginSearchId refused = Origins(0).Find(Stream(9999), &m_searches);
  LONGS_EQUAL(asked, m_sent.size());
  m_sent.clear();
  Origins(0).Tick();
  LONGS_EQUAL(1, m_searches.event_count);
  CHECK(m_searches.results.at(refused).retry_after > Duration(0));
  Run(kLongSearch);
  LONGS_EQUAL(OriginSearches::kMaxOpen + 1, m_searches.event_count);
  Run(seconds(1));
  LONGS_EQUAL(1, m_log.Count("origin_searches_refused"));
}

// Guards against messages that end the connection to an older agent.
TEST(ReplicatedStreamOrigins, AgentsThatKeepNoOriginsGetNoMessages) {
  for (int i = 0; i < 8; ++i) {
    EndAgent(i);
    StartAgent(i, /*connect=*/true, /*keeps_origins=*/i >= 6);
  }
  Run(kAgentStart);
  for (uint64_t stream = 1; stream <= 20; ++stream) Record(0, stream);
  for (const auto& [stream, holders] : m_holders) {
    LONGS_EQUAL(2, holders.size());
  }
  CheckUnknown(1, Stream(100), /*may_return=*/false);
  LONGS_EQUAL(2, m_queries_sent);
}

TEST(ReplicatedStreamOrigins, AgentsLogACountAndNoLineForEachStream) {
  for (uint64_t stream = 1; stream <= 200; ++stream) Record(0, stream);
  Run(seconds(130));
  CHECK(m_log.Count("stream_origins") >= 1);
  CHECK(m_log.Count("stream_origins") <= 24);  // 8 agents, 130 s.
}

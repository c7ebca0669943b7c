// Module gateway: origins of streams that outlive processes of both kinds.

#include "emulation/gateway_deployment.h"
#include "tests/gateway_test_stream_origins_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using burdockhill::emulation::GatewayDeployment;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t kStreams = 60;

}  // namespace

// Five entries, of which three are seeds, and nine agents in three zones.
TEST_GROUP(StreamOriginsOfADeployment) {
  static GatewayDeployment::Options MakeOptions() {
    GatewayDeployment::Options options;
    options.entries = 5;
    options.zones = 3;
    return options;
  }
  void setup() override { m_deployment.RunFor(seconds(2)); }

  void Record(int entry) {
    for (uint64_t i = 1; i <= kStreams; ++i) {
      m_deployment.Origins(entry).Record(Stream(i), kOne, kKeep);
    }
    m_deployment.RunFor(seconds(1));
  }
  // Streams of which this entry finds the version within a search.
  uint64_t CountFound(int entry) {
    SearchLog searches;
    for (uint64_t i = 1; i <= kStreams; ++i) {
      m_deployment.Origins(entry).Find(Stream(i), &searches);
    }
    m_deployment.RunFor(kLongSearch);
    LONGS_EQUAL(kStreams, searches.event_count);
    return static_cast<uint64_t>(std::count_if(
        searches.results.begin(), searches.results.end(),
        [](const auto& item) { return item.second.version == kOne; }));
  }
  void RestartAgents() {
    for (int i = 0; i < m_deployment.AgentCount(); ++i) {
      m_deployment.RestartAgent(i);
    }
  }

  GatewayDeployment m_deployment{MakeOptions()};
};

TEST(StreamOriginsOfADeployment, OutliveAllEntries) {
  GatewayDeployment& deployment = m_deployment;
  SearchLog searches;
  deployment.Origins(0).Record(Stream(1), kOne, kKeep);
  deployment.RunFor(milliseconds(100));
  for (int i = 0; i < deployment.EntryCount(); ++i) deployment.RestartEntry(i);
  // At once, while the entries connect to the agents.
  const OriginSearchId known = deployment.Origins(1).Find(Stream(1), &searches);
  deployment.RunFor(kPromptSearch);
  CHECK(searches.results.at(known).version == kOne);
  const OriginSearchId unknown =
      deployment.Origins(1).Find(Stream(2), &searches);
  deployment.RunFor(milliseconds(60));
  CHECK_FALSE(searches.results.at(unknown).version.IsValid());
  CHECK(searches.results.at(unknown).retry_after == Duration(0));
  LONGS_EQUAL(2, searches.event_count);
}

// Guards against review/10: the entry at which streams began and all agents end
// at once, and callers take the streams up while the agents start.
TEST(StreamOriginsOfADeployment, OutliveTheirEntryAndAllAgentsAtOnce) {
  Record(0);
  m_deployment.KillEntry(0);
  RestartAgents();
  for (int entry = 1; entry < m_deployment.EntryCount(); ++entry) {
    LONGS_EQUAL(kStreams, CountFound(entry));
  }
}

// Guards against a search that ends while the answers of agents that have just
// started are on their way. Most streams are held by entries that the one which
// searches is not connected to.
TEST(StreamOriginsOfADeployment, AreFoundOnceAgentsHaveStarted) {
  for (int i = 5; i < 20; ++i) m_deployment.AddEntry();
  m_deployment.RunFor(seconds(1));
  Record(0);
  m_deployment.KillEntry(0);
  RestartAgents();
  LONGS_EQUAL(kStreams, CountFound(m_deployment.EntryCount() - 1));
}

// Guards against streams that are lost when the agents are restarted in turn
// after their entry has ended.
TEST(StreamOriginsOfADeployment, OutliveARollOfAllAgentsAfterTheirEntry) {
  Record(0);
  m_deployment.KillEntry(0);
  for (int i = 0; i < m_deployment.AgentCount(); ++i) {
    m_deployment.RestartAgent(i);
    m_deployment.RunFor(seconds(1));
  }
  LONGS_EQUAL(kStreams, CountFound(3));
}

// The same where every process is restarted, entries first.
TEST(StreamOriginsOfADeployment, OutliveARollOfAllProcesses) {
  Record(0);
  for (int i = 0; i < m_deployment.EntryCount(); ++i) {
    m_deployment.RestartEntry(i);
    m_deployment.RunFor(seconds(1));
  }
  for (int i = 0; i < m_deployment.AgentCount(); ++i) {
    m_deployment.RestartAgent(i);
    m_deployment.RunFor(seconds(1));
  }
  for (int i = 0; i < m_deployment.EntryCount(); ++i) {
    m_deployment.RestartEntry(i);
    m_deployment.RunFor(seconds(1));
  }
  LONGS_EQUAL(kStreams, CountFound(4));
}

// Guards against all holders of a stream in one availability zone.
TEST(StreamOriginsOfADeployment, OutliveAnAvailabilityZone) {
  Record(0);
  for (int i = 0; i < m_deployment.EntryCount(); i += 3) {
    m_deployment.KillEntry(i);
  }
  for (int i = 0; i < m_deployment.AgentCount(); i += 3) {
    m_deployment.KillAgent(i);
  }
  LONGS_EQUAL(kStreams, CountFound(1));
}

TEST(StreamOriginsOfADeployment, MostOutliveHalfOfAllProcesses) {
  Record(0);
  for (const int i : {0, 2, 4}) m_deployment.KillEntry(i);
  for (int i = 0; i < m_deployment.AgentCount(); i += 2) {
    m_deployment.KillAgent(i);
  }
  // The bound of the promise to callers.
  CHECK(CountFound(1) >= kStreams / 2);
}

// What nobody holds any more is unknown, and never guessed.
TEST(StreamOriginsOfADeployment, AreUnknownOnceEveryProcessHasEnded) {
  Record(0);
  for (int i = 0; i < m_deployment.EntryCount(); ++i) {
    m_deployment.RestartEntry(i);
  }
  RestartAgents();
  m_deployment.RunFor(seconds(5));
  LONGS_EQUAL(0, CountFound(1));
}

// Entries that hold streams of others, and their agents.
class HoldingEntriesFixture : public StreamOriginsFixture {
 public:
  void setup() override {
    m_entries_hold = true;
    StreamOriginsFixture::setup();
    for (int i = 2; i < 6; ++i) StartEntry(i);
    Run(kAgentStart);
  }
  void EndAllAgents() {
    for (int i = 0; i < 8; ++i) EndAgent(i);
  }
};

TEST_GROUP_BASE(EntriesAsHolders, HoldingEntriesFixture){};

TEST(EntriesAsHolders, EachAgentThatHoldsAStreamTellsOneEntry) {
  for (uint64_t stream = 1; stream <= 50; ++stream) Record(0, stream);
  Run(seconds(1));
  for (uint64_t stream = 1; stream <= 50; ++stream) {
    LONGS_EQUAL(2, m_holders[stream].size());
    LONGS_EQUAL(2, m_entry_holders[stream].size());
  }
}

TEST(EntriesAsHolders, AnotherEntryIsToldWhenOneEnds) {
  for (uint64_t stream = 1; stream <= 50; ++stream) Record(0, stream);
  Run(seconds(1));
  for (int i = 0; i < 4; ++i) {
    EndEntry(i);
    Run(seconds(1));
  }
  EndAllAgents();
  for (int i = 0; i < 8; ++i) StartAgent(i);
  Run(seconds(1));
  for (uint64_t stream = 1; stream <= 50; ++stream) {
    STRCMP_EQUAL("1.0", Version(5, stream).c_str());
  }
}

// Guards against an agent that has just started and says that nobody knows a
// stream before those that hold it have told it.
TEST(EntriesAsHolders, AnAgentThatHasJustStartedIsWaitedFor) {
  EndAllAgents();
  StartAgent(0);
  OriginsAgent& agent = *m_agents.at(AgentVm(0));
  m_sent.clear();
  agent.agent.OnMessage(EntryVm(1),
                        StreamOriginQuery{7, ServiceName("s"), RequestId(1)});
  const auto& wait = std::get<StreamOriginAnswer>(m_sent.back().message);
  CHECK(wait.wait > Duration(0) && wait.wait <= milliseconds(1200));
  m_sent.clear();
  agent.agent.OnMessage(
      EntryVm(2), StreamOrigin{ServiceName("s"), RequestId(1), kOne, kKeep, 1});
  const auto& answer = std::get<StreamOriginAnswer>(m_sent.back().message);
  LONGS_EQUAL(7, answer.id);
  CHECK(answer.version == kOne);
  CHECK(answer.wait == Duration(0));
}

TEST(EntriesAsHolders, AStreamThatNobodyTellsAnAgentThatStartedIsUnknown) {
  EndAllAgents();
  for (int i = 0; i < 8; ++i) StartAgent(i);
  const auto result = Search(1, Stream(1));
  CHECK_FALSE(result.version.IsValid());
  CHECK(m_took >= seconds(1) && m_took <= milliseconds(1300));
  CheckUnknown(1, Stream(1), /*may_return=*/false);
}

// Guards against holders that pass a stream on to another route or team.
TEST(EntriesAsHolders, OwnersArePassedOnBetweenHolders) {
  StreamKey one = Stream(1);
  StreamKey two = Stream(1);
  one.owner = StreamOwner(1);
  two.owner = StreamOwner(2);
  Origins(0).Record(one, kOne, kKeep);
  DeliverMessages();
  Run(seconds(1));
  EndEntry(0);
  EndAllAgents();
  for (int i = 0; i < 8; ++i) StartAgent(i);
  Run(kAgentStart);
  for (int entry = 1; entry < 6; ++entry) {
    CHECK(Search(entry, one).version == kOne);
    CheckUnknown(entry, two, /*may_return=*/false);
  }
}

TEST(EntriesAsHolders, ASecondVersionIsToldToTheEntries) {
  Record(0, 1, kOne);
  Run(seconds(1));
  Record(0, 1, kTwo);
  Run(seconds(1));
  EndEntry(0);
  for (int entry = 1; entry < 6; ++entry) {
    CheckUnknown(entry, Stream(1), /*may_return=*/false);
  }
}

// Entries of the former software close the connection to no agent, and get no
// messages that they have no use for.
TEST_GROUP_BASE(FormerEntries, StreamOriginsFixture){};

TEST(FormerEntries, AreNotTold) {
  Record(0, 1);
  Run(seconds(1));
  LONGS_EQUAL(0, m_entry_holders.size());
}

TEST(FormerEntries, AreNotAskedToWait) {
  StartAgent(20);
  m_sent.clear();
  m_agents.at(AgentVm(20))
      ->agent.OnMessage(EntryVm(1),
                        StreamOriginQuery{7, ServiceName("s"), RequestId(1)});
  LONGS_EQUAL(0, m_sent.size());
  Run(kAgentStart);
  STRCMP_EQUAL("1.0", (Record(0, 1), Version(1, 1)).c_str());
}

// An agent of the former software forwards nothing and tells no position.
TEST(FormerEntries, ARecordWithoutAPositionIsKept) {
  OriginsAgent& agent = *m_agents.at(AgentVm(0));
  agent.agent.OnMessage(
      EntryVm(0), StreamOrigin{ServiceName("s"), RequestId(1), kOne, kKeep});
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

// Module gateway: entries that keep the origins of streams at agents.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/gateway.h"
#include "emulation/gateway_deployment.h"
#include "emulation/sockets_fake.h"
#include "platform/platform.h"
#include "tests/gateway_test_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using burdockhill::emulation::GatewayDeployment;
using burdockhill::emulation::SocketsFake;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const SoftwareVersion kOne("1.0");
const SoftwareVersion kTwo("2.0");
constexpr Duration kKeep = minutes(5);
// Longer than a search may take.
constexpr Duration kLongSearch = milliseconds(500);

StreamKey Stream(uint64_t number, const std::string& service = "s") {
  return {ServiceName(service), RequestId(number)};
}

// Passes messages on to the network, which the test plays.
class NetworkLink : public PeerLink {
 public:
  using Sender = std::function<void(const VmName& to, Message message)>;
  explicit NetworkLink(Sender sender) : m_sender(std::move(sender)) {}
  void Connect(const VmName& /*vm*/, const std::string& /*address*/) override {}
  void Disconnect(const VmName& /*vm*/) override {}
  void Send(const VmName& vm, Message message) override {
    m_sender(vm, std::move(message));
  }

 private:
  Sender m_sender;
};

// What searches have ended with.
class SearchLog : public OriginSearchEvents {
 public:
  void OnOriginFound(OriginSearchId id,
                     const SoftwareVersion& version) override {
    ++event_count;
    results[id] = {version, Duration(0)};
  }
  void OnOriginUnknown(OriginSearchId id, Duration retry_after) override {
    ++event_count;
    results[id] = {SoftwareVersion(), retry_after};
  }

  struct Result {
    SoftwareVersion version;
    Duration retry_after{0};
  };
  std::map<OriginSearchId, Result> results;
  int event_count = 0;
};

struct Entry {
  Entry(const Clock* clock, Random* random, EventLog* log,
        NetworkLink::Sender sender)
      : link(std::move(sender)), board(MakeBoard(clock, random, log)) {}
  static EntryBoard MakeBoard(const Clock* clock, Random* random,
                              EventLog* log) {
    EntryBoard board{ZoneName("z")};
    board.clock = clock;
    board.random = random;
    board.log = log;
    return board;
  }

  NetworkLink link;
  EntryBoard board;
  AgentStreamOrigins origins{&board, &link};
};

struct Agent {
  Agent(const VmName& vm, const Clock* clock, EventLog* log,
        NetworkLink::Sender sender)
      : link(std::move(sender)),
        pool(&sockets, clock),
        agent({vm, vm.Value() + ":80"}, &codec, &directory, &pool, &link, clock,
              log) {}

  NetworkLink link;
  SocketsFake sockets;
  http::ConnectionPool pool;
  platform::PlatformEngineCodec codec;
  UpstreamDirectory directory;
  EngineAgent agent;
  bool frozen = false;
  bool keeps_origins = true;
};

}  // namespace

// Agents at "10.0.1.N" and entries "entry-N", which are connected to all agents
// once Connect has been called.
TEST_GROUP(AgentStreamOrigins) {
  void setup() override {
    for (int i = 0; i < 8; ++i) StartAgent(i);
    for (int i = 0; i < 2; ++i) StartEntry(i);
    Run(milliseconds(20));
  }

  static VmName AgentVm(int index) {
    return VmName("10.0.1." + std::to_string(index));
  }
  static VmName EntryVm(int index) {
    return VmName("entry-" + std::to_string(index));
  }
  NetworkLink::Sender SenderOf(const VmName& from) {
    return [this, from](const VmName& to, Message message) {
      m_sent.push_back({from, to, std::move(message)});
    };
  }

  RegisteredUpstream Registration(int index) {
    RegisteredUpstream upstream =
        MakeUpstream("u" + std::to_string(index), "other-service",
                     AgentVm(index).Value() + ":80");
    upstream.role = EngineRole::kDecode;
    upstream.leaving = m_leaving.contains(index);
    upstream.revision = m_revision;
    return upstream;
  }
  void ApplyRegistrations(Entry * entry) {
    ++m_revision.number;
    std::vector<RegisteredUpstream> upstreams;
    for (const int index : m_registered) {
      upstreams.push_back(Registration(index));
    }
    entry->board.upstreams.ApplyList(upstreams, m_revision, m_clock.Now());
  }
  void UpdateEntries() {
    for (auto& [vm, entry] : m_entries) ApplyRegistrations(entry.get());
  }

  void ConnectPair(const VmName& entry, const VmName& agent) {
    Hello hello;
    hello.vm = agent;
    hello.role = Role::kAgent;
    hello.keeps_origins = m_agents.at(agent)->keeps_origins;
    m_entries.at(entry)->origins.OnPeerUp(hello);
    hello.vm = entry;
    hello.role = Role::kEntry;
    m_agents.at(agent)->agent.OnPeerUp(hello);
  }
  void StartAgent(int index, bool connect = true, bool keeps_origins = true) {
    const VmName vm = AgentVm(index);
    m_registered.insert(index);
    m_agents[vm] = std::make_unique<Agent>(vm, &m_clock, &m_log, SenderOf(vm));
    m_agents[vm]->keeps_origins = keeps_origins;
    UpdateEntries();
    for (auto& [entry, process] : m_entries) {
      if (connect) ConnectPair(entry, vm);
    }
  }
  // The process ends; its engine stays registered.
  void EndAgent(int index) {
    m_agents.erase(AgentVm(index));
    for (auto& [entry, process] : m_entries) {
      process->origins.OnPeerDown(AgentVm(index));
    }
  }
  void RemoveEngine(int index) {
    m_registered.erase(index);
    EndAgent(index);
    UpdateEntries();
  }
  void SetLeaving(int index) {
    m_leaving.insert(index);
    UpdateEntries();
  }
  void StartEntry(int index, bool connect = true) {
    const VmName vm = EntryVm(index);
    m_entries[vm] =
        std::make_unique<Entry>(&m_clock, &m_random, &m_log, SenderOf(vm));
    ApplyRegistrations(m_entries[vm].get());
    for (auto& [agent, process] : m_agents) {
      if (connect) ConnectPair(vm, agent);
    }
  }
  void EndEntry(int index) {
    m_entries.erase(EntryVm(index));
    for (auto& [vm, agent] : m_agents) agent->agent.OnPeerDown(EntryVm(index));
  }

  void DeliverMessages() {
    while (!m_sent.empty()) {
      const Sent sent = std::move(m_sent.front());
      m_sent.pop_front();
      if (const auto* record = std::get_if<StreamOrigin>(&sent.message)) {
        m_holders[record->stream.Value()].insert(sent.to);
        ++m_records_sent;
      }
      if (std::holds_alternative<StreamOriginQuery>(sent.message)) {
        ++m_queries_sent;
      }
      const auto agent = m_agents.find(sent.to);
      const auto entry = m_entries.find(sent.to);
      if (agent != m_agents.end() && !agent->second->frozen) {
        agent->second->agent.OnMessage(sent.from, sent.message);
      } else if (entry != m_entries.end()) {
        entry->second->origins.OnMessage(sent.from, sent.message);
      }
    }
  }
  void Run(Duration time) {
    for (Duration passed(0); passed < time; passed += milliseconds(20)) {
      m_clock.Advance(milliseconds(20));
      DeliverMessages();
      for (auto& [vm, agent] : m_agents) {
        if (!agent->frozen) agent->agent.Tick();
      }
      DeliverMessages();
      for (auto& [vm, entry] : m_entries) entry->origins.Tick();
    }
    DeliverMessages();
  }

  AgentStreamOrigins& Origins(int entry) {
    return m_entries.at(EntryVm(entry))->origins;
  }
  void Record(int entry, uint64_t stream,
              const SoftwareVersion& version = kOne) {
    Origins(entry).Record(Stream(stream), version, kKeep);
    DeliverMessages();
  }
  // Searches and returns what the search has ended with, and how long it took.
  SearchLog::Result Search(int entry, const StreamKey& stream) {
    const int before = m_searches.event_count;
    m_searches.results.clear();  // Entries may use the same ids.
    const OriginSearchId id = Origins(entry).Find(stream, &m_searches);
    LONGS_EQUAL(before, m_searches.event_count);
    const TimePoint began = m_clock.Now();
    while (!m_searches.results.contains(id) &&
           m_clock.Now() - began < kLongSearch) {
      Run(milliseconds(20));
    }
    m_took = m_clock.Now() - began;
    Run(kLongSearch);
    LONGS_EQUAL(before + 1, m_searches.event_count);
    return m_searches.results.at(id);
  }
  std::string Version(int entry, uint64_t stream) {
    return Search(entry, Stream(stream)).version.Value();
  }
  void CheckUnknown(int entry, const StreamKey& stream, bool may_return) {
    const auto result = Search(entry, stream);
    CHECK_FALSE(result.version.IsValid());
    CHECK_EQUAL(may_return, result.retry_after > Duration(0));
    CHECK_EQUAL(may_return, m_took >= milliseconds(300));
    CHECK(m_took < milliseconds(400));
  }
  // The holders that were told of the stream; at most so many of them.
  std::vector<int> HoldersOf(uint64_t stream, size_t count) {
    std::vector<int> indexes;
    for (const VmName& vm : m_holders[stream]) {
      if (indexes.size() < count) {
        indexes.push_back(std::stoi(vm.Value().substr(7)));
      }
    }
    return indexes;
  }

  struct Sent {
    VmName from;
    VmName to;
    Message message;
  };
  ManualClock m_clock;
  Random m_random{1};
  RecordingLog m_log;
  SearchLog m_searches;
  std::deque<Sent> m_sent;
  StoreRevision m_revision{1};
  std::set<int> m_registered;
  std::set<int> m_leaving;
  std::map<VmName, std::unique_ptr<Agent>> m_agents;
  std::map<VmName, std::unique_ptr<Entry>> m_entries;
  std::map<uint64_t, std::set<VmName>> m_holders;
  int m_records_sent = 0;
  int m_queries_sent = 0;
  Duration m_took{0};
};

TEST(AgentStreamOrigins, AnotherEntryFindsTheVersion) {
  Record(0, 1);
  LONGS_EQUAL(AgentStreamOrigins::kHolders, m_holders[1].size());
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
  CHECK(m_took <= milliseconds(40));
}

TEST(AgentStreamOrigins, AnEntryKnowsItsOwnStreamsWithoutAsking) {
  Record(0, 1);
  STRCMP_EQUAL("1.0", Version(0, 1).c_str());
  LONGS_EQUAL(0, m_queries_sent);
}

TEST(AgentStreamOrigins, AllEntriesMayEndAtOnce) {
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

TEST(AgentStreamOrigins, AnEntryThatHasJustStartedAsksAgentsAsTheyComeUp) {
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

TEST(AgentStreamOrigins, AnEntryWithoutAgentsOrListSaysWhenToReturn) {
  Record(0, 1);
  EndEntry(0);
  StartEntry(0, /*connect=*/false);
  CheckUnknown(0, Stream(1), /*may_return=*/true);
  m_registered.clear();
  m_agents.clear();
  m_entries[EntryVm(0)] = std::make_unique<Entry>(&m_clock, &m_random, &m_log,
                                                  SenderOf(EntryVm(0)));
  CheckUnknown(0, Stream(1), /*may_return=*/true);
}

TEST(AgentStreamOrigins, OneHolderIsEnough) {
  Record(0, 1);
  EndEntry(0);
  for (const int index : HoldersOf(1, 2)) EndAgent(index);
  Run(milliseconds(100));
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(AgentStreamOrigins, OtherAgentsTakeTheStreamsOfAHolderThatGoes) {
  Record(0, 1);
  for (const int index : HoldersOf(1, 3)) EndAgent(index);
  Run(milliseconds(100));
  LONGS_EQUAL(6, m_holders[1].size());
  LONGS_EQUAL(6, m_records_sent);
  EndEntry(0);
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(AgentStreamOrigins, OtherAgentsTakeTheStreamsOfAHolderThatLeaves) {
  Record(0, 1);
  const int holder = HoldersOf(1, 1).front();
  SetLeaving(holder);
  Run(milliseconds(100));
  LONGS_EQUAL(4, m_holders[1].size());
  LONGS_EQUAL(4, m_records_sent);
  Record(0, 2);
  CHECK_FALSE(m_holders[2].contains(AgentVm(holder)));
}

TEST(AgentStreamOrigins, AgentsThatLeaveAreAskedToo) {
  Record(0, 1);
  EndEntry(0);
  for (const int index : HoldersOf(1, 3)) SetLeaving(index);
  Run(milliseconds(100));
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(AgentStreamOrigins, AReleaseThatReplacesAllAgentsLosesNothing) {
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

TEST(AgentStreamOrigins, AnAgentThatRestartsGetsItsStreamsAgainOrOthersDo) {
  Record(0, 1);
  const std::vector<int> holders = HoldersOf(1, 3);
  for (const int index : holders) {
    EndAgent(index);
    StartAgent(index);
    Run(milliseconds(100));
  }
  EndEntry(0);
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(AgentStreamOrigins, StreamsRecordedBeforeAgentsAreConnectedAreToldLater) {
  StartEntry(2, /*connect=*/false);
  Run(milliseconds(40));
  Record(2, 1);
  LONGS_EQUAL(0, m_records_sent);
  for (int i = 0; i < 8; ++i) ConnectPair(EntryVm(2), AgentVm(i));
  Run(milliseconds(60));
  LONGS_EQUAL(3, m_holders[1].size());
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(AgentStreamOrigins, ManyStreamsOfOneHolderAreMovedInBatches) {
  for (uint64_t stream = 1; stream <= 1000; ++stream) Record(0, stream);
  for (int i = 0; i < 4; ++i) SetLeaving(i);
  int before = m_records_sent;
  for (int i = 0; i < 30; ++i) {
    Run(milliseconds(20));
    CHECK(m_records_sent - before <= 192);  // 64 streams, 3 holders.
    before = m_records_sent;
  }
  for (const auto& [stream, holders] : m_holders) {
    LONGS_EQUAL(
        3, std::count_if(holders.begin(), holders.end(), [](const VmName& vm) {
          return vm >= VmName("10.0.1.4");
        }));
  }
}

TEST(AgentStreamOrigins, AStreamThatNobodyKnowsIsSaidAtOnce) {
  CheckUnknown(0, Stream(1), /*may_return=*/false);
  CHECK(m_took <= milliseconds(40));
  LONGS_EQUAL(8, m_queries_sent);
}

TEST(AgentStreamOrigins, ASearchAsksAtMostSoManyAgents) {
  for (int i = 8; i < 40; ++i) StartAgent(i);
  CheckUnknown(0, Stream(1), /*may_return=*/false);
  LONGS_EQUAL(AgentStreamOrigins::kAskedAgents, m_queries_sent);
}

TEST(AgentStreamOrigins, AFrozenAgentMayKnowTheStreamLater) {
  Record(0, 1);
  EndEntry(0);
  for (const int index : HoldersOf(1, 3)) {
    m_agents.at(AgentVm(index))->frozen = true;
  }
  CheckUnknown(1, Stream(1), /*may_return=*/true);
  for (const int index : HoldersOf(1, 3)) {
    m_agents.at(AgentVm(index))->frozen = false;
  }
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
}

TEST(AgentStreamOrigins, AFrozenAgentGetsNoStreamsAndIsNotWaitedForForever) {
  Record(0, 1);
  const int holder = HoldersOf(1, 1).front();
  m_agents.at(AgentVm(holder))->frozen = true;
  Run(seconds(3));
  LONGS_EQUAL(4, m_holders[1].size());
  CheckUnknown(1, Stream(2), /*may_return=*/true);
  Run(seconds(10));
  CheckUnknown(1, Stream(3), /*may_return=*/false);
}

TEST(AgentStreamOrigins, AStreamThatWasToldWithTwoVersionsIsUnknown) {
  // Two entries that do not know of each other.
  Record(0, 1, kOne);
  Record(1, 1, kTwo);
  StartEntry(2);
  CheckUnknown(2, Stream(1), /*may_return=*/false);
  Record(0, 2, kOne);
  Record(0, 2, kTwo);
  CheckUnknown(0, Stream(2), /*may_return=*/false);
}

TEST(AgentStreamOrigins, DifferentAnswersAreNotChosenFrom) {
  const OriginSearchId id = Origins(0).Find(Stream(1), &m_searches);
  m_sent.clear();
  Origins(0).OnMessage(AgentVm(0), StreamOriginAnswer{id.Value(), kOne});
  Origins(0).OnMessage(AgentVm(1), StreamOriginAnswer{id.Value(), kTwo});
  Run(milliseconds(20));
  CHECK_FALSE(m_searches.results.at(id).version.IsValid());
  CHECK(m_searches.results.at(id).retry_after == Duration(0));
}

TEST(AgentStreamOrigins, AnswersOfThoseThatWereNotAskedAreIgnored) {
  for (int i = 8; i < 40; ++i) StartAgent(i);
  Run(milliseconds(20));
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

TEST(AgentStreamOrigins, AStreamThatAnEntryRecordedWithTwoVersionsIsUnknown) {
  Record(0, 1, kOne);
  Origins(0).Record(Stream(1), kTwo, kKeep);
  m_sent.clear();  // The agents know one version only.
  CheckUnknown(0, Stream(1), /*may_return=*/false);
}

TEST(AgentStreamOrigins, TheSameAttemptOfAnotherServiceIsAnotherStream) {
  Origins(0).Record(Stream(1, "s"), kOne, kKeep);
  Origins(0).Record(Stream(1, "t"), kTwo, kKeep);
  DeliverMessages();
  CHECK(Search(1, Stream(1, "s")).version == kOne);
  CHECK(Search(1, Stream(1, "t")).version == kTwo);
  CheckUnknown(1, Stream(1, "u"), /*may_return=*/false);
}

TEST(AgentStreamOrigins, WhatIsNotValidIsNeitherToldNorAsked) {
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
  Agent& agent = *m_agents.at(AgentVm(0));
  agent.agent.OnMessage(
      EntryVm(0), StreamOrigin{ServiceName(huge), RequestId(1), kOne, kKeep});
  agent.agent.OnMessage(EntryVm(0), StreamOriginQuery{});
  agent.agent.OnMessage(EntryVm(0),
                        StreamOriginQuery{1, ServiceName(huge), RequestId(1)});
  CHECK_FALSE(
      std::get<StreamOriginAnswer>(m_sent.back().message).version.IsValid());
}

TEST(AgentStreamOrigins, AHugeTimeIsCutToTheBound) {
  Origins(0).Record(Stream(1), kOne, hours(1000));
  DeliverMessages();
  EndEntry(0);
  Run(seconds(5));
  STRCMP_EQUAL("1.0", Version(1, 1).c_str());
  m_clock.Advance(kMaxOriginKeep);
  Run(seconds(1));
  CHECK_FALSE(Search(1, Stream(1)).version.IsValid());
}

TEST(AgentStreamOrigins, ACancelledSearchHasNoEvent) {
  Record(0, 1);
  const OriginSearchId known = Origins(0).Find(Stream(1), &m_searches);
  const OriginSearchId asked = Origins(1).Find(Stream(1), &m_searches);
  Origins(0).Cancel(known);
  Origins(1).Cancel(asked);
  Origins(1).Cancel(asked);
  Run(kLongSearch);
  LONGS_EQUAL(0, m_searches.event_count);
}

TEST(AgentStreamOrigins, TooManySearchesEndInTheNextTick) {
  for (size_t i = 0; i < AgentStreamOrigins::kMaxOpenSearches; ++i) {
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
  LONGS_EQUAL(AgentStreamOrigins::kMaxOpenSearches + 1, m_searches.event_count);
  Run(seconds(1));
  LONGS_EQUAL(1, m_log.Count("origin_searches_refused"));
}

// Guards against messages that end the connection to an older agent.
TEST(AgentStreamOrigins, AgentsThatKeepNoOriginsGetNoMessages) {
  for (int i = 0; i < 8; ++i) {
    EndAgent(i);
    StartAgent(i, /*connect=*/true, /*keeps_origins=*/i >= 6);
  }
  Run(milliseconds(40));
  for (uint64_t stream = 1; stream <= 20; ++stream) Record(0, stream);
  for (const auto& [stream, holders] : m_holders) {
    LONGS_EQUAL(2, holders.size());
  }
  CheckUnknown(1, Stream(100), /*may_return=*/false);
  LONGS_EQUAL(2, m_queries_sent);
}

TEST(AgentStreamOrigins, AgentsLogACountAndNoLineForEachStream) {
  for (uint64_t stream = 1; stream <= 200; ++stream) Record(0, stream);
  Run(seconds(130));
  CHECK(m_log.Count("stream_origins") >= 1);
  CHECK(m_log.Count("stream_origins") <= 24);  // 8 agents, 130 s.
}

TEST_GROUP(StreamOriginsOfADeployment){};

TEST(StreamOriginsOfADeployment, OutliveAllEntries) {
  GatewayDeployment deployment({});
  SearchLog searches;
  deployment.Origins(0).Record(Stream(1), kOne, kKeep);
  deployment.RunFor(milliseconds(100));
  for (int i = 0; i < deployment.EntryCount(); ++i) deployment.RestartEntry(i);
  // At once, while the entries connect to the agents.
  const OriginSearchId known = deployment.Origins(1).Find(Stream(1), &searches);
  deployment.RunFor(kLongSearch);
  CHECK(searches.results.at(known).version == kOne);
  const OriginSearchId unknown =
      deployment.Origins(1).Find(Stream(2), &searches);
  deployment.RunFor(milliseconds(60));
  CHECK_FALSE(searches.results.at(unknown).version.IsValid());
  CHECK(searches.results.at(unknown).retry_after == Duration(0));
  LONGS_EQUAL(2, searches.event_count);
}

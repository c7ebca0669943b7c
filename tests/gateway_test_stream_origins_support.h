#ifndef BURDOCKHILL_TESTS_GATEWAY_TEST_STREAM_ORIGINS_SUPPORT_H_
#define BURDOCKHILL_TESTS_GATEWAY_TEST_STREAM_ORIGINS_SUPPORT_H_

// Fixture with entries and agents that hold origins of streams, under a manual
// clock and without a network.

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
#include "emulation/sockets_fake.h"
#include "platform/platform.h"
#include "tests/gateway_test_support.h"

namespace burdockhill {

inline const SoftwareVersion kOne("1.0");
inline const SoftwareVersion kTwo("2.0");
inline constexpr Duration kKeep = std::chrono::minutes(5);
// Longer than a search may take.
inline constexpr Duration kLongSearch = std::chrono::milliseconds(1500);

// The same while no process starts.
inline constexpr Duration kPromptSearch = std::chrono::milliseconds(500);
// After this time, an agent has what it gets after its start.
inline constexpr Duration kAgentStart = std::chrono::seconds(2);

inline StreamKey Stream(uint64_t number, const std::string& service = "s") {
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

struct OriginsEntry {
  OriginsEntry(const Clock* clock, Random* random, EventLog* log,
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
  ReplicatedStreamOrigins origins{&board, &link};
};

struct OriginsAgent {
  OriginsAgent(const VmName& vm, const Clock* clock, EventLog* log,
               NetworkLink::Sender sender)
      : link(std::move(sender)),
        pool(&sockets, clock),
        agent({vm, vm.Value() + ":80"}, &codec, &directory, &pool, &link, clock,
              log) {}

  NetworkLink link;
  emulation::SocketsFake sockets;
  http::ConnectionPool pool;
  platform::PlatformEngineCodec codec;
  UpstreamDirectory directory;
  EngineAgent agent;
  bool frozen = false;
  bool keeps_origins = true;
};

// Agents at "10.0.1.N" and entries "entry-N", which are connected to all agents
// once Connect has been called. The entries are of the software that holds no
// streams of others, so that streams outlive them at agents only, unless
// `m_entries_hold` is set before they start.
class StreamOriginsFixture : public Utest {
 public:
  void setup() override {
    for (int i = 0; i < 8; ++i) StartAgent(i);
    for (int i = 0; i < 2; ++i) StartEntry(i);
    Run(kAgentStart);
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
  void ApplyRegistrations(OriginsEntry* entry) {
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
    hello.keeps_origins = m_entries_hold;
    m_agents.at(agent)->agent.OnPeerUp(hello);
  }
  void StartAgent(int index, bool connect = true, bool keeps_origins = true) {
    const VmName vm = AgentVm(index);
    m_registered.insert(index);
    m_agents[vm] =
        std::make_unique<OriginsAgent>(vm, &m_clock, &m_log, SenderOf(vm));
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
    m_entries[vm] = std::make_unique<OriginsEntry>(&m_clock, &m_random, &m_log,
                                                   SenderOf(vm));
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
        const bool to_agent = sent.to.Value().starts_with("10.");
        (to_agent ? m_holders : m_entry_holders)[record->stream.Value()].insert(
            sent.to);
        if (to_agent) ++m_records_sent;
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
    for (Duration passed(0); passed < time;
         passed += std::chrono::milliseconds(20)) {
      m_clock.Advance(std::chrono::milliseconds(20));
      DeliverMessages();
      for (auto& [vm, agent] : m_agents) {
        if (!agent->frozen) agent->agent.Tick();
      }
      DeliverMessages();
      for (auto& [vm, entry] : m_entries) entry->origins.Tick();
    }
    DeliverMessages();
  }

  ReplicatedStreamOrigins& Origins(int entry) {
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
      Run(std::chrono::milliseconds(20));
    }
    m_took = m_clock.Now() - began;
    Run(kLongSearch);
    LONGS_EQUAL(before + 1, m_searches.event_count);
    return m_searches.results.at(id);
  }
  // Of a stream that is known, or will be without waiting for processes that
  // start.
  std::string Version(int entry, uint64_t stream) {
    const SoftwareVersion version = Search(entry, Stream(stream)).version;
    CHECK(m_took < kPromptSearch);
    return version.Value();
  }
  void CheckUnknown(int entry, const StreamKey& stream, bool may_return) {
    const auto result = Search(entry, stream);
    CHECK_FALSE(result.version.IsValid());
    CHECK_EQUAL(may_return, result.retry_after > Duration(0));
    CHECK_EQUAL(may_return, m_took >= std::chrono::milliseconds(300));
    CHECK(m_took < std::chrono::milliseconds(400));
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
  std::map<VmName, std::unique_ptr<OriginsAgent>> m_agents;
  std::map<VmName, std::unique_ptr<OriginsEntry>> m_entries;
  bool m_entries_hold = false;
  std::map<uint64_t, std::set<VmName>> m_holders;  // Agents.
  std::map<uint64_t, std::set<VmName>> m_entry_holders;
  int m_records_sent = 0;
  int m_queries_sent = 0;
  Duration m_took{0};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_GATEWAY_TEST_STREAM_ORIGINS_SUPPORT_H_

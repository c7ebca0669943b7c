// Module gateway: the relay between entries, and engine agents.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/gateway.h"
#include "emulation/sockets_fake.h"
#include "platform/platform.h"
#include "tests/gateway_test_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using burdockhill::emulation::SocketsFake;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kDecodeOne[] = "10.0.2.2:80";
constexpr uint16_t kAgentPort = 7660;

}  // namespace

namespace {

constexpr char kNewerConfiguration[] =
    R"({"version":7,"routes":[{"name":"a","host":"h","pathPrefix":"/a/",
        "kind":"safe","timeoutMs":1000,"service":"s"}],"services":[]})";

class ConfigurationApplier : public FeedEvents {
 public:
  explicit ConfigurationApplier(RouteTable* routes) : m_routes(routes) {}
  void OnList(const std::vector<FeedObject>& objects,
              StoreRevision /*revision*/) override {
    for (const FeedObject& object : objects) OnChange(object);
  }
  void OnChange(const FeedObject& object) override {
    auto configuration = m_codec.DecodeConfiguration(object);
    if (configuration.has_value()) m_routes->Apply(std::move(*configuration));
  }
  void OnStoreCallFailed() override {}

 private:
  platform::PlatformObjectCodec m_codec;
  RouteTable* m_routes;
};

// The parts of one entry that the relay works on.
struct EntryWithRelay {
  EntryWithRelay(const std::string& name, const std::string& other,
                 const Clock* clock, EventLog* log)
      : updater(&directory, &codec, clock, log),
        relay({VmName(name), {other}, kAgentPort, "main"}, &codec, &routes,
              &directory, &poison_detector, &prompt_parts, &peers, clock, log,
              &configuration_applier, &updater) {}

  // Delivers the messages that this entry has sent; false if there were none.
  bool DeliverTo(const std::string& self, EntryWithRelay* other) {
    const auto sent = std::exchange(peers.sent, {});
    for (const auto& [vm, message] : sent) {
      other->relay.OnMessage(VmName(self), message);
    }
    return !sent.empty();
  }

  RouteTable routes;
  UpstreamDirectory directory;
  PoisonRequestDetector poison_detector;
  PromptPartQuarantine prompt_parts;
  PeerLinkFake peers;
  platform::PlatformObjectCodec codec;
  ConfigurationApplier configuration_applier{&routes};
  UpstreamDirectoryUpdater updater;
  PeerRelay relay;
};

}  // namespace

TEST_GROUP(PeerRelay) {
  void setup() override {
    FeedObject object;
    object.name = "main";
    object.revision = 3;
    object.content = kNewerConfiguration;
    m_synced.relay.ForwardConfiguration(object,
                                        &m_synced.configuration_applier);
    FeedObject server;
    server.name = "u";
    server.revision = 2;
    server.content =
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,"version":"v1",
         "coldRemainingMs":0,"seq":1,
            "state":"ready"})";
    m_synced.relay.SetRegistrations({server}, 5);
    m_synced.updater.OnList({server}, 5);
    Hello new_entry;
    new_entry.vm = VmName("new");
    new_entry.role = Role::kEntry;
    m_synced.relay.OnPeerUp(new_entry);
    Hello synced = new_entry;
    synced.vm = VmName("synced");
    m_new.relay.OnPeerUp(synced);
  }
  void AdvanceTime(Duration time) {
    for (Duration passed(0); passed < time; passed += milliseconds(50)) {
      m_clock.Advance(milliseconds(50));
      m_synced.relay.Tick();
      m_new.relay.Tick();
      while (m_synced.DeliverTo("synced", &m_new) ||
             m_new.DeliverTo("new", &m_synced)) {
      }
    }
  }

  ManualClock m_clock;
  RecordingLog m_log;
  EntryWithRelay m_synced{"synced", "new", &m_clock, &m_log};
  EntryWithRelay m_new{"new", "synced", &m_clock, &m_log};
};

TEST(PeerRelay, EntriesWithoutTheStoreGetStateFromPeers) {
  AdvanceTime(seconds(2));
  LONGS_EQUAL(7, m_new.routes.Configuration().generation.Value());
  CHECK(m_new.directory.Find(UpstreamName("u")) != nullptr);
}

TEST(PeerRelay, PeersAreNotAskedWithinTheGracePeriodOfTheStore) {
  AdvanceTime(milliseconds(400));
  CHECK(!m_new.routes.HasConfiguration());
  CHECK(!m_new.directory.HasList());
}

// Guards against another writer's entry, which may be as large as the store
// allows, that is sent to peers among the registrations.
TEST(PeerRelay, InvalidRegistrationsAreNotRelayed) {
  platform::PlatformObjectCodec codec;
  CachingRegistrationEvents caching(&m_synced.updater, &m_synced.relay, &codec);
  FeedObject odd;
  odd.name = "odd";
  odd.revision = 7;
  odd.content = std::string(1 << 20, '[');
  FeedObject valid = odd;
  valid.name = "u";
  valid.content =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,
          "version":"v1","coldRemainingMs":0,"seq":1,"state":"ready"})";
  const auto relayed = [&] {
    m_synced.peers.sent.clear();
    m_synced.relay.OnMessage(VmName("new"), Registrations{true, {}, {}});
    return std::get<Registrations>(m_synced.peers.sent.back().second).objects;
  };
  caching.OnList({odd, valid}, 8);
  LONGS_EQUAL(1, relayed().size());
  odd.name = "u";
  odd.revision = 9;
  caching.OnChange(odd);
  LONGS_EQUAL(0, relayed().size());
}

// Guards against a peer that is told of a list as of a revision which only one
// of its pages has, and of an upstream that leaves as it was before.
TEST(PeerRelay, PeersAreToldTheRevisionAndTheNewestObjectsOfAList) {
  FeedObject server;
  server.name = "u";
  server.revision = 7;  // Of a later page than the first.
  server.content =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,"version":"v1",
         "coldRemainingMs":0,"seq":1,
          "state":"draining"})";
  m_synced.relay.SetRegistrations({server}, 5);
  FeedObject former = server;
  former.revision = 6;
  former.content =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,"version":"v1",
         "coldRemainingMs":0,"seq":1,
          "state":"ready"})";
  m_synced.peers.sent.clear();
  m_synced.relay.OnMessage(VmName("new"), Registrations{true, {}, {}});
  const auto& list = std::get<Registrations>(m_synced.peers.sent.back().second);
  LONGS_EQUAL(5, list.revision.number);
  m_synced.relay.UpdateRegistration(former);
  m_synced.relay.OnMessage(VmName("new"), Registrations{true, {}, {}});
  CHECK(m_synced.DeliverTo("synced", &m_new));
  CHECK(m_new.directory.Find(UpstreamName("u"))->leaving);
}

TEST(PeerRelay, CrashNoticesAreNotSentBackToTheirSender) {
  const RequestFingerprint request = FingerprintOf("POST", "h", "/x", "");
  m_synced.peers.sent.clear();
  m_synced.poison_detector.RecordBrokenConnection(request, UpstreamName("gone"),
                                                  m_clock.Now());
  m_synced.poison_detector.Tick(m_synced.directory, m_clock.Now());
  m_synced.relay.Tick();
  CHECK(m_synced.DeliverTo("synced", &m_new));
  CHECK_FALSE(m_new.poison_detector.IsEmpty());
  // The receiver does not send it back.
  for (const auto& [vm, message] : m_new.peers.sent) {
    CHECK_FALSE(std::holds_alternative<CrashNotice>(message));
  }
}

TEST(PeerRelay, PromptPartsThatCrashUpstreamsAreKnownToAllEntries) {
  const std::vector<PromptPartName> bad = {PromptPartName("bad")};
  for (const char* upstream : {"x", "y", "z"}) {
    m_synced.prompt_parts.RecordCrash(
        {bad, UpstreamName(upstream), m_clock.Now()}, m_clock.Now());
  }
  AdvanceTime(seconds(2));
  CHECK(m_new.prompt_parts.MustRefuse(bad, m_clock.Now()));
  // An entry that connects later learns it too.
  EntryWithRelay late("late", "synced", &m_clock, &m_log);
  Hello hello;
  hello.vm = VmName("late");
  hello.role = Role::kEntry;
  m_synced.relay.OnPeerUp(hello);
  while (m_synced.DeliverTo("synced", &late)) {
  }
  CHECK(late.prompt_parts.MustRefuse(bad, m_clock.Now()));
  // A sound answer anywhere clears the part everywhere.
  m_new.prompt_parts.RecordSoundAnswer(bad, m_clock.Now());
  AdvanceTime(milliseconds(200));
  CHECK_FALSE(m_synced.prompt_parts.MustRefuse(bad, m_clock.Now()));
}

TEST(PeerRelay, OlderConfigurationsAreNeverApplied) {
  AdvanceTime(seconds(2));
  m_new.relay.OnMessage(
      VmName("synced"),
      ConfigurationOffer{Generation(9), true,
                         R"({"version":3,"routes":[],"services":[]})"});
  LONGS_EQUAL(7, m_new.routes.Configuration().generation.Value());
}

namespace {

constexpr char kOlderConfiguration[] =
    R"({"version":5,"routes":[],"services":[]})";

FeedObject ConfigurationObject(StoreRevision revision,
                               const std::string& content) {
  FeedObject object;
  object.name = "main";
  object.revision = revision;
  object.content = content;
  return object;
}

}  // namespace

TEST(PeerRelay, AConfigurationOfARestoredStoreIsNotRelayedAsTheOneInForce) {
  CachingConfigurationEvents events(&m_synced.configuration_applier,
                                    &m_synced.relay);
  events.OnList({ConfigurationObject({2, 9}, kOlderConfiguration)}, {2, 9});
  LONGS_EQUAL(7, m_synced.routes.Configuration().generation.Value());
  AdvanceTime(seconds(2));
  LONGS_EQUAL(7, m_new.routes.Configuration().generation.Value());
}

TEST(PeerRelay, ANewerConfigurationIsRelayedAlthoughItsRevisionIsLower) {
  CachingConfigurationEvents events(&m_synced.configuration_applier,
                                    &m_synced.relay);
  events.OnChange(ConfigurationObject(
      {2, 1}, R"({"version":8,"routes":[],"services":[]})"));
  AdvanceTime(seconds(2));
  LONGS_EQUAL(8, m_new.routes.Configuration().generation.Value());
}

TEST(PeerRelay,
     AnEntryThatStartsWithARestoredStoreTakesTheConfigurationOfItsPeers) {
  CachingConfigurationEvents events(&m_new.configuration_applier, &m_new.relay);
  events.OnList({ConfigurationObject({2, 9}, kOlderConfiguration)}, {2, 9});
  LONGS_EQUAL(5, m_new.routes.Configuration().generation.Value());
  AdvanceTime(seconds(1));
  LONGS_EQUAL(7, m_new.routes.Configuration().generation.Value());
  // Once more from the restored store.
  events.OnChange(ConfigurationObject({2, 10}, kOlderConfiguration));
  LONGS_EQUAL(7, m_new.routes.Configuration().generation.Value());
}

TEST_GROUP(EngineAgent) {
  void setup() override {
    RegisteredUpstream engine = MakeUpstream("e", "llm", kDecodeOne);
    engine.role = EngineRole::kDecode;
    m_directory.ApplyUpdate(engine);
    Hello entry;
    entry.vm = VmName("10.0.0.1");
    m_agent.OnPeerUp(entry);
    AnswerPoll("");
  }
  // A report of the engine with this list of runs.
  static std::string Report(const std::string& runs) {
    return HttpResponse(200, "",
                        R"({"stage":"decode","busy":false,"seq":0,"queued":0,
          "active":0,"kvUsed":0,"kvTotal":100000,"born":17,"runs":[)" +
                            runs + "]}");
  }
  // Answers the current poll with this list of runs.
  void AnswerPoll(const std::string& runs) {
    m_agent.Tick();
    const auto ids = m_sockets.OpenTo(kDecodeOne);
    CHECK(!ids.empty());
    m_sockets.CompleteConnect(ids.front());
    m_sockets.DrainOutput(ids.front());
    m_sockets.Inject(ids.front(), Report(runs));
    m_clock.Advance(milliseconds(70));
    m_agent.Tick();
  }
  void RequestDecode(uint32_t number, Duration wait) {
    m_agent.OnMessage(VmName("10.0.0.1"),
                      ReserveDecode{{RequestId(number), number, Incarnation(1)},
                                    ServiceName("llm"),
                                    RequestClass::kStandard,
                                    Tokens(30000),
                                    Tokens(10000),
                                    wait,
                                    milliseconds(500)});
  }
  // Lets the time pass until the engine has got an order.
  SocketId RunToOrder() {
    // One of the three has to prefill, the first by name.
    for (const char* address : {"10.0.2.3:80", "10.0.2.4:80"}) {
      RegisteredUpstream other = MakeUpstream(address, "llm", address);
      other.name = UpstreamName(std::string("f-") + address);
      other.role = EngineRole::kDecode;
      m_directory.ApplyUpdate(other);
    }
    for (int i = 0; i < 1000; ++i) {
      m_clock.Advance(milliseconds(10));
      m_agent.Tick();
      for (const SocketId id : m_sockets.OpenTo(kDecodeOne)) {
        if (!m_sockets.GetConnection(id).connected) {
          m_sockets.CompleteConnect(id);
        }
        const std::string request = m_sockets.DrainOutput(id);
        if (request.starts_with("POST")) return id;
        if (request.starts_with("GET")) m_sockets.Inject(id, Report(""));
      }
    }
    return SocketId();
  }
  template <typename T>
  size_t CountSent() const {
    return static_cast<size_t>(std::count_if(
        m_peers.sent.begin(), m_peers.sent.end(), [](const auto& sent) {
          return std::holds_alternative<T>(sent.second);
        }));
  }

  ManualClock m_clock;
  SocketsFake m_sockets;
  RecordingLog m_log;
  PeerLinkFake m_peers;
  http::ConnectionPool m_pool{&m_sockets, &m_clock};
  platform::PlatformEngineCodec m_codec;
  UpstreamDirectory m_directory;
  EngineAgent m_agent{{VmName("10.0.2.2"), kDecodeOne},
                      &m_codec,
                      &m_directory,
                      &m_pool,
                      &m_peers,
                      &m_clock,
                      &m_log};
};

TEST(EngineAgent, GrantsMemoryUpToTheCapacityAndAgainOnceReleased) {
  for (uint32_t i = 1; i <= 3; ++i) RequestDecode(i, seconds(20));
  LONGS_EQUAL(2, CountSent<ReserveGranted>());
  m_agent.OnMessage(VmName("10.0.0.1"),
                    CancelAttempt{{RequestId(1), 1, Incarnation(1)}});
  LONGS_EQUAL(3, CountSent<ReserveGranted>());
}

TEST(EngineAgent, GrantsTellWhichProcessOfTheEngineTheyAreOf) {
  RequestDecode(1, seconds(20));
  const auto* grant = std::get_if<ReserveGranted>(&m_peers.sent.back().second);
  CHECK(grant != nullptr);
  LONGS_EQUAL(17, grant->engine_started_at_ms);
}

TEST(EngineAgent, RefusesReservationsWhoseWaitIsOver) {
  for (uint32_t i = 1; i <= 3; ++i) RequestDecode(i, milliseconds(100));
  m_clock.Advance(milliseconds(120));
  m_agent.Tick();
  LONGS_EQUAL(1, CountSent<AttemptRefused>());
}

TEST(EngineAgent, RefusesReservationsWhileTheEngineIsLost) {
  m_clock.Advance(seconds(1));
  m_agent.Tick();
  RequestDecode(1, seconds(1));
  LONGS_EQUAL(1, CountSent<AttemptRefused>());
  LONGS_EQUAL(1, m_log.Count("engine_lost"));
}

// Guards against a late copy of an engine's report that is taken for the answer
// to an order, and the other way round.
TEST(EngineAgent, OrdersDoNotShareTheConnectionOfReports) {
  const SocketId reports = m_sockets.OpenTo(kDecodeOne).front();
  const SocketId order = RunToOrder();
  CHECK(order.IsValid());
  CHECK(order != reports);
  m_agent.Tick();
  LONGS_EQUAL(0, m_log.Count("order_ended"));
}

// Guards against a malformed answer that counts as the engine's consent.
TEST(EngineAgent, AnOrderWhoseAnswerIsMalformedHasNoStatus) {
  ResponseReporter reporter(&m_pool, &m_log, /*metrics=*/nullptr);
  m_sockets.Inject(RunToOrder(),
                   "HTTP/1.1 0202 X\r\nContent-Length: 0\r\n\r\n");
  STRCMP_EQUAL("POST /-/order", m_log.last_text["request"].c_str());
  STRCMP_EQUAL("status", m_log.last_text["reason"].c_str());
  m_agent.Tick();
  LONGS_EQUAL(1, m_log.Count("order_ended"));
  LONGS_EQUAL(0, m_log.last_number["status"]);
}

// Module adapters: the callers' API over loopback sockets.

#include <CppUTest/TestHarness.h>

#include <string>

#include "burdockhill/adapters.h"
#include "burdockhill/entry.h"
#include "tests/free_port.h"
#include "tests/raw_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

class NoPeers : public PeerLink {
 public:
  void Connect(const VmName&, const std::string&) override {}
  void Disconnect(const VmName&) override {}
  void Send(const VmName&, Message) override {}
};

class NoStore : public ObjectStore {
 public:
  void Get(const ResourceKey&, GetDone) override {}
  void Put(const ResourceKey&, const std::string&, uint64_t, PutDone) override {
  }
  void Delete(const ResourceKey&, uint64_t, PutDone) override {}
  void Watch(const std::vector<std::string>&, uint64_t, WatchDone) override {}
  void ListVms(ListDone) override {}
};

}  // namespace

TEST_GROUP(CallerApi) {
  void setup() override {
    m_api.SetCore(&m_core);
    m_api.SetServer(&m_server);
  }
  void RunUntilFlushed(const std::function<bool()>& done) {
    RunUntil(&m_loop, [&] {
      m_server.Flush();
      return done();
    });
  }

  const FreePort m_port;
  SystemClock m_clock;
  Random m_random{5};
  Random m_same_random{5};  // Foretells the ids of requests.
  EventLoop m_loop;
  NoPeers m_peers;
  NoStore m_store;
  CallerApi m_api{&m_random};
  Random m_core_random{6};
  EntryCore m_core{
      {VmName("vm"), ZoneName("z"), RegionName("r"), Incarnation(1)},
      &m_clock,
      &m_core_random,
      &m_peers,
      &m_store,
      &m_api};
  HttpServer m_server{
      &m_loop, {m_port.Loopback(), 5000, std::chrono::seconds(10)}, &m_api};
  HttpClient m_client{&m_loop};
};

// Guards against an error that a caller finds among the events of a stream, and
// a stream that broke off and ends as if it were complete.
TEST(CallerApi, AStreamThatFailsIsAborted) {
  ClientRequest request;
  request.address = m_port.Loopback();
  request.method = "POST";
  request.path = "/v1/completions";
  request.content_type = "application/json";
  request.body = R"({"model":"m","stream":true,"prompt":"x"})";
  std::string received;
  std::optional<CallEnd> end;
  ClientEvents events;
  events.on_data = [&](std::string_view data) { received.append(data); };
  events.on_end = [&](CallEnd how) { end = how; };
  m_client.Start(request, events);
  RunUntilFlushed([&] { return m_server.OpenExchangeCount() == 1; });
  const RequestId id(m_same_random.NextId());
  m_api.OnTokens(id, "hello");
  RunUntilFlushed([&] { return received.find("hello") != std::string::npos; });
  RequestError error;
  error.kind = ErrorKind::kUpstreamFailed;
  m_api.OnError(id, error);
  RunUntilFlushed([&] { return end.has_value(); });
  CHECK(*end == CallEnd::kBroken);
  CHECK(received.find("error") == std::string::npos);
}

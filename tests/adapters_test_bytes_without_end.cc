// Module adapters: back ends and a store that answer without end, over loopback
// sockets.

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "burdockhill/adapters.h"
#include "burdockhill/entry.h"
#include "tests/endless_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

constexpr uint16_t kFaultyPort = 19472;
constexpr uint16_t kSoundPort = 19473;
constexpr uint16_t kStorePort = 19474;
constexpr uint16_t kCallersPort = 19475;
constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = kKilobyte * kKilobyte;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\n\r\n";

const EngineName kFaulty("faulty");
const EngineName kSound("sound");

AttemptId Attempt(uint64_t number) {
  return {RequestId(number), 1, Incarnation()};
}

// Records how calls and commands end.
struct Recorder : EngineEvents {
  struct Failure {
    ErrorKind kind = ErrorKind::kNone;
    bool may_have_run = false;
  };
  void OnPrefillDone(const AttemptId& attempt, const std::string&,
                     const std::string&, Tokens, Tokens) override {
    answers[attempt] = "";
  }
  void OnTokens(const AttemptId&, uint64_t, uint32_t, const std::string& part,
                const std::string&) override {
    text += part;
  }
  void OnCommandFailed(const AttemptId& attempt, ErrorKind kind,
                       bool ran) override {
    failures[attempt] = {kind, ran};
  }
  void OnCancelConfirmed(const AttemptId&) override {}
  void OnCallAnswered(const AttemptId& attempt, int, const std::string&,
                      const std::string& body) override {
    answers[attempt] = body;
  }
  void OnEngineState(const EngineName&,
                     const std::optional<EngineState>& state) override {
    ++polls;
    has_state = state.has_value();
  }

  std::map<AttemptId, Failure> failures;
  std::map<AttemptId, std::string> answers;
  std::string text;
  int polls = 0;
  bool has_state = false;
};

Settings BackEnds(bool serves_plain) {
  Settings settings;
  settings.serves_plain = serves_plain;
  settings.back_ends = {{kFaulty, "127.0.0.1:" + std::to_string(kFaultyPort)},
                        {kSound, "127.0.0.1:" + std::to_string(kSoundPort)}};
  return settings;
}

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

TEST_GROUP(BackEndBytesWithoutEnd) {
  EventLoop loop;
  HttpClient http{&loop};
  EngineClient plain{&http, BackEnds(/*serves_plain=*/true)};
  EngineClient engines{&http, BackEnds(/*serves_plain=*/false)};
  Recorder recorder;

  void setup() override {
    plain.SetEvents(&recorder);
    engines.SetEvents(&recorder);
  }

  void Call(const EngineName& back_end, uint64_t number) {
    CallService call;
    call.attempt = Attempt(number);
    call.method = "GET";
    call.path = "/";
    call.timeout = std::chrono::seconds(30);
    plain.Call(back_end, call);
  }

  // Starts a decode on an engine that sends `start`, then `part` without end,
  // and expects it to fail.
  Recorder::Failure DecodeWithoutEnd(const std::string& start,
                                     const std::string& part) {
    EndlessServer server(kFaultyPort, start, part);
    DecodeCommand command;
    command.attempt = Attempt(1);
    engines.Decode(kFaulty, command);
    size_t peak = 0;
    server.RunUntil(&loop, [&] {
      peak = std::max(peak, loop.Buffers().TotalBytes());
      return !recorder.failures.empty();
    });
    CHECK(peak <= 2 * kMegabyte);
    LONGS_EQUAL(0, loop.Buffers().TotalBytes());
    return recorder.failures.at(Attempt(1));
  }
};

TEST(BackEndBytesWithoutEnd, CallsFailAsIfTheyMayHaveRunAndASoundOneStays) {
  constexpr uint64_t kCalls = 12;
  constexpr size_t kLimit = 16 * kMegabyte;
  loop.Buffers().SetLimit(kLimit);
  EndlessServer faulty(kFaultyPort, kHead, std::string(32 * kKilobyte, 'x'));
  EndlessServer sound(kSoundPort,
                      "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" +
                          std::string(kMegabyte / 2, 's'),
                      "");
  Call(kSound, 100);
  sound.RunUntil(&loop,
                 [&] { return loop.Buffers().TotalBytes() >= kMegabyte / 2; });
  for (uint64_t i = 1; i <= kCalls; ++i) Call(kFaulty, i);
  size_t peak = 0;
  faulty.RunUntil(&loop, [&] {
    peak = std::max(peak, loop.Buffers().TotalBytes());
    return recorder.failures.size() == kCalls;
  });
  CHECK(peak <= kLimit + kMegabyte);
  for (const auto& [attempt, failure] : recorder.failures) {
    CHECK(failure.kind == ErrorKind::kUpstreamFailed);
    CHECK(failure.may_have_run);
  }
  CHECK(recorder.answers.empty());
  sound.SetPart(std::string(kMegabyte / 2, 's'));
  sound.RunUntil(&loop, [&] { return !recorder.answers.empty(); });
  LONGS_EQUAL(kMegabyte, recorder.answers.at(Attempt(100)).size());
}

TEST(BackEndBytesWithoutEnd, ALineOfAStreamEndsItsDecode) {
  const Recorder::Failure failure =
      DecodeWithoutEnd(kHead, std::string(32 * kKilobyte, 'x'));
  CHECK(failure.kind == ErrorKind::kUpstreamFailed);
  CHECK(failure.may_have_run);
}

TEST(BackEndBytesWithoutEnd, AnErrorInPlaceOfAStreamEndsItsDecode) {
  CHECK(DecodeWithoutEnd("HTTP/1.1 503 Busy\r\n\r\n",
                         std::string(32 * kKilobyte, 'x'))
            .kind == ErrorKind::kOverloaded);
}

TEST(BackEndBytesWithoutEnd, AStateIsNoState) {
  EndlessServer server(kFaultyPort, kHead, std::string(32 * kKilobyte, ' '));
  engines.PollState(kFaulty);
  server.RunUntil(&loop, [&] { return recorder.polls > 0; });
  CHECK(!recorder.has_state);
  CHECK(server.SentBytes() <= 4 * kMegabyte);
}

TEST(BackEndBytesWithoutEnd, AHealthCheckFails) {
  EndlessServer server(kFaultyPort, kHead, std::string(32 * kKilobyte, ' '));
  plain.PollState(kFaulty);
  server.RunUntil(&loop, [&] { return recorder.polls > 0; });
  CHECK(!recorder.has_state);
  CHECK(server.SentBytes() <= 4 * kMegabyte);
}

TEST(BackEndBytesWithoutEnd, APrefillFails) {
  EndlessServer server(kFaultyPort, kHead, std::string(32 * kKilobyte, ' '));
  PrefillCommand command;
  command.attempt = Attempt(1);
  engines.Prefill(kFaulty, command);
  server.RunUntil(&loop, [&] { return !recorder.failures.empty(); });
  CHECK(recorder.failures.at(Attempt(1)).may_have_run);
  CHECK(server.SentBytes() <= 4 * kMegabyte);
}

TEST(BackEndBytesWithoutEnd, AListOfTheStoreIsUnavailableAndALargeOneIsRead) {
  std::vector<std::string> warnings;
  PlatformClient store(
      &http, {"127.0.0.1", kStorePort},
      [&](const std::string& warning) { warnings.push_back(warning); });
  std::optional<StoreStatus> status;
  size_t count = 0;
  const auto list = [&] {
    status.reset();
    store.ListVms([&](StoreStatus result, const std::vector<ListedVm>& vms) {
      status = result;
      count = vms.size();
    });
  };
  {
    EndlessServer server(kStorePort, kHead, std::string(32 * kKilobyte, ' '));
    list();
    server.RunUntil(&loop, [&] { return status.has_value(); });
    CHECK(status == StoreStatus::kUnavailable);
    CHECK(server.SentBytes() <= 8 * kMegabyte);
  }
  const std::string body =
      R"({"vms":[{"name":"v","role":"agent","peers":"p","zone":"z",)"
      R"("region":"r","padding":")" +
      std::string(3 * kMegabyte, 'p') + R"("}]})";
  EndlessServer server(kStorePort,
                       "HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body,
                       "");
  list();
  server.RunUntil(&loop, [&] { return status.has_value(); });
  CHECK(status == StoreStatus::kOk);
  LONGS_EQUAL(1, count);
}

TEST_GROUP(CallerOutputWithoutEnd) {
  void setup() override {
    m_api.SetCore(&m_core);
    m_api.SetServer(&m_server);
  }

  void RunUntil(const std::function<bool()>& done) {
    EndlessServer no_server(kStorePort, "", "");
    no_server.RunUntil(&m_loop, [&] {
      m_server.Flush();
      return done();
    });
  }

  struct Result {
    std::optional<CallEnd> end;
    int status = 0;
    std::string body;
  };

  // Sends a request for a completion that is not streamed. Returns its id.
  RequestId Request(Result * result) {
    ClientRequest request;
    request.address = {"127.0.0.1", kCallersPort};
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = R"({"model":"m","prompt":"x"})";
    FetchResponse(&m_client, std::move(request),
                  [result](CallEnd end, int status, std::string body) {
                    *result = {end, status, std::move(body)};
                  });
    const size_t count = m_server.OpenExchangeCount() + 1;
    RunUntil([&] { return m_server.OpenExchangeCount() == count; });
    return RequestId(m_same_random.NextId());
  }

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
      &m_loop,
      {{"127.0.0.1", kCallersPort}, 5000, std::chrono::seconds(10)},
      &m_api};
  HttpClient m_client{&m_loop};
};

TEST(CallerOutputWithoutEnd, TheLargestOutputIsEvictedAndASoundOneStays) {
  Result large;
  Result sound;
  const RequestId large_id = Request(&large);
  const RequestId sound_id = Request(&sound);
  m_api.OnTokens(large_id, std::string(3 * kMegabyte, 'l'));
  m_api.OnTokens(sound_id, "sound");
  CHECK(m_loop.Buffers().TotalBytes() >= 3 * kMegabyte);
  m_loop.Buffers().SetLimit(2 * kMegabyte);
  RunUntil([&] {
    m_loop.Buffers().Enforce();
    return large.end.has_value();
  });
  CHECK(large.end == CallEnd::kComplete);
  LONGS_EQUAL(502, large.status);
  CHECK(m_loop.Buffers().TotalBytes() < kMegabyte);
  m_api.OnFinished(sound_id, "stop", {});
  RunUntil([&] { return sound.end.has_value(); });
  LONGS_EQUAL(200, sound.status);
  CHECK(sound.body.find("sound") != std::string::npos);
}

TEST(CallerOutputWithoutEnd, OutputThatIsNotStreamedEndsItsRequest) {
  Result result;
  const RequestId id = Request(&result);
  for (int i = 0; i < 6; ++i) {
    m_api.OnTokens(id, std::string(kMegabyte, 'x'));
    CHECK(m_loop.Buffers().TotalBytes() <= 9 * kMegabyte);
  }
  RunUntil([&] { return result.end.has_value(); });
  CHECK(result.end == CallEnd::kBroken);
  LONGS_EQUAL(0, m_server.OpenExchangeCount());
}

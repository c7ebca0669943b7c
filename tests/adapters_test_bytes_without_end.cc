// Module adapters: back ends and a store that answer without end, over loopback
// sockets.

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "burdockhill/adapters.h"
#include "tests/endless_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

constexpr uint16_t kFaultyPort = 19472;
constexpr uint16_t kSoundPort = 19473;
constexpr uint16_t kStorePort = 19474;
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

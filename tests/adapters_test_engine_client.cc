// Module adapters: calls of an agent to its back ends, over loopback sockets.

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "burdockhill/adapters.h"
#include "tests/free_port.h"
#include "tests/raw_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

// Records the end of one call.
struct CallRecorder : EngineEvents {
  void OnPrefillDone(const AttemptId&, const std::string&, const std::string&,
                     Tokens, Tokens) override {}
  void OnTokens(const AttemptId&, uint64_t, uint32_t, const std::string&,
                const std::string&) override {}
  void OnCommandFailed(const AttemptId&, ErrorKind kind, bool ran) override {
    failure = kind;
    may_have_run = ran;
  }
  void OnCancelConfirmed(const AttemptId&) override {}
  void OnCallAnswered(const AttemptId&, int, const std::string&,
                      const std::string& body) override {
    answer = body;
  }
  void OnEngineState(const EngineName&,
                     const std::optional<EngineState>&) override {}

  std::optional<ErrorKind> failure;
  bool may_have_run = false;
  std::optional<std::string> answer;
};

}  // namespace

TEST_GROUP(EngineClient) {
  const FreePort port;
  EventLoop loop;
  HttpClient http{&loop};

  // Calls a plain service that sends `response` and closes the connection.
  CallRecorder CallService(const std::string& response) {
    Settings settings;
    settings.serves_plain = true;
    settings.back_ends = {{EngineName("b"), port.Text()}};
    EngineClient client(&http, settings);
    CallRecorder recorder;
    client.SetEvents(&recorder);
    const RawServer server(port.Number());
    burdockhill::CallService call;
    call.method = "GET";
    call.path = "/";
    call.timeout = std::chrono::seconds(5);
    client.Call(EngineName("b"), call);
    server.Answer(&loop, response, /*reset=*/false);
    RunUntil(&loop, [&] {
      return recorder.failure.has_value() || recorder.answer.has_value();
    });
    return recorder;
  }
};

TEST(EngineClient, AnEventStreamThatEndsInsideAnEventIsNoAnswer) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const CallRecorder broken = CallService(head + "data: a\n\ndata: b");
  CHECK(broken.failure == ErrorKind::kUpstreamFailed);
  CHECK(broken.may_have_run);
  const CallRecorder whole = CallService(head + "data: a\n\ndata: b\n\n");
  STRCMP_EQUAL("data: a\n\ndata: b\n\n", whole.answer->c_str());
}

TEST(EngineClient, AnswersThatAreNoEventStreamEndByTheirFraming) {
  const CallRecorder result = CallService(
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nplain text");
  STRCMP_EQUAL("plain text", result.answer->c_str());
}

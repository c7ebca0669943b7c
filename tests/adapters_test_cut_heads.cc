// Module adapters: back ends and a store whose answers break off at any byte,
// over loopback sockets.

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/adapters.h"
#include "tests/engine_outcome.h"
#include "tests/free_port.h"
#include "tests/raw_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

}  // namespace

TEST_GROUP(CutAnswers) {
  const FreePort port;
  EventLoop loop;
  HttpClient http{&loop};

  // Runs `call` against a back end that sends `part`.
  template <typename Call>
  OutcomeRecorder Run(const std::string& part, bool reset, const Call& call) {
    Settings settings;
    settings.serves_plain = true;
    settings.back_ends = {{EngineName("b"), port.Text()}};
    EngineClient client(&http, settings);
    OutcomeRecorder recorder;
    client.SetEvents(&recorder);
    const RawServer server(port.Number());
    call(&client);
    server.Answer(&loop, part, reset);
    RunUntil(&loop, [&] { return recorder.failed || recorder.succeeded; });
    return recorder;
  }
};

TEST(CutAnswers, CallsOfPlainServicesNeverSucceed) {
  const std::string whole = std::string(kHead) + "ok";
  for (const bool reset : {false, true}) {
    for (size_t size = 0; size < whole.size(); ++size) {
      const std::string part = whole.substr(0, size);
      const OutcomeRecorder outcome =
          Run(part, reset, [](EngineClient* client) {
            CallService call;
            call.method = "POST";
            call.path = "/";
            call.timeout = std::chrono::seconds(5);
            client->Call(EngineName("b"), call);
          });
      CHECK_TEXT(outcome.failed && !outcome.succeeded, part.c_str());
      CHECK_TEXT(outcome.may_have_run, part.c_str());
    }
  }
}

TEST(CutAnswers, HealthChecksNeverSucceed) {
  const std::string whole = std::string(kHead) + "ok";
  for (size_t size = 0; size < whole.size(); ++size) {
    const std::string part = whole.substr(0, size);
    const OutcomeRecorder outcome =
        Run(part, /*reset=*/false,
            [](EngineClient* client) { client->PollState(EngineName("b")); });
    CHECK_TEXT(outcome.failed && !outcome.succeeded, part.c_str());
  }
}

TEST(CutAnswers, ResultsOfPrefillCallsAreNeverUsed) {
  const std::string whole =
      "HTTP/1.1 200 OK\r\n\r\n"
      R"({"kv_handle":"k","prompt_tokens":5,"reused_tokens":0})";
  for (size_t size = 0; size < whole.size(); size += 3) {
    const std::string part = whole.substr(0, size);
    const OutcomeRecorder outcome =
        Run(part, /*reset=*/false, [](EngineClient* client) {
          client->Prefill(EngineName("b"), PrefillCommand());
        });
    CHECK_TEXT(outcome.failed && !outcome.succeeded, part.c_str());
  }
}

TEST(CutAnswers, ListsOfTheStoreWithoutFramingAreNeverUsed) {
  PlatformClient client(&http, port.Loopback(), [](const std::string&) {});
  const std::string whole =
      "HTTP/1.1 200 OK\r\n\r\n"
      R"({"objects":[{"kind":"team","name":"a","version":3}],"revision":123})";
  for (size_t size = 0; size < whole.size(); ++size) {
    const RawServer server(port.Number());
    std::optional<StoreStatus> status;
    client.Watch({"team"}, 0,
                 [&](StoreStatus result, const std::vector<StoredObject>&,
                     uint64_t) { status = result; });
    const std::string part = whole.substr(0, size);
    server.Answer(&loop, part, /*reset=*/false);
    RunUntil(&loop, [&] { return status.has_value(); });
    CHECK_TEXT(*status == StoreStatus::kUnavailable, part.c_str());
  }
}

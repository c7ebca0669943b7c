// Module adapters: back ends and a store that send malformed answers, over
// loopback sockets.

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/adapters.h"
#include "tests/engine_outcome.h"
#include "tests/free_port.h"
#include "tests/malformed_heads.h"
#include "tests/raw_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

// Records the reasons for which responses are rejected.
struct RejectionRecorder : http::ResponseObserver {
  void OnResponseRejected(const http::RejectedResponse& response) override {
    rejected.push_back(response);
  }
  std::vector<http::RejectedResponse> rejected;
};

}  // namespace

TEST_GROUP(MalformedHeads) {
  const FreePort port;
  EventLoop loop;
  HttpClient http{&loop};
  RejectionRecorder rejections;

  void setup() override { http.SetObserver(&rejections); }

  void CheckRejection(const MalformedHead& head, const std::string& request) {
    LONGS_EQUAL_TEXT(1, rejections.rejected.size(), head.text.c_str());
    const http::RejectedResponse& rejected = rejections.rejected.front();
    CHECK_TEXT(rejected.reason == head.reason, head.text.c_str());
    STRCMP_EQUAL(request.c_str(), rejected.request.c_str());
    STRCMP_EQUAL(port.Text().c_str(), rejected.source.c_str());
    rejections.rejected.clear();
  }
};

// Guards against a malformed answer of a back end that is passed on, or that
// counts as a proof that the call did not run.
TEST(MalformedHeads, CallsOfPlainServicesMayHaveRun) {
  for (const MalformedHead& head : MalformedHeads("Content-Length: 2\r\n")) {
    Settings settings;
    settings.serves_plain = true;
    settings.back_ends = {{EngineName("b"), port.Text()}};
    EngineClient client(&http, settings);
    OutcomeRecorder outcome;
    client.SetEvents(&outcome);
    const RawServer server(port.Number());
    CallService call;
    call.method = "POST";
    call.path = "/";
    call.timeout = std::chrono::seconds(5);
    client.Call(EngineName("b"), call);
    server.Answer(&loop, head.text + "ok", /*reset=*/false);
    RunUntil(&loop, [&] { return outcome.failed || outcome.succeeded; });
    CHECK_TEXT(outcome.failed && !outcome.succeeded, head.text.c_str());
    CHECK_TEXT(outcome.may_have_run, head.text.c_str());
    CheckRejection(head, "POST /");
  }
}

TEST(MalformedHeads, ListsOfTheStoreAreNotUsed) {
  PlatformClient client(&http, port.Loopback(), [](const std::string&) {});
  const std::string body = R"({"objects":[],"revision":123})";
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  for (const MalformedHead& head : MalformedHeads(length)) {
    const RawServer server(port.Number());
    std::optional<StoreStatus> status;
    client.Watch({"team"}, 0,
                 [&](StoreStatus result, const std::vector<StoredObject>&,
                     uint64_t) { status = result; });
    server.Answer(&loop, head.text + body, /*reset=*/false);
    RunUntil(&loop, [&] { return status.has_value(); });
    CHECK_TEXT(*status == StoreStatus::kUnavailable, head.text.c_str());
    rejections.rejected.clear();
  }
}

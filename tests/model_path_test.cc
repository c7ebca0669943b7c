// Tests requests to a model service from caller to engine with the production
// controllers.

#include <CppUTest/TestHarness.h>

#include "emulation/entry_agent_deployment.h"

using burdockhill::ErrorKind;
using burdockhill::Outcome;
using burdockhill::RequestId;
using burdockhill::emulation::CallerView;
using burdockhill::emulation::EntryAgentDeployment;
using burdockhill::emulation::EntryAgentDeploymentOptions;
using burdockhill::standins::EngineModel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The first `tokens` tokens of an engine's output for `seed`.
std::string ExpectedAnswer(uint64_t seed, uint64_t tokens) {
  std::string text;
  for (uint64_t i = 0; i < tokens; ++i) {
    text += EngineModel::AnswerToken(seed, i);
  }
  return text;
}

}  // namespace

TEST_GROUP(ModelPath) {
  EntryAgentDeployment deployment{EntryAgentDeploymentOptions()};

  void setup() override { CHECK(deployment.RunUntilReady()); }

  CallerView& View(RequestId id) { return deployment.Callers().Views().at(id); }

  RequestId Prompt(const std::string& prompt, int64_t max_tokens) {
    return deployment.SendPrompt(0, prompt, max_tokens).value();
  }
};

TEST(ModelPath, StreamsTheWholeAnswer) {
  const RequestId id = Prompt("[[seed=7]][[length=50]] hello", 100);
  deployment.RunFor(seconds(5));
  STRCMP_EQUAL(ExpectedAnswer(7, 50).c_str(), View(id).text.c_str());
  STRCMP_EQUAL("stop", View(id).finish_reason.c_str());
  LONGS_EQUAL(1, View(id).final_responses);
}

TEST(ModelPath, StopsAtTheCallersLimit) {
  const RequestId id = Prompt("[[seed=7]][[length=50]]", 10);
  deployment.RunFor(seconds(5));
  STRCMP_EQUAL(ExpectedAnswer(7, 10).c_str(), View(id).text.c_str());
  STRCMP_EQUAL("length", View(id).finish_reason.c_str());
}

TEST(ModelPath, HoldsNothingAfterAnAnswer) {
  Prompt("[[length=20]]", 100);
  deployment.RunFor(seconds(5));
  LONGS_EQUAL(0, deployment.RequestsHeldInEngines().size());
  for (const auto& entry : deployment.Entries()) CHECK(entry->Core()->IsIdle());
  for (const auto& upstream : deployment.Upstreams()) {
    CHECK(upstream->Core()->IsIdle());
    LONGS_EQUAL(0, upstream->Core()->Board().attempts.Size());
  }
}

TEST(ModelPath, FreesEverythingWhenTheCallerDisconnectsAtAnyTime) {
  for (int delay_steps = 0; delay_steps < 60; ++delay_steps) {
    const RequestId id = Prompt(std::string(4000, 'x') + "[[length=200]]", 300);
    deployment.RunFor(milliseconds(5 * delay_steps));
    deployment.Close(id);
    deployment.RunFor(milliseconds(100));
    LONGS_EQUAL(0, deployment.RequestsHeldInEngines().size());
  }
}

TEST(ModelPath, ResumesOnAnotherEngineWhenTheDecodeEngineCrashes) {
  const RequestId id = Prompt("[[seed=9]][[length=100]]", 200);
  deployment.RunFor(milliseconds(500));
  CHECK(View(id).token_events > 0);
  CHECK(View(id).final_responses == 0);
  for (const auto& upstream : deployment.Upstreams()) {
    for (size_t i = 0; i < upstream->EngineCount(); ++i) {
      if (!upstream->Engine(i).HeldRequests().empty()) {
        upstream->CrashEngine(i);
      }
    }
  }
  deployment.RunFor(seconds(10));
  STRCMP_EQUAL(ExpectedAnswer(9, 100).c_str(), View(id).text.c_str());
}

TEST(ModelPath, FreesTheMemoryOfACrashedEntry) {
  Prompt("[[length=2000]]", 4000);
  deployment.RunFor(milliseconds(500));
  CHECK(!deployment.RequestsHeldInEngines().empty());
  deployment.CrashEntry(0);
  deployment.RunFor(burdockhill::kHoldTimeout + milliseconds(500));
  LONGS_EQUAL(0, deployment.RequestsHeldInEngines().size());
}

TEST(ModelPath, RefusesAtOnceWhenEverythingIsFull) {
  for (int i = 0; i < 200; ++i) Prompt("[[length=4000]]", 4000);
  deployment.RunFor(seconds(1));
  const RequestId id = Prompt("hello", 10);
  deployment.RunFor(milliseconds(100));
  LONGS_EQUAL(1, View(id).final_responses);
  CHECK(View(id).error.has_value());
  CHECK(View(id).error->kind == ErrorKind::kOverloaded);
  CHECK(View(id).error->outcome == Outcome::kNotRun);
  CHECK(View(id).error->retry_after > seconds(0));
}

TEST(ModelPath, RefusesUnknownKeysModelsAndLengths) {
  burdockhill::CallerRequest request;
  request.service = burdockhill::ServiceName("no-such-model");
  const RequestId unknown = *deployment.SendRequest(0, request);
  const RequestId too_long = Prompt(std::string(400000, 'x'), 10);
  deployment.RunFor(milliseconds(50));
  CHECK(View(unknown).error->kind == ErrorKind::kNotFound);
  CHECK(View(too_long).error->kind == ErrorKind::kTooLarge);
}

TEST(ModelPath, ResumesOverANewConnectionWhenTheOldOneGoesSilent) {
  const RequestId id = Prompt("[[seed=3]][[length=600]]", 600);
  deployment.RunFor(milliseconds(500));
  for (const auto& upstream : deployment.Upstreams()) {
    deployment.Network().SilenceConnection(deployment.Entries()[0]->Self().vm,
                                           upstream->Self().vm);
  }
  deployment.RunFor(seconds(30));
  STRCMP_EQUAL(ExpectedAnswer(3, 600).c_str(), View(id).text.c_str());
}

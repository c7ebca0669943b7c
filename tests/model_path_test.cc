// Tests requests to a model service from caller to engine with the production
// controllers.

#include <CppUTest/TestHarness.h>

#include "emulation/world.h"

using burdockhill::ErrorKind;
using burdockhill::Outcome;
using burdockhill::RequestId;
using burdockhill::emulation::CallerView;
using burdockhill::emulation::World;
using burdockhill::emulation::WorldOptions;
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
  World world{WorldOptions()};

  void setup() override { CHECK(world.RunUntilReady()); }

  CallerView& View(RequestId id) { return world.Callers().Views().at(id); }

  RequestId Prompt(const std::string& prompt, int64_t max_tokens) {
    return world.SendPrompt(0, prompt, max_tokens).value();
  }
};

TEST(ModelPath, StreamsTheWholeAnswer) {
  const RequestId id = Prompt("[[seed=7]][[length=50]] hello", 100);
  world.Run(seconds(5));
  STRCMP_EQUAL(ExpectedAnswer(7, 50).c_str(), View(id).text.c_str());
  STRCMP_EQUAL("stop", View(id).finish_reason.c_str());
  LONGS_EQUAL(1, View(id).final_responses);
}

TEST(ModelPath, StopsAtTheCallersLimit) {
  const RequestId id = Prompt("[[seed=7]][[length=50]]", 10);
  world.Run(seconds(5));
  STRCMP_EQUAL(ExpectedAnswer(7, 10).c_str(), View(id).text.c_str());
  STRCMP_EQUAL("length", View(id).finish_reason.c_str());
}

TEST(ModelPath, HoldsNothingAfterAnAnswer) {
  Prompt("[[length=20]]", 100);
  world.Run(seconds(5));
  LONGS_EQUAL(0, world.HeldInEngines().size());
  for (const auto& entry : world.Entries()) CHECK(entry->Core()->IsIdle());
  for (const auto& upstream : world.Upstreams()) {
    CHECK(upstream->Core()->IsIdle());
    LONGS_EQUAL(0, upstream->Core()->Board().attempts.Size());
  }
}

TEST(ModelPath, FreesEverythingWhenTheCallerGoesAtAnyStep) {
  for (int step = 0; step < 60; ++step) {
    const RequestId id = Prompt(std::string(4000, 'x') + "[[length=200]]", 300);
    world.Run(milliseconds(5 * step));
    world.Close(id);
    world.Run(milliseconds(100));
    LONGS_EQUAL(0, world.HeldInEngines().size());
  }
}

TEST(ModelPath, GoesOnElsewhereWhenTheDecodeEngineCrashes) {
  const RequestId id = Prompt("[[seed=9]][[length=100]]", 200);
  world.Run(milliseconds(500));
  CHECK(View(id).token_events > 0);
  CHECK(View(id).final_responses == 0);
  for (const auto& upstream : world.Upstreams()) {
    for (size_t i = 0; i < upstream->EngineCount(); ++i) {
      if (!upstream->Engine(i).HeldRequests().empty()) {
        upstream->CrashEngine(i);
      }
    }
  }
  world.Run(seconds(10));
  STRCMP_EQUAL(ExpectedAnswer(9, 100).c_str(), View(id).text.c_str());
}

TEST(ModelPath, FreesTheMemoryOfACrashedEntry) {
  Prompt("[[length=2000]]", 4000);
  world.Run(milliseconds(500));
  CHECK(!world.HeldInEngines().empty());
  world.CrashEntry(0);
  world.Run(burdockhill::kHoldTimeout + milliseconds(500));
  LONGS_EQUAL(0, world.HeldInEngines().size());
}

TEST(ModelPath, RefusesAtOnceWhenEverythingIsFull) {
  for (int i = 0; i < 200; ++i) Prompt("[[length=4000]]", 4000);
  world.Run(seconds(1));
  const RequestId id = Prompt("hello", 10);
  world.Run(milliseconds(100));
  LONGS_EQUAL(1, View(id).final_responses);
  CHECK(View(id).error.has_value());
  CHECK(View(id).error->kind == ErrorKind::kOverloaded);
  CHECK(View(id).error->outcome == Outcome::kNotRun);
  CHECK(View(id).error->retry_after > seconds(0));
}

TEST(ModelPath, RefusesUnknownKeysModelsAndLengths) {
  burdockhill::CallerRequest request;
  request.service = burdockhill::ServiceName("no-such-model");
  const RequestId unknown = *world.Send(0, request);
  const RequestId too_long = Prompt(std::string(400000, 'x'), 10);
  world.Run(milliseconds(50));
  CHECK(View(unknown).error->kind == ErrorKind::kNotFound);
  CHECK(View(too_long).error->kind == ErrorKind::kTooLarge);
}

TEST(ModelPath, ResumesOverANewConnectionWhenOneGoesSilent) {
  const RequestId id = Prompt("[[seed=3]][[length=600]]", 600);
  world.Run(milliseconds(500));
  for (const auto& upstream : world.Upstreams()) {
    world.Network().SilenceConnection(world.Entries()[0]->Self().vm,
                                      upstream->Self().vm);
  }
  world.Run(seconds(30));
  STRCMP_EQUAL(ExpectedAnswer(3, 600).c_str(), View(id).text.c_str());
}

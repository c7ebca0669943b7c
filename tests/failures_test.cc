// Regression tests for failures that promises_fuzz_test found. Each replays the
// sequence of faults that led to one failure.

#include <CppUTest/TestHarness.h>

#include "tests/promise_commands.h"
#include "tests/promise_oracle.h"

using burdockhill::CommandRunner;
using burdockhill::PromiseOracle;
using burdockhill::emulation::World;
using burdockhill::emulation::WorldOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Failures) {
  World world{WorldOptions()};
  PromiseOracle oracle{&world};

  void setup() override { CHECK(world.RunUntilReady()); }

  void CheckRest() {
    CommandRunner(&world).Heal();
    world.Run(seconds(75));
    oracle.CheckAtRest();
    for (const std::string& violation : oracle.Violations()) {
      FAIL(violation.c_str());
    }
  }
};

TEST(Failures, AgentThatWasPausedDuringAChangeCatchesUp) {
  world.Upstreams()[0]->Pause();
  world.Run(seconds(3));
  world.WriteResource("RoutingPolicy", "default",
                      R"({"first_token_limit_ms":4000})");
  world.Run(seconds(4));
  CheckRest();
}

TEST(Failures, LostStoreAnswersNeverEmptyTheConfiguration) {
  world.Platform().Faults().lose_answer_per_mille = 500;
  for (int i = 0; i < 200; ++i) {
    world.Run(milliseconds(500));
    for (const auto& entry : world.Entries()) {
      CHECK(!entry->Core()->Board().configuration->plain_services.empty());
    }
  }
  CheckRest();
}

TEST(Failures, ServiceIsDeletedWhileACallIsInFlight) {
  const auto id = world.SendCall(0, "POST", "order");
  world.Run(milliseconds(10));
  uint64_t version = 0;
  auto& model = world.Platform().Model();
  for (const auto& upstream : world.Upstreams()) {
    const std::string& name = upstream->Self().vm.Value();
    if (name.starts_with("app-")) model.Delete({"Upstream", name}, 0, &version);
  }
  model.Delete({"PlainService", World::kPlain}, 0, &version);
  world.Run(seconds(20));
  CHECK(world.Entries()[0]
            ->Core()
            ->Board()
            .configuration->plain_services.empty());
  STRCMP_EQUAL("done order", world.Callers().Views().at(*id).answer->c_str());
}

TEST(Failures, DecodeStartedBeforeItsEnginesRestartWasNoticedIsCancelled) {
  for (const auto& upstream : world.Upstreams()) {
    if (upstream->EngineCount() > 0) upstream->CrashEngine(0);
  }
  world.SendPrompt(0, "[[seed=1]][[length=3000]]", 3000);
  world.Run(seconds(1));
  world.CrashEntry(0);
  world.Run(seconds(9));
  LONGS_EQUAL(0, world.HeldInEngines().size());
}

TEST(Failures, NewAgentFindsStraysThatTheFirstReportDoesNotShow) {
  world.SendPrompt(0, "[[seed=1]][[length=3000]]", 3000);
  world.Run(milliseconds(60));
  for (const auto& upstream : world.Upstreams()) {
    if (upstream->EngineCount() > 0) upstream->Engine(0).ReportedRequests();
  }
  world.Run(milliseconds(60));
  world.CrashEntry(0);
  for (const auto& upstream : world.Upstreams()) {
    upstream->Crash();
    upstream->Start();
  }
  world.Run(seconds(2));
  LONGS_EQUAL(0, world.HeldInEngines().size());
}

TEST(Failures, CancelThatAnEngineNeverGotIsRepeatedByTheAgentItself) {
  world.SendPrompt(0, "[[seed=1]][[length=3000]]", 3000);
  world.Run(seconds(1));
  for (const auto& upstream : world.Upstreams()) {
    upstream->Faults().loses_cancels = true;
  }
  world.CrashEntry(0);
  world.Run(seconds(8));
  CHECK(!world.HeldInEngines().empty());
  for (const auto& upstream : world.Upstreams()) upstream->Faults() = {};
  world.Run(seconds(2));
  LONGS_EQUAL(0, world.HeldInEngines().size());
}

TEST(Failures, PrefillThatAnEngineNeverGotIsTriedAgain) {
  const auto id = world.SendPrompt(0, "[[seed=1]][[length=500]]", 500);
  world.Run(seconds(1));
  for (const auto& upstream : world.Upstreams()) {
    const bool prefill = upstream->Self().vm.Value().starts_with("prefill-");
    if (prefill) upstream->Faults().hangs = true;
    if (!prefill && upstream->EngineCount() > 0) upstream->CrashEngine(0);
  }
  world.Run(milliseconds(300));
  for (const auto& upstream : world.Upstreams()) upstream->Faults() = {};
  world.Run(seconds(40));
  const auto& view = world.Callers().Views().at(*id);
  STRCMP_EQUAL(PromiseOracle::ExpectedText("[[seed=1]]", 500).c_str(),
               view.text.c_str());
}

TEST(Failures, AgentThatWasSilentAndPausedIsReachedAgain) {
  auto& agent = *world.Upstreams()[0];
  for (const auto& entry : world.Entries()) {
    world.Network().SilenceConnection(entry->Self().vm, agent.Self().vm);
  }
  agent.Pause();
  world.Run(seconds(20));
  agent.Resume();
  world.Run(seconds(5));
  for (const auto& entry : world.Entries()) {
    CHECK(entry->Core()->Board().upstreams.at(agent.Self().vm).IsUsable());
  }
}

TEST(Failures, OldGenerationNeverReplacesANewerOne) {
  auto* agent = world.Upstreams()[0]->Core();
  const burdockhill::Generation newest = agent->Board().in_force;
  agent->OnMessage(world.Entries()[0]->Self().vm,
                   burdockhill::ConfigurationOffer{
                       burdockhill::Generation(newest.Value() + 5), true,
                       R"({"resources":[]})"});
  agent->OnMessage(
      world.Entries()[0]->Self().vm,
      burdockhill::ConfigurationOffer{newest, true, R"({"resources":[]})"});
  LONGS_EQUAL(newest.Value() + 5, agent->Board().in_force.Value());
}

TEST(Failures, CallToAHungServiceEndsAndHoldsNothing) {
  for (const auto& upstream : world.Upstreams()) {
    upstream->Faults().hangs = true;
  }
  const auto id = world.SendCall(0, "POST", "order");
  world.Run(seconds(31));
  const auto& view = world.Callers().Views().at(*id);
  LONGS_EQUAL(1, view.final_responses);
  CHECK(view.error->outcome == burdockhill::Outcome::kUnknown);
  CheckRest();
}

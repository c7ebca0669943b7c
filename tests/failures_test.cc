// Regression tests for failures that promises_fuzz_test found. Each replays the
// sequence of faults that led to one failure.

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "tests/promise_commands.h"
#include "tests/promise_oracle.h"

using burdockhill::CommandKind;
using burdockhill::CommandRunner;
using burdockhill::EntryCore;
using burdockhill::ErrorKind;
using burdockhill::Outcome;
using burdockhill::PromiseOracle;
using burdockhill::emulation::EntryAgentDeployment;
using burdockhill::emulation::EntryAgentDeploymentOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Failures) {
  EntryAgentDeployment deployment{EntryAgentDeploymentOptions()};
  PromiseOracle oracle{&deployment};

  void setup() override { CHECK(deployment.RunUntilReady()); }

  void CheckAtRestAfterFaults() {
    CommandRunner(&deployment).EndFaults();
    deployment.RunFor(seconds(75));
    oracle.CheckAtRest();
    for (const std::string& violation : oracle.Violations()) {
      FAIL(violation.c_str());
    }
  }
};

TEST(Failures, AgentPausedDuringAConfigurationChangeCatchesUp) {
  deployment.Upstreams()[0]->Pause();
  deployment.RunFor(seconds(3));
  deployment.WriteResource("RoutingPolicy", "default",
                           R"({"first_token_limit_ms":4000})");
  deployment.RunFor(seconds(4));
  CheckAtRestAfterFaults();
}

TEST(Failures, LostStoreResponsesNeverEmptyTheConfiguration) {
  deployment.Platform().Faults().lose_answer_per_mille = 500;
  for (int i = 0; i < 200; ++i) {
    deployment.RunFor(milliseconds(500));
    for (const auto& entry : deployment.Entries()) {
      CHECK(!entry->Core()->Board().configuration->plain_services.empty());
    }
  }
  CheckAtRestAfterFaults();
}

TEST(Failures, ServiceIsDeletedWhileACallIsInFlight) {
  const auto id = deployment.SendCall(0, "POST", "order");
  deployment.RunFor(milliseconds(10));
  uint64_t version = 0;
  auto& model = deployment.Platform().Model();
  for (const auto& upstream : deployment.Upstreams()) {
    const std::string& name = upstream->Self().vm.Value();
    if (name.starts_with("app-")) model.Delete({"Upstream", name}, 0, &version);
  }
  model.Delete({"PlainService", EntryAgentDeployment::kPlainService}, 0,
               &version);
  deployment.RunFor(seconds(20));
  CHECK(deployment.Entries()[0]
            ->Core()
            ->Board()
            .configuration->plain_services.empty());
  STRCMP_EQUAL("done order",
               deployment.Callers().Views().at(*id).answer->c_str());
}

TEST(Failures, DecodeStartedBeforeItsEnginesRestartWasNoticedIsCancelled) {
  for (const auto& upstream : deployment.Upstreams()) {
    if (upstream->EngineCount() > 0) upstream->CrashEngine(0);
  }
  deployment.SendPrompt(0, "[[seed=1]][[length=3000]]", 3000);
  deployment.RunFor(seconds(1));
  deployment.CrashEntry(0);
  deployment.RunFor(seconds(9));
  LONGS_EQUAL(0, deployment.RequestsHeldInEngines().size());
}

TEST(Failures, NewAgentCancelsOrphansMissingFromItsFirstReport) {
  deployment.SendPrompt(0, "[[seed=1]][[length=3000]]", 3000);
  deployment.RunFor(milliseconds(60));
  for (const auto& upstream : deployment.Upstreams()) {
    if (upstream->EngineCount() > 0) upstream->Engine(0).ReportedRequests();
  }
  deployment.RunFor(milliseconds(60));
  deployment.CrashEntry(0);
  for (const auto& upstream : deployment.Upstreams()) {
    upstream->Crash();
    upstream->Start();
  }
  deployment.RunFor(seconds(2));
  LONGS_EQUAL(0, deployment.RequestsHeldInEngines().size());
}

TEST(Failures, AgentRepeatsACancelThatTheEngineLost) {
  deployment.SendPrompt(0, "[[seed=1]][[length=3000]]", 3000);
  deployment.RunFor(seconds(1));
  for (const auto& upstream : deployment.Upstreams()) {
    upstream->Faults().loses_cancels = true;
  }
  deployment.CrashEntry(0);
  deployment.RunFor(seconds(8));
  CHECK(!deployment.RequestsHeldInEngines().empty());
  for (const auto& upstream : deployment.Upstreams()) upstream->Faults() = {};
  deployment.RunFor(seconds(2));
  LONGS_EQUAL(0, deployment.RequestsHeldInEngines().size());
}

TEST(Failures, PrefillThatTheEngineNeverReceivedIsRetried) {
  const auto id = deployment.SendPrompt(0, "[[seed=1]][[length=500]]", 500);
  deployment.RunFor(seconds(1));
  for (const auto& upstream : deployment.Upstreams()) {
    const bool prefill = upstream->Self().vm.Value().starts_with("prefill-");
    if (prefill) upstream->Faults().hangs = true;
    if (!prefill && upstream->EngineCount() > 0) upstream->CrashEngine(0);
  }
  deployment.RunFor(milliseconds(300));
  for (const auto& upstream : deployment.Upstreams()) upstream->Faults() = {};
  deployment.RunFor(seconds(40));
  const auto& view = deployment.Callers().Views().at(*id);
  STRCMP_EQUAL(PromiseOracle::ExpectedText("[[seed=1]]", 500).c_str(),
               view.text.c_str());
}

TEST(Failures, AgentIsReachedAgainAfterSilenceAndPause) {
  auto& agent = *deployment.Upstreams()[0];
  for (const auto& entry : deployment.Entries()) {
    deployment.Network().SilenceConnection(entry->Self().vm, agent.Self().vm);
  }
  agent.Pause();
  deployment.RunFor(seconds(20));
  agent.Resume();
  deployment.RunFor(seconds(5));
  for (const auto& entry : deployment.Entries()) {
    CHECK(entry->Core()->Board().upstreams.at(agent.Self().vm).IsUsable());
  }
}

TEST(Failures, OldGenerationNeverReplacesANewerOne) {
  auto* agent = deployment.Upstreams()[0]->Core();
  const burdockhill::Generation newest = agent->Board().in_force;
  agent->OnMessage(deployment.Entries()[0]->Self().vm,
                   burdockhill::ConfigurationOffer{
                       burdockhill::Generation(newest.Value() + 5), true,
                       R"({"resources":[]})"});
  agent->OnMessage(
      deployment.Entries()[0]->Self().vm,
      burdockhill::ConfigurationOffer{newest, true, R"({"resources":[]})"});
  LONGS_EQUAL(newest.Value() + 5, agent->Board().in_force.Value());
}

TEST(Failures, CallToAHungServiceTimesOutAndReleasesEverything) {
  for (const auto& upstream : deployment.Upstreams()) {
    upstream->Faults().hangs = true;
  }
  const auto id = deployment.SendCall(0, "POST", "order");
  deployment.RunFor(seconds(31));
  const auto& view = deployment.Callers().Views().at(*id);
  LONGS_EQUAL(1, view.final_responses);
  CHECK(view.error->outcome == burdockhill::Outcome::kUnknown);
  CheckAtRestAfterFaults();
}

TEST(Failures, AConfigurationWrittenAfterARestoreOfTheStoreIsInForce) {
  const auto write_policy = [&](int milliseconds_limit) {
    deployment.WriteResource("RoutingPolicy", "default",
                             R"({"first_token_limit_ms":)" +
                                 std::to_string(milliseconds_limit) + "}");
  };
  auto& model = deployment.Platform().Model();
  deployment.RunFor(seconds(3));
  const auto copy = model;
  for (const int limit : {4100, 4200, 4300}) {
    write_policy(limit);
    deployment.RunFor(seconds(4));
  }
  const auto former = deployment.Entries()[0]->Core()->Board().in_force;
  model.Restore(copy);
  deployment.RunFor(seconds(2));
  for (const auto& entry : deployment.Entries()) {
    CHECK(entry->Core()->Board().in_force >= former);
  }
  write_policy(4400);
  deployment.RunFor(seconds(20));
  for (const auto& entry : deployment.Entries()) {
    const auto& board = entry->Core()->Board();
    CHECK(board.in_force > former);
    STRCMP_CONTAINS("4400", board.in_force_content->Text().c_str());
  }
  CheckAtRestAfterFaults();
}

namespace {

// Runs commands as promises_fuzz_test does. Returns the first violation at
// rest, or an empty string.
std::string FirstViolationAfter(
    const std::vector<burdockhill::Command>& commands) {
  EntryAgentDeploymentOptions options;
  options.seed = 1;
  options.zones = 2;
  options.decode_upstreams_per_zone = 1;
  options.engine.slots = 4;
  EntryAgentDeployment deployment(options);
  if (!deployment.RunUntilReady()) return "not ready";
  PromiseOracle oracle(&deployment);
  CommandRunner runner(&deployment);
  for (const burdockhill::Command& command : commands) {
    runner.Execute(command);
    deployment.RunFor(milliseconds(5));
  }
  runner.EndFaults();
  deployment.RunFor(seconds(75));
  oracle.CheckAtRest();
  return oracle.Violations().empty() ? "" : oracle.Violations().front();
}

}  // namespace

TEST_GROUP(Sequences){};

TEST(Sequences, AnAcceptanceThatARestoredStoreHasLostIsRepeated) {
  STRCMP_EQUAL(
      "", FirstViolationAfter({{CommandKind::kMakeBackEndUnreachable, 0, 0},
                               {CommandKind::kSendPrompt, 18, 18},
                               {CommandKind::kRestoreStore, 0, 0},
                               {CommandKind::kWaitLong, 249, 0},
                               {CommandKind::kStoreOutage, 0, 0},
                               {CommandKind::kRestoreStore, 0, 0},
                               {CommandKind::kWaitLong, 479, 0}})
              .c_str());
}

TEST(Sequences, AnEntryThatIsAheadOfARestoredStoreIsCaughtUpWith) {
  STRCMP_EQUAL("",
               FirstViolationAfter({{CommandKind::kCrashEntry, 0, 0},
                                    {CommandKind::kWriteConfiguration, 0, 0},
                                    {CommandKind::kCrashEngine, 0, 0},
                                    {CommandKind::kCrashEntry, 0, 0},
                                    {CommandKind::kSendPrompt, 0, 0},
                                    {CommandKind::kSendPrompt, 0, 0},
                                    {CommandKind::kCrashEngine, 0, 0},
                                    {CommandKind::kSendPrompt, 0, 0},
                                    {CommandKind::kSendPrompt, 0, 0},
                                    {CommandKind::kRestoreStore, 0, 0}})
                   .c_str());
}

// Guards against an entry that exits at its drain limit without answers.
TEST(Failures, RequestsInProgressAtTheDrainLimitAreAnswered) {
  EntryCore* core = deployment.Entries()[0]->Core();
  const auto running = deployment.SendCall(0, "POST", "order");
  deployment.RunFor(milliseconds(10));
  const auto waiting = deployment.SendPrompt(0, "[[seed=1]]", 100);
  core->Leave();
  core->EndRequests();
  deployment.RunFor(milliseconds(40));
  const auto& views = deployment.Callers().Views();
  CHECK(views.at(*running).error.has_value());
  CHECK(views.at(*running).error->kind == ErrorKind::kTimeout);
  CHECK(views.at(*running).error->outcome == Outcome::kUnknown);
  CHECK(views.at(*waiting).error->kind == ErrorKind::kLeaving);
  CHECK(views.at(*waiting).error->outcome == Outcome::kNotRun);
  LONGS_EQUAL(1, views.at(*running).final_responses);
}

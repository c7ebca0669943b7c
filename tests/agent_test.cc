// Module agent: one AgentCore with recording fakes of its links.

#include "burdockhill/agent.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

#include "burdockhill/peer.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Records the messages that the agent sends.
struct RecordingPeers : PeerLink {
  void Connect(const VmName&, const std::string&) override {}
  void Disconnect(const VmName&) override {}
  void Send(const VmName&, Message message) override {
    sent.push_back(std::move(message));
  }
  // The last message of type T, or nullptr.
  template <typename T>
  const T* Last() const {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
      if (const T* found = std::get_if<T>(&*it)) return found;
    }
    return nullptr;
  }
  std::vector<Message> sent;
};

// Records the commands to an engine without running them.
struct RecordingEngine : EngineLink {
  void Prefill(const EngineName&, const PrefillCommand& command) override {
    prefills.push_back(command);
  }
  void Decode(const EngineName&, const DecodeCommand& command) override {
    decodes.push_back(command);
  }
  void Cancel(const EngineName&, const AttemptId& attempt) override {
    cancels.push_back(attempt);
  }
  void CancelOrphanedRequest(const EngineName&,
                             const std::string& request_id) override {
    orphaned_requests.push_back(request_id);
  }
  void PollState(const EngineName&) override {}
  void Call(const EngineName&, const CallService& call) override {
    calls.push_back(call);
  }
  std::vector<PrefillCommand> prefills;
  std::vector<DecodeCommand> decodes;
  std::vector<AttemptId> cancels;
  std::vector<std::string> orphaned_requests;
  std::vector<CallService> calls;
};

const VmName kEntry("entry");
const EngineName kEngine("engine-0");

}  // namespace

TEST_GROUP(Agent) {
  ManualClock clock;
  RecordingPeers peers;
  RecordingEngine engine;
  std::unique_ptr<AgentCore> core;
  EngineState state;

  void Begin(EngineRole role, bool plain = false) {
    AgentIdentity self;
    self.vm = VmName("agent");
    self.service = ServiceName("s");
    self.plain = plain;
    core = std::make_unique<AgentCore>(
        self, std::vector<std::pair<EngineName, std::string>>{{kEngine, ""}},
        &clock, &peers, &engine);
    state.boot_id = 1;
    state.role = role;
    state.slots = 2;
    state.pieces = Pieces(10);
    state.piece_size = Tokens(100);
    state.prefill_rate = 1000;
    core->OnEngineState(kEngine, state);
    Hello hello;
    hello.vm = kEntry;
    hello.incarnation = Incarnation(5);
    core->OnPeerUp(hello);
  }

  static AttemptId Attempt(uint32_t number) {
    return {RequestId(1), number, Incarnation(5)};
  }

  void Reserve(uint32_t number, int64_t tokens = 100) {
    core->OnMessage(kEntry,
                    ReserveDecode{Attempt(number), ServiceName("s"),
                                  RequestClass::kStandard, Tokens(tokens),
                                  Tokens(0), seconds(5)});
    core->Tick();
  }

  void Start(uint32_t number) {
    core->OnMessage(kEntry, StartDecode{Attempt(number), "h", "s", Tokens(1),
                                        Tokens(9), 0, "{}"});
  }

  void Cancel(uint32_t number) {
    core->OnMessage(kEntry, CancelAttempt{Attempt(number)});
  }

  const Engine& Used() { return core->Board().engines.at(kEngine); }
};

TEST(Agent, GrantsNoMoreThanItsEngineHas) {
  Begin(EngineRole::kDecode);
  for (uint32_t i = 1; i <= 3; ++i) Reserve(i);
  LONGS_EQUAL(2, Used().used_slots);
  LONGS_EQUAL(1, core->Board().decode_queue.size());
  Cancel(1);
  core->Tick();
  LONGS_EQUAL(2, Used().used_slots);
  CHECK(peers.Last<ReserveGranted>()->attempt == Attempt(3));
}

TEST(Agent, CountsMemoryInWholePieces) {
  Begin(EngineRole::kDecode);
  Reserve(1, 801);
  LONGS_EQUAL(9, Used().used_pieces.Value());
  Reserve(2, 101);
  LONGS_EQUAL(1, Used().used_slots);
  Reserve(3, 1001);  // Exceeds the memory of an idle engine.
  CHECK(peers.Last<AttemptRefused>()->kind == ErrorKind::kUpstreamRefused);
}

TEST(Agent, StartAfterCancelIsRefusedHoweverLate) {
  Begin(EngineRole::kDecode);
  Cancel(1);
  clock.Advance(seconds(300));
  core->Tick();
  Reserve(1);
  CHECK(peers.Last<AttemptRefused>()->attempt == Attempt(1));
  LONGS_EQUAL(0, Used().used_slots);
}

TEST(Agent, MemoryCountsUntilTheEngineConfirmsTheCancel) {
  Begin(EngineRole::kDecode);
  Reserve(1);
  Start(1);
  Cancel(1);
  core->Tick();
  LONGS_EQUAL(1, Used().used_slots);
  CHECK(peers.Last<AttemptReleased>() == nullptr);
  clock.Advance(seconds(2));
  core->Tick();
  LONGS_EQUAL(2, engine.cancels.size());  // The cancel was retried.
  core->OnCancelConfirmed(Attempt(1));
  LONGS_EQUAL(0, Used().used_slots);
  CHECK(peers.Last<AttemptReleased>()->attempt == Attempt(1));
}

TEST(Agent, StartsADecodeOnceHoweverOftenItIsAsked) {
  Begin(EngineRole::kDecode);
  Reserve(1);
  Start(1);
  Start(1);
  Reserve(1);
  LONGS_EQUAL(1, engine.decodes.size());
}

TEST(Agent, EndsHoldsThatAreNotRenewed) {
  Begin(EngineRole::kDecode);
  Reserve(1);
  Reserve(2);
  for (int i = 0; i < 10; ++i) {
    clock.Advance(seconds(1));
    core->OnMessage(kEntry, RenewHolds{{Attempt(2)}});
    core->Tick();
  }
  LONGS_EQUAL(1, Used().used_slots);
  CHECK(core->Board().attempts.Find(Attempt(1)) == nullptr);
}

TEST(Agent, CancelsWhatAnEarlierEntryProcessHeld) {
  Begin(EngineRole::kDecode);
  Reserve(1);
  Hello restarted;
  restarted.vm = kEntry;
  restarted.incarnation = Incarnation(6);
  core->OnPeerUp(restarted);
  core->Tick();
  LONGS_EQUAL(0, Used().used_slots);
}

TEST(Agent, ResendsFromTheOffsetAskedFor) {
  Begin(EngineRole::kDecode);
  Reserve(1);
  Start(1);
  core->OnTokens(Attempt(1), 0, 1, "a", "");
  core->OnTokens(Attempt(1), 1, 1, "b", "");
  core->OnTokens(Attempt(1), 2, 1, "c", "stop");
  core->OnMessage(kEntry, AttachAttempt{Attempt(1), 1});
  const StreamChunk* chunk = peers.Last<StreamChunk>();
  STRCMP_EQUAL("bc", chunk->text.c_str());
  LONGS_EQUAL(1, chunk->offset);
  STRCMP_EQUAL("stop", chunk->finish_reason.c_str());
}

TEST(Agent, AttachToAnUnknownAttemptProvesThatItNeverRuns) {
  Begin(EngineRole::kPrefill);
  core->OnMessage(kEntry, AttachAttempt{Attempt(1), 0});
  CHECK(peers.Last<AttemptRefused>()->attempt == Attempt(1));
  core->OnMessage(kEntry, StartPrefill{Attempt(1), ServiceName("s"),
                                       RequestClass::kStandard, Tokens(5),
                                       "text", "{}", seconds(1)});
  core->Tick();
  LONGS_EQUAL(0, engine.prefills.size());
}

TEST(Agent, RefusesAPrefillThatWouldStartTooLate) {
  Begin(EngineRole::kPrefill);
  const auto start = [&](uint32_t number, Duration budget) {
    core->OnMessage(kEntry, StartPrefill{Attempt(number), ServiceName("s"),
                                         RequestClass::kStandard, Tokens(1000),
                                         "text", "{}", budget});
    core->Tick();
  };
  for (uint32_t i = 1; i <= 3; ++i) start(i, seconds(10));
  start(4, seconds(2));
  CHECK(peers.Last<AttemptRefused>()->attempt == Attempt(4));
  CHECK(peers.Last<AttemptRefused>()->retry_after > Duration(0));
}

TEST(Agent, LeavingRefusesNewWorkAndFinishesTheOld) {
  Begin(EngineRole::kDecode);
  Reserve(1);
  core->Leave();
  core->Tick();
  Reserve(2);
  CHECK(peers.Last<AttemptRefused>()->kind == ErrorKind::kLeaving);
  Start(1);
  LONGS_EQUAL(1, engine.decodes.size());
  CHECK(!core->IsIdle());
  core->OnTokens(Attempt(1), 0, 1, "a", "stop");
  CHECK(core->IsIdle());
}

TEST(Agent, FailsWhatAnEngineLostWhenItRestarts) {
  Begin(EngineRole::kDecode);
  Reserve(1);
  Start(1);
  state.boot_id = 2;
  core->OnEngineState(kEngine, state);
  core->Tick();
  CHECK(peers.Last<AttemptFailed>()->attempt == Attempt(1));
  // The attempt may have been started after the restart, so its resources stay
  // allocated until the engine confirms the cancel.
  LONGS_EQUAL(1, engine.cancels.size());
  core->OnCancelConfirmed(Attempt(1));
  LONGS_EQUAL(0, Used().used_slots);
}

TEST(Agent, CancelsStraysOfAnEarlierAgent) {
  state.request_ids = {"left-behind"};
  Begin(EngineRole::kDecode);
  LONGS_EQUAL(1, engine.orphaned_requests.size());
}

TEST(Agent, PassesACallOnOnce) {
  Begin(EngineRole::kDecode, /*plain=*/true);
  CallService call;
  call.attempt = Attempt(1);
  call.service = ServiceName("s");
  core->OnMessage(kEntry, call);
  core->OnMessage(kEntry, call);
  core->OnCallAnswered(Attempt(1), 200, "t", "body");
  core->OnMessage(kEntry, call);
  LONGS_EQUAL(1, engine.calls.size());
  STRCMP_EQUAL("body", peers.Last<CallAnswered>()->body.c_str());
}

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
struct RecordingPeerLink : PeerLink {
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
struct RecordingEngineLink : EngineLink {
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
  RecordingPeerLink peers;
  RecordingEngineLink engine;
  std::unique_ptr<AgentCore> core;
  EngineState state;

  void StartAgent(EngineRole role, bool serves_plain = false) {
    AgentIdentity self;
    self.vm = VmName("agent");
    self.service = ServiceName("s");
    self.serves_plain = serves_plain;
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

  static AttemptId MakeAttemptId(uint32_t number) {
    return {RequestId(1), number, Incarnation(5)};
  }

  void SendReserveDecode(uint32_t number, int64_t tokens = 100) {
    core->OnMessage(kEntry,
                    ReserveDecode{MakeAttemptId(number), ServiceName("s"),
                                  RequestClass::kStandard, Tokens(tokens),
                                  Tokens(0), seconds(5)});
    core->Tick();
  }

  void SendStartDecode(uint32_t number) {
    core->OnMessage(kEntry, StartDecode{MakeAttemptId(number), "h", "s",
                                        Tokens(1), Tokens(9), 0, "{}"});
  }

  void SendCancel(uint32_t number) {
    core->OnMessage(kEntry, CancelAttempt{MakeAttemptId(number)});
  }

  const Engine& EngineRecord() { return core->Board().engines.at(kEngine); }
};

TEST(Agent, GrantsNoMoreSlotsThanTheEngineHas) {
  StartAgent(EngineRole::kDecode);
  for (uint32_t i = 1; i <= 3; ++i) SendReserveDecode(i);
  LONGS_EQUAL(2, EngineRecord().used_slots);
  LONGS_EQUAL(1, core->Board().decode_queue.size());
  SendCancel(1);
  core->Tick();
  LONGS_EQUAL(2, EngineRecord().used_slots);
  CHECK(peers.Last<ReserveGranted>()->attempt == MakeAttemptId(3));
}

TEST(Agent, RoundsMemoryUpToWholePieces) {
  StartAgent(EngineRole::kDecode);
  SendReserveDecode(1, 801);
  LONGS_EQUAL(9, EngineRecord().used_pieces.Value());
  SendReserveDecode(2, 101);
  LONGS_EQUAL(1, EngineRecord().used_slots);
  SendReserveDecode(3, 1001);  // Exceeds the memory of an idle engine.
  CHECK(peers.Last<AttemptRefused>()->kind == ErrorKind::kUpstreamRefused);
}

TEST(Agent, RefusesAnAttemptCancelledBeforeItArrived) {
  StartAgent(EngineRole::kDecode);
  SendCancel(1);
  clock.Advance(seconds(300));
  core->Tick();
  SendReserveDecode(1);
  CHECK(peers.Last<AttemptRefused>()->attempt == MakeAttemptId(1));
  LONGS_EQUAL(0, EngineRecord().used_slots);
}

TEST(Agent, KeepsMemoryAllocatedUntilTheCancelIsConfirmed) {
  StartAgent(EngineRole::kDecode);
  SendReserveDecode(1);
  SendStartDecode(1);
  SendCancel(1);
  core->Tick();
  LONGS_EQUAL(1, EngineRecord().used_slots);
  CHECK(peers.Last<AttemptReleased>() == nullptr);
  clock.Advance(seconds(2));
  core->Tick();
  LONGS_EQUAL(2, engine.cancels.size());  // The cancel was retried.
  core->OnCancelConfirmed(MakeAttemptId(1));
  LONGS_EQUAL(0, EngineRecord().used_slots);
  CHECK(peers.Last<AttemptReleased>()->attempt == MakeAttemptId(1));
}

TEST(Agent, StartsADecodeOnceDespiteRepeatedMessages) {
  StartAgent(EngineRole::kDecode);
  SendReserveDecode(1);
  SendStartDecode(1);
  SendStartDecode(1);
  SendReserveDecode(1);
  LONGS_EQUAL(1, engine.decodes.size());
}

TEST(Agent, ReleasesHoldsThatAreNotRenewed) {
  StartAgent(EngineRole::kDecode);
  SendReserveDecode(1);
  SendReserveDecode(2);
  for (int i = 0; i < 10; ++i) {
    clock.Advance(seconds(1));
    core->OnMessage(kEntry, RenewHolds{{MakeAttemptId(2)}});
    core->Tick();
  }
  LONGS_EQUAL(1, EngineRecord().used_slots);
  CHECK(core->Board().attempts.Find(MakeAttemptId(1)) == nullptr);
}

TEST(Agent, CancelsAttemptsOfARestartedEntry) {
  StartAgent(EngineRole::kDecode);
  SendReserveDecode(1);
  Hello restarted;
  restarted.vm = kEntry;
  restarted.incarnation = Incarnation(6);
  core->OnPeerUp(restarted);
  core->Tick();
  LONGS_EQUAL(0, EngineRecord().used_slots);
}

TEST(Agent, ResendsTokensFromTheRequestedOffset) {
  StartAgent(EngineRole::kDecode);
  SendReserveDecode(1);
  SendStartDecode(1);
  core->OnTokens(MakeAttemptId(1), 0, 1, "a", "");
  core->OnTokens(MakeAttemptId(1), 1, 1, "b", "");
  core->OnTokens(MakeAttemptId(1), 2, 1, "c", "stop");
  core->OnMessage(kEntry, AttachAttempt{MakeAttemptId(1), 1});
  const StreamChunk* chunk = peers.Last<StreamChunk>();
  STRCMP_EQUAL("bc", chunk->text.c_str());
  LONGS_EQUAL(1, chunk->offset);
  STRCMP_EQUAL("stop", chunk->finish_reason.c_str());
}

TEST(Agent, AttachToAnUnknownAttemptPreventsItsStart) {
  StartAgent(EngineRole::kPrefill);
  core->OnMessage(kEntry, AttachAttempt{MakeAttemptId(1), 0});
  CHECK(peers.Last<AttemptRefused>()->attempt == MakeAttemptId(1));
  core->OnMessage(kEntry, StartPrefill{MakeAttemptId(1), ServiceName("s"),
                                       RequestClass::kStandard, Tokens(5),
                                       "text", "{}", seconds(1)});
  core->Tick();
  LONGS_EQUAL(0, engine.prefills.size());
}

TEST(Agent, RefusesAPrefillWhoseWaitExceedsItsBudget) {
  StartAgent(EngineRole::kPrefill);
  const auto start = [&](uint32_t number, Duration budget) {
    core->OnMessage(kEntry,
                    StartPrefill{MakeAttemptId(number), ServiceName("s"),
                                 RequestClass::kStandard, Tokens(1000), "text",
                                 "{}", budget});
    core->Tick();
  };
  for (uint32_t i = 1; i <= 3; ++i) start(i, seconds(10));
  start(4, seconds(2));
  CHECK(peers.Last<AttemptRefused>()->attempt == MakeAttemptId(4));
  CHECK(peers.Last<AttemptRefused>()->retry_after > Duration(0));
}

TEST(Agent, RefusesNewAttemptsWhileLeaving) {
  StartAgent(EngineRole::kDecode);
  SendReserveDecode(1);
  core->Leave();
  core->Tick();
  SendReserveDecode(2);
  CHECK(peers.Last<AttemptRefused>()->kind == ErrorKind::kLeaving);
  SendStartDecode(1);
  LONGS_EQUAL(1, engine.decodes.size());
  CHECK(!core->IsIdle());
  core->OnTokens(MakeAttemptId(1), 0, 1, "a", "stop");
  CHECK(core->IsIdle());
}

TEST(Agent, FailsAttemptsLostInAnEngineRestart) {
  StartAgent(EngineRole::kDecode);
  SendReserveDecode(1);
  SendStartDecode(1);
  state.boot_id = 2;
  core->OnEngineState(kEngine, state);
  core->Tick();
  CHECK(peers.Last<AttemptFailed>()->attempt == MakeAttemptId(1));
  // The attempt may have been started after the restart, so its resources stay
  // allocated until the engine confirms the cancel.
  LONGS_EQUAL(1, engine.cancels.size());
  core->OnCancelConfirmed(MakeAttemptId(1));
  LONGS_EQUAL(0, EngineRecord().used_slots);
}

TEST(Agent, CancelsOrphanedRequestsOfAnEarlierAgent) {
  state.request_ids = {"left-behind"};
  StartAgent(EngineRole::kDecode);
  LONGS_EQUAL(1, engine.orphaned_requests.size());
}

TEST(Agent, ForwardsACallOnce) {
  StartAgent(EngineRole::kDecode, /*serves_plain=*/true);
  CallService call;
  call.attempt = MakeAttemptId(1);
  call.service = ServiceName("s");
  core->OnMessage(kEntry, call);
  core->OnMessage(kEntry, call);
  core->OnCallAnswered(MakeAttemptId(1), 200, "t", "body");
  core->OnMessage(kEntry, call);
  LONGS_EQUAL(1, engine.calls.size());
  STRCMP_EQUAL("body", peers.Last<CallAnswered>()->body.c_str());
}

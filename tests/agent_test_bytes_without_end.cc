// Module agent: back ends whose results have no end.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "burdockhill/agent.h"
#include "burdockhill/peer.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

namespace {

constexpr size_t kMegabyte = size_t{1} << 20;
const VmName kEntry("entry");
const EngineName kFaulty("faulty");
const EngineName kSound("sound");

struct PeerLinkRecorder : PeerLink {
  void Connect(const VmName&, const std::string&) override {}
  void Disconnect(const VmName&) override {}
  void Send(const VmName&, Message message) override {
    sent.push_back(std::move(message));
  }
  // The last message of type T about the attempt, or nullptr.
  template <typename T>
  const T* Last(const AttemptId& attempt) const {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
      const T* found = std::get_if<T>(&*it);
      if (found != nullptr && found->attempt == attempt) return found;
    }
    return nullptr;
  }
  std::vector<Message> sent;
};

struct EngineLinkRecorder : EngineLink {
  void Prefill(const EngineName&, const PrefillCommand&) override {}
  void Decode(const EngineName& engine, const DecodeCommand&) override {
    last_engine = engine;
  }
  void Cancel(const EngineName&, const AttemptId& attempt) override {
    cancels.push_back(attempt);
  }
  void CancelOrphanedRequest(const EngineName&, const std::string&) override {}
  void PollState(const EngineName&) override {}
  void Call(const EngineName&, const CallService&) override {}
  EngineName last_engine;
  std::vector<AttemptId> cancels;
};

struct OverflowRecorder : BufferObserver {
  void OnBufferOverflow(const BufferOverflow& overflow) override {
    overflows.push_back(overflow);
  }
  std::vector<BufferOverflow> overflows;
};

AttemptId MakeAttemptId(uint32_t number) {
  return {RequestId(1), number, Incarnation(5)};
}

}  // namespace

TEST_GROUP(AgentBytesWithoutEnd) {
  ManualClock clock;
  PeerLinkRecorder peers;
  EngineLinkRecorder engines;
  BufferBudget buffers;
  OverflowRecorder observer;
  std::unique_ptr<AgentCore> core;

  void setup() override { buffers.SetObserver(&observer); }

  void StartAgent(bool serves_plain) {
    AgentIdentity self;
    self.vm = VmName("agent");
    self.service = ServiceName("s");
    self.serves_plain = serves_plain;
    core = std::make_unique<AgentCore>(
        self,
        std::vector<std::pair<EngineName, std::string>>{
            {kFaulty, "10.0.0.1:80"}, {kSound, "10.0.0.2:80"}},
        &clock, &peers, &engines);
    core->SetBuffers(&buffers);
    EngineState state;
    state.boot_id = 1;
    state.role = EngineRole::kDecode;
    state.slots = 1;
    state.pieces = Pieces(10);
    state.piece_size = Tokens(100);
    core->OnEngineState(kFaulty, state);
    core->OnEngineState(kSound, state);
    Hello hello;
    hello.vm = kEntry;
    hello.incarnation = Incarnation(5);
    core->OnPeerUp(hello);
  }

  // Returns the engine that runs it.
  EngineName StartDecodeOf(uint32_t number) {
    core->OnMessage(
        kEntry, ReserveDecode{MakeAttemptId(number), ServiceName("s"),
                              RequestClass::kStandard, Tokens(100), Tokens(0),
                              seconds(5)});
    core->Tick();
    core->OnMessage(kEntry, StartDecode{MakeAttemptId(number), "h", "s",
                                        Tokens(1), Tokens(9), 0, "{}"});
    return engines.last_engine;
  }

  void CheckFailed(uint32_t number) {
    core->Tick();
    const auto* failed = peers.Last<AttemptFailed>(MakeAttemptId(number));
    CHECK(failed != nullptr);
    CHECK(failed->kind == ErrorKind::kUpstreamFailed);
    LONGS_EQUAL(1, engines.cancels.size());
    CHECK(engines.cancels[0] == MakeAttemptId(number));
  }
};

TEST(AgentBytesWithoutEnd, TokensEndTheirAttempt) {
  StartAgent(/*serves_plain=*/false);
  StartDecodeOf(1);
  const std::string text(kMegabyte / 4, 't');
  uint64_t offset = 0;
  while (observer.overflows.empty() && offset < 100) {
    core->OnTokens(MakeAttemptId(1), offset++, 1, text, "");
  }
  CHECK(offset <= 17);
  LONGS_EQUAL(0, buffers.TotalBytes());
  core->OnTokens(MakeAttemptId(1), offset, 1, text, "");
  LONGS_EQUAL(1, observer.overflows.size());
  CheckFailed(1);
}

TEST(AgentBytesWithoutEnd, AnEventOfCountlessTokensEndsItsAttempt) {
  StartAgent(/*serves_plain=*/false);
  StartDecodeOf(1);
  constexpr uint32_t kTokens = 100'000'000;
  core->OnTokens(MakeAttemptId(1), 0, kTokens, "t", "");
  LONGS_EQUAL(0, core->Board().counters.tokens);
  CheckFailed(1);
}

TEST(AgentBytesWithoutEnd, TheSourceWithMostLosesItsTokensAndASoundOneStays) {
  StartAgent(/*serves_plain=*/false);
  buffers.SetLimit(3 * kMegabyte);
  CHECK(StartDecodeOf(1) != StartDecodeOf(2));
  core->OnTokens(MakeAttemptId(1), 0, 1, std::string(3 * kMegabyte, 'f'), "");
  core->OnTokens(MakeAttemptId(2), 0, 1, "sound", "");
  buffers.Enforce();
  CHECK(buffers.TotalBytes() < kMegabyte);
  LONGS_EQUAL(1, observer.overflows.size());
  CheckFailed(1);
  core->OnMessage(kEntry, AttachAttempt{MakeAttemptId(2), 0});
  STRCMP_EQUAL("sound",
               peers.Last<StreamChunk>(MakeAttemptId(2))->text.c_str());
  core->OnTokens(MakeAttemptId(2), 1, 1, "!", "stop");
  STRCMP_EQUAL(
      "stop", peers.Last<StreamChunk>(MakeAttemptId(2))->finish_reason.c_str());
}

TEST(AgentBytesWithoutEnd, AnswersThatAreKeptAreChargedAndAnEvictedOneFailed) {
  StartAgent(/*serves_plain=*/true);
  buffers.SetLimit(3 * kMegabyte);
  for (uint32_t i = 1; i <= 2; ++i) {
    CallService call;
    call.attempt = MakeAttemptId(i);
    call.service = ServiceName("s");
    core->OnMessage(kEntry, call);
    core->OnCallAnswered(call.attempt, 200, "t",
                         std::string(i * kMegabyte, 'a'));
  }
  CHECK(buffers.TotalBytes() >= 3 * kMegabyte);
  buffers.SetLimit(2 * kMegabyte);
  buffers.Enforce();
  LONGS_EQUAL(kMegabyte, buffers.TotalBytes());
  core->Tick();
  CHECK(peers.Last<AttemptFailed>(MakeAttemptId(2)) == nullptr);
  core->OnMessage(kEntry, AttachAttempt{MakeAttemptId(2), 0});
  CHECK(peers.Last<AttemptFailed>(MakeAttemptId(2)) != nullptr);
  core->OnMessage(kEntry, AttachAttempt{MakeAttemptId(1), 0});
  CHECK(peers.Last<AttemptFailed>(MakeAttemptId(1)) == nullptr);
  core->OnMessage(kEntry, CancelAttempt{MakeAttemptId(1)});
  core->OnMessage(kEntry, CancelAttempt{MakeAttemptId(2)});
  LONGS_EQUAL(0, buffers.TotalBytes());
}

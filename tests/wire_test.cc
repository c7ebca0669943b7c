// Tests of module wire: the codec and the authenticated session, including
// input that an attacker or a faulty peer could send.

#include "burdockhill/wire.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using wire::DecodeMessages;
using wire::EncodeMessages;
using wire::PeerSession;

namespace {

Hello Self(const std::string& vm, uint64_t incarnation) {
  Hello hello;
  hello.vm = VmName(vm);
  hello.incarnation = Incarnation(incarnation);
  hello.nonce = std::string(32, static_cast<char>(incarnation));
  return hello;
}

const AttemptId kAttempt{RequestId(1), 2, Incarnation(3)};

// Returns one message of each type, with every field set.
std::vector<Message> AllMessages() {
  EngineLoad load;
  load.name = EngineName("e");
  load.role = EngineRole::kPrefill;
  load.healthy = false;
  load.running = 1;
  load.slots = 2;
  load.waiting = 3;
  load.free_pieces = Pieces(4);
  load.queued_prefill = Tokens(5);
  load.prefill_rate = 6;
  return {
      Self("vm", 9),
      Heartbeat{7, true},
      ReserveDecode{kAttempt, ServiceName("s"), RequestClass::kBatch,
                    Tokens(10), Tokens(20), Duration(30), Duration(40), 2},
      ReservePrefill{kAttempt, Tokens(10), Duration(30), Duration(40), 3},
      Registrations{true, 3, {{"u", 2, "{}"}}},
      CrashNotice{77, UpstreamName("u")},
      StartPrefill{kAttempt, ServiceName("s"), RequestClass::kInteractive,
                   Tokens(10), "text", "{}", Duration(5)},
      StartDecode{kAttempt, "handle", "source", Tokens(1), Tokens(2), 3, "{}"},
      CancelAttempt{kAttempt},
      RenewHolds{{kAttempt, kAttempt}},
      AttachAttempt{kAttempt, 8},
      CallService{kAttempt, ServiceName("s"), "POST", "/p", "t", "k", "b",
                  Duration(9)},
      ReserveGranted{kAttempt, EngineName("e")},
      AttemptRefused{kAttempt, ErrorKind::kLeaving, Duration(4)},
      PrefillDone{kAttempt, "h", "s", Tokens(1), Tokens(2)},
      StreamChunk{kAttempt, 1, 2, "t", "stop"},
      AttemptFailed{kAttempt, ErrorKind::kTimeout},
      CallAnswered{kAttempt, 200, "t", "b"},
      AttemptReleased{kAttempt},
      LoadReport{UpstreamName("u"),
                 ServiceName("s"),
                 true,
                 true,
                 Generation(1),
                 Generation(2),
                 {load}},
      ConfigurationOffer{Generation(1), true, "c"},
      ConfigurationState{{{VmName("v"), Generation(1), Generation(2)}}}};
}

// Two sessions that have completed the handshake with each other.
struct Connected {
  PeerSession accepting{PeerSession::Side::kAccepting, "shared key of tests",
                        Self("a", 1)};
  PeerSession connecting{PeerSession::Side::kConnecting, "shared key of tests",
                         Self("c", 2)};
  std::vector<Message> got;

  Connected() {
    CHECK(!connecting.Receive(accepting.StartHandshake(), &got));
    CHECK(!accepting.Receive(connecting.DrainHandshakeReply(), &got));
  }
};

}  // namespace

TEST_GROUP(Codec){};

TEST(Codec, EveryMessageSurvives) {
  const std::vector<Message> messages = AllMessages();
  LONGS_EQUAL(std::variant_size_v<Message>, messages.size());
  const std::string encoded = EncodeMessages(messages);
  std::vector<Message> decoded;
  CHECK(DecodeMessages(encoded, &decoded));
  LONGS_EQUAL(messages.size(), decoded.size());
  for (size_t i = 0; i < messages.size(); ++i) {
    LONGS_EQUAL(messages[i].index(), decoded[i].index());
  }
  // The encoding is deterministic, so equal encodings mean equal values.
  CHECK(encoded == EncodeMessages(decoded));
}

TEST(Codec, RefusesDamagedPayloads) {
  const std::string encoded = EncodeMessages(AllMessages());
  const bool held = rc::check(
      "a corrupted payload is decoded or rejected without output", [&] {
        std::string damaged = encoded;
        const auto count = *rc::gen::inRange(1, 8);
        for (int i = 0; i < count; ++i) {
          const auto at = *rc::gen::inRange<size_t>(0, damaged.size());
          damaged[at] = *rc::gen::arbitrary<char>();
        }
        damaged.resize(*rc::gen::inRange<size_t>(0, damaged.size() + 1));
        std::vector<Message> messages;
        if (!DecodeMessages(damaged, &messages)) RC_ASSERT(messages.empty());
      });
  CHECK(held);
}

TEST_GROUP(Session){};

TEST(Session, CarriesMessagesBothWays) {
  Connected pair;
  CHECK(pair.accepting.IsEstablished() && pair.connecting.IsEstablished());
  STRCMP_EQUAL("c", pair.accepting.Peer().vm.Value().c_str());
  std::vector<Message> got;
  CHECK(!pair.accepting.Receive(pair.connecting.EncodeFrame(AllMessages()),
                                &got));
  LONGS_EQUAL(AllMessages().size(), got.size());
  CHECK(!pair.connecting.Receive(pair.accepting.EncodeFrame({Heartbeat{1}}),
                                 &got));
  LONGS_EQUAL(AllMessages().size() + 1, got.size());
}

TEST(Session, TakesBytesInAnyPortions) {
  Connected pair;
  std::string bytes = pair.connecting.EncodeFrame({Heartbeat{1}});
  bytes += pair.connecting.EncodeFrame({Heartbeat{2}});
  std::vector<Message> got;
  for (const char c : bytes) {
    CHECK(!pair.accepting.Receive(std::string(1, c), &got));
  }
  LONGS_EQUAL(2, got.size());
}

TEST(Session, RefusesAnotherKey) {
  PeerSession accepting(PeerSession::Side::kAccepting, "shared key of tests",
                        Self("a", 1));
  PeerSession connecting(PeerSession::Side::kConnecting, "another key of mine",
                         Self("c", 2));
  std::vector<Message> got;
  CHECK(connecting.Receive(accepting.StartHandshake(), &got) ==
        make_error_code(ErrorKind::kPeerRefused));
}

TEST(Session, RefusesAFrameThatIsRepeatedReflectedOrFromAnotherConnection) {
  Connected pair;
  Connected other;
  const std::string frame = pair.connecting.EncodeFrame({Heartbeat{1}});
  std::vector<Message> got;
  CHECK(!pair.accepting.Receive(frame, &got));
  CHECK(pair.accepting.Receive(frame, &got).value() != 0);
  CHECK(pair.connecting.Receive(frame, &got).value() != 0);
  LONGS_EQUAL(1, got.size());
  // A session with the same shared key and Hello, except for the nonce.
  PeerSession again(PeerSession::Side::kAccepting, "shared key of tests", [] {
    Hello hello = Self("a", 1);
    hello.nonce = std::string(32, 'x');
    return hello;
  }());
  again.StartHandshake();
  CHECK(again.Receive(frame, &got).value() != 0);
}

TEST(Session, RefusesAnyChangedByte) {
  const bool held = rc::check("a modified frame is rejected", [] {
    Connected pair;
    std::string frame =
        pair.connecting.EncodeFrame({Heartbeat{1}, Heartbeat{2}});
    const auto at = *rc::gen::inRange<size_t>(0, frame.size());
    const auto bit = *rc::gen::inRange(0, 8);
    frame[at] = static_cast<char>(frame[at] ^ (1 << bit));
    std::vector<Message> got;
    pair.accepting.Receive(frame, &got);
    RC_ASSERT(got.empty());
  });
  CHECK(held);
}

TEST(Session, RefusesFramesThatAreTooLong) {
  Connected pair;
  std::vector<Message> got;
  CHECK(pair.accepting.Receive(std::string(64, '\xff'), &got) ==
        make_error_code(ErrorKind::kBadRequest));
}

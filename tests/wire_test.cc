// Tests of module wire: the codec and the authenticated session, including
// input that an attacker or a faulty peer could send.

#include "burdockhill/wire.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "generated/peer_generated.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using wire::DecodeMessages;
using wire::EncodeMessages;
using wire::PeerSession;

namespace {

Hello MakeHello(const std::string& vm, uint64_t incarnation) {
  Hello hello;
  hello.vm = VmName(vm);
  hello.incarnation = Incarnation(incarnation);
  hello.nonce = std::string(32, static_cast<char>(incarnation));
  hello.keeps_origins = true;
  hello.grants_leases = true;
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
      MakeHello("vm", 9),
      Heartbeat{7, true},
      ReserveDecode{kAttempt, ServiceName("s"), RequestClass::kBatch,
                    Tokens(10), Tokens(20), Duration(30), Duration(40), 2,
                    TeamName("t")},
      ReservePrefill{kAttempt, Tokens(10), Duration(30), Duration(40), 3,
                     TeamName("t")},
      Registrations{true, {4, 3}, {{"u", {4, 2}, "{}"}}},
      CrashNotice{77, UpstreamName("u")},
      PoolRates{1.5, 2.5},
      PromptPartNotice{PromptPartName("p"), UpstreamName("u"), Duration(4)},
      RateLimitNotice{UpstreamName("u"), 5.7, Duration(4)},
      PermitRequest{8, Duration(3), {UpstreamName("u"), {}, Duration(4)}},
      PermitAnswer{8, true, Duration(3), 6},
      StreamOrigin{ServiceName("s"), RequestId(4), SoftwareVersion("1.0"),
                   Duration(5)},
      StreamOriginQuery{8, ServiceName("s"), RequestId(4)},
      StreamOriginAnswer{8, SoftwareVersion("1.0")},
      TeamLeaseRequest{8, TeamName("t"), 1, 2, 3, 4},
      TeamLeaseAnswer{8, TeamName("t"), 1, Duration(2), Duration(3), 4, -5},
      TeamLeaseReturn{TeamName("t"), 5},
      StartPrefill{kAttempt, ServiceName("s"), RequestClass::kInteractive,
                   Tokens(10), "text", "{}", Duration(5)},
      StartDecode{kAttempt, "handle", "source", Tokens(1), Tokens(2), 3, "{}"},
      CancelAttempt{kAttempt},
      RenewHolds{{kAttempt, kAttempt}},
      AttachAttempt{kAttempt, 8},
      CallService{kAttempt, ServiceName("s"), "POST", "/p", "t", "k", "b",
                  Duration(9)},
      ReserveGranted{kAttempt, EngineName("e"), 17},
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
                 {load},
                 1.5,
                 2.5,
                 3.5,
                 Duration(4)},
      ConfigurationOffer{Generation(1), true, "c"},
      ConfigurationState{{{VmName("v"), Generation(1), Generation(2)}}}};
}

// Two sessions that have completed the handshake with each other.
struct SessionPair {
  PeerSession accepting{PeerSession::Side::kAccepting, "shared key of tests",
                        MakeHello("a", 1)};
  PeerSession connecting{PeerSession::Side::kConnecting, "shared key of tests",
                         MakeHello("c", 2)};
  std::vector<Message> received;

  SessionPair() {
    CHECK(!connecting.Receive(accepting.StartHandshake(), &received));
    CHECK(!accepting.Receive(connecting.DrainHandshakeReply(), &received));
  }
};

}  // namespace

TEST_GROUP(Codec){};

TEST(Codec, RoundTripsEveryMessage) {
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

TEST(Codec, RejectsCorruptedPayloads) {
  const std::string encoded = EncodeMessages(AllMessages());
  const bool passed = rc::check(
      "a corrupted payload is decoded or rejected without output", [&] {
        std::string corrupted = encoded;
        const auto count = *rc::gen::inRange(1, 8);
        for (int i = 0; i < count; ++i) {
          const auto at = *rc::gen::inRange<size_t>(0, corrupted.size());
          corrupted[at] = *rc::gen::arbitrary<char>();
        }
        corrupted.resize(*rc::gen::inRange<size_t>(0, corrupted.size() + 1));
        std::vector<Message> messages;
        if (!DecodeMessages(corrupted, &messages)) RC_ASSERT(messages.empty());
      });
  CHECK(passed);
}

TEST(Codec, KeepsTheFieldsOfStreamOrigins) {
  std::vector<Message> decoded;
  CHECK(DecodeMessages(
      EncodeMessages(std::vector<Message>{
          StreamOrigin{ServiceName("s"), RequestId(4), SoftwareVersion("1.0"),
                       Duration(5), 2, StreamOwner(6)},
          StreamOriginQuery{8, ServiceName("t"), RequestId(6), StreamOwner(7)},
          StreamOriginAnswer{9, SoftwareVersion("2.0"), Duration(7)},
          StreamOriginAnswer{10, SoftwareVersion()}, MakeHello("vm", 1)}),
      &decoded));
  const auto& origin = std::get<StreamOrigin>(decoded.at(0));
  CHECK(origin.service == ServiceName("s"));
  CHECK(origin.stream == RequestId(4));
  CHECK(origin.version == SoftwareVersion("1.0"));
  CHECK(origin.keep == Duration(5));
  LONGS_EQUAL(2, origin.holder);
  CHECK(origin.owner == StreamOwner(6));
  const auto& query = std::get<StreamOriginQuery>(decoded.at(1));
  LONGS_EQUAL(8, query.id);
  CHECK(query.service == ServiceName("t"));
  CHECK(query.stream == RequestId(6));
  CHECK(query.owner == StreamOwner(7));
  LONGS_EQUAL(9, std::get<StreamOriginAnswer>(decoded.at(2)).id);
  CHECK(std::get<StreamOriginAnswer>(decoded.at(2)).wait == Duration(7));
  CHECK(std::get<StreamOriginAnswer>(decoded.at(2)).version ==
        SoftwareVersion("2.0"));
  CHECK_FALSE(std::get<StreamOriginAnswer>(decoded.at(3)).version.IsValid());
  CHECK(std::get<Hello>(decoded.at(4)).keeps_origins);
}

// Guards against a process that ends the connections of newer ones.
TEST(Codec, LeavesOutMessagesOfUnknownTypes) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::Envelope>> envelopes;
  for (const auto type :
       {static_cast<wire::Body>(200), wire::Body::Heartbeat,
        static_cast<wire::Body>(static_cast<int>(wire::Body::MAX) + 1)}) {
    const auto body = wire::CreateHeartbeat(builder, 7, true);
    envelopes.push_back(wire::CreateEnvelope(builder, type, body.Union()));
  }
  builder.Finish(wire::CreateFrame(builder, builder.CreateVector(envelopes)));
  std::vector<Message> decoded;
  CHECK(
      DecodeMessages({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                      builder.GetSize()},
                     &decoded));
  LONGS_EQUAL(1, decoded.size());
  LONGS_EQUAL(7, std::get<Heartbeat>(decoded.front()).sequence);
}

TEST(Codec, RejectsAnEnvelopeWithoutAMessage) {
  flatbuffers::FlatBufferBuilder builder;
  const std::vector<flatbuffers::Offset<wire::Envelope>> envelopes = {
      wire::CreateEnvelope(builder)};
  builder.Finish(wire::CreateFrame(builder, builder.CreateVector(envelopes)));
  std::vector<Message> decoded;
  CHECK_FALSE(
      DecodeMessages({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                      builder.GetSize()},
                     &decoded));
}

TEST_GROUP(Session){};

TEST(Session, CarriesMessagesBothWays) {
  SessionPair pair;
  CHECK(pair.accepting.IsEstablished() && pair.connecting.IsEstablished());
  STRCMP_EQUAL("c", pair.accepting.Peer().vm.Value().c_str());
  std::vector<Message> received;
  CHECK(!pair.accepting.Receive(pair.connecting.EncodeFrame(AllMessages()),
                                &received));
  LONGS_EQUAL(AllMessages().size(), received.size());
  CHECK(!pair.connecting.Receive(pair.accepting.EncodeFrame({Heartbeat{1}}),
                                 &received));
  LONGS_EQUAL(AllMessages().size() + 1, received.size());
}

TEST(Session, AcceptsBytesOneAtATime) {
  SessionPair pair;
  std::string bytes = pair.connecting.EncodeFrame({Heartbeat{1}});
  bytes += pair.connecting.EncodeFrame({Heartbeat{2}});
  std::vector<Message> received;
  for (const char c : bytes) {
    CHECK(!pair.accepting.Receive(std::string(1, c), &received));
  }
  LONGS_EQUAL(2, received.size());
}

TEST(Session, RejectsAnotherSharedKey) {
  PeerSession accepting(PeerSession::Side::kAccepting, "shared key of tests",
                        MakeHello("a", 1));
  PeerSession connecting(PeerSession::Side::kConnecting, "another key of mine",
                         MakeHello("c", 2));
  std::vector<Message> received;
  CHECK(connecting.Receive(accepting.StartHandshake(), &received) ==
        make_error_code(ErrorKind::kPeerRefused));
}

TEST(Session, RejectsReplayedReflectedAndForeignFrames) {
  SessionPair pair;
  SessionPair other;
  const std::string frame = pair.connecting.EncodeFrame({Heartbeat{1}});
  std::vector<Message> received;
  CHECK(!pair.accepting.Receive(frame, &received));
  CHECK(pair.accepting.Receive(frame, &received).value() != 0);
  CHECK(pair.connecting.Receive(frame, &received).value() != 0);
  LONGS_EQUAL(1, received.size());
  // A session with the same shared key and Hello, except for the nonce.
  PeerSession other_session(PeerSession::Side::kAccepting,
                            "shared key of tests", [] {
                              Hello hello = MakeHello("a", 1);
                              hello.nonce = std::string(32, 'x');
                              return hello;
                            }());
  other_session.StartHandshake();
  CHECK(other_session.Receive(frame, &received).value() != 0);
}

TEST(Session, RejectsAnyChangedBit) {
  const bool passed = rc::check("a modified frame is rejected", [] {
    SessionPair pair;
    std::string frame =
        pair.connecting.EncodeFrame({Heartbeat{1}, Heartbeat{2}});
    const auto at = *rc::gen::inRange<size_t>(0, frame.size());
    const auto bit = *rc::gen::inRange(0, 8);
    frame[at] = static_cast<char>(frame[at] ^ (1 << bit));
    std::vector<Message> received;
    pair.accepting.Receive(frame, &received);
    RC_ASSERT(received.empty());
  });
  CHECK(passed);
}

TEST(Session, RejectsOversizedFrames) {
  SessionPair pair;
  std::vector<Message> received;
  CHECK(pair.accepting.Receive(std::string(64, '\xff'), &received) ==
        make_error_code(ErrorKind::kBadRequest));
}

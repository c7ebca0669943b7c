// Tests of module transport: peer connections over loopback sockets.

#include "burdockhill/transport.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>

#include "tests/free_port.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

// Longest wait for an expected event; only a failing test reaches it.
constexpr std::chrono::seconds kWaitTimeout{10};

// Records the events of a peer connection.
struct PeerEventRecorder : PeerEvents {
  void OnPeerUp(const Hello& peer) override { up.push_back(peer.vm.Value()); }
  void OnPeerDown(const VmName& vm) override { down.push_back(vm.Value()); }
  void OnMessage(const VmName&, const Message& message) override {
    messages.push_back(message);
  }
  std::vector<std::string> up;
  std::vector<std::string> down;
  std::vector<Message> messages;
};

PeerTransport::Options PeerOptions(const std::string& vm, const FreePort& port,
                                   const std::string& key) {
  PeerTransport::Options options;
  options.listen = port.Loopback();
  options.shared_key = key;
  options.self.vm = VmName(vm);
  options.self.incarnation = Incarnation(vm.front());
  return options;
}

}  // namespace

TEST_GROUP(Peers) {
  const FreePort port_a;
  const FreePort port_b;
  EventLoop loop;
  Random random{1};
  SystemClock clock;
  PeerEventRecorder events_a;
  PeerEventRecorder events_b;
  std::unique_ptr<PeerTransport> a;
  std::unique_ptr<PeerTransport> b;

  void ConnectPeers(const std::string& key_a, const std::string& key_b) {
    a = std::make_unique<PeerTransport>(&loop, PeerOptions("a", port_a, key_a),
                                        &random);
    b = std::make_unique<PeerTransport>(&loop, PeerOptions("b", port_b, key_b),
                                        &random);
    a->SetEvents(&events_a);
    b->SetEvents(&events_b);
    a->Connect(VmName("b"), port_b.Text());
  }

  // Runs the event loop until `done` returns true; fails after kWaitTimeout.
  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = clock.Now() + kWaitTimeout;
    while (!done() && clock.Now() < end) {
      a->Flush(clock.Now());
      b->Flush(clock.Now());
      loop.WakeAfter(std::chrono::milliseconds(1));
      loop.RunOnce();
    }
    CHECK(done());
  }
};

TEST(Peers, ExchangeMessagesInBothDirections) {
  ConnectPeers("shared key of tests", "shared key of tests");
  RunUntil([&] { return !events_a.up.empty() && !events_b.up.empty(); });
  a->Send(VmName("b"), Heartbeat{1, false});
  b->Send(VmName("a"), Heartbeat{2, true});
  RunUntil(
      [&] { return !events_a.messages.empty() && !events_b.messages.empty(); });
}

TEST(Peers, ANewConnectionReplacesTheOldOneWithoutPeerDown) {
  ConnectPeers("shared key of tests", "shared key of tests");
  RunUntil([&] { return events_b.up.size() == 1; });
  a->Connect(VmName("b"), port_b.Text());
  RunUntil([&] { return events_b.up.size() == 2 && events_a.up.size() == 2; });
  a->Send(VmName("b"), Heartbeat{1, false});
  RunUntil([&] { return events_b.messages.size() == 1; });
  LONGS_EQUAL(0, events_a.down.size());
}

TEST(Peers, AWrongKeyIsRejected) {
  ConnectPeers("shared key of tests", "quite another key!!");
  for (int i = 0; i < 200; ++i) {
    a->Flush(clock.Now());
    b->Flush(clock.Now());
    loop.WakeAfter(std::chrono::milliseconds(1));
    loop.RunOnce();
  }
  LONGS_EQUAL(0, events_a.up.size());
  LONGS_EQUAL(0, events_b.up.size());
}

TEST(Peers, ReportADisconnectedPeer) {
  ConnectPeers("shared key of tests", "shared key of tests");
  RunUntil([&] { return !events_b.up.empty(); });
  a->Disconnect(VmName("b"));
  RunUntil([&] { return events_b.down.size() == 1; });
}

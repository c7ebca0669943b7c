// Module routing: the order of holders, and the copies of streams' origins that
// peers hold.

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/routing.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

namespace {

VmName Vm(int index) { return VmName("vm-" + std::to_string(index)); }
ZoneName Zone(int index) {
  return ZoneName("zone-" + std::to_string(index % 3));
}
StreamKey Stream(uint64_t number) {
  return {ServiceName("s"), RequestId(number)};
}

}  // namespace

TEST_GROUP(HolderOrder){};

TEST(HolderOrder, DoesNotDependOnWhenProcessesBecameKnown) {
  HolderOrder one;
  HolderOrder other;
  for (int i = 0; i < 20; ++i) one.Add(Vm(i), Zone(i));
  for (int i = 19; i >= 0; --i) other.Add(Vm(i), Zone(i));
  for (uint64_t item = 1; item < 100; ++item) {
    CHECK(one.First(item, 5) == other.First(item, 5));
  }
}

TEST(HolderOrder, NeighborsAreOfDifferentZones) {
  HolderOrder order;
  std::map<VmName, ZoneName> zones;
  for (int i = 0; i < 30; ++i) {
    order.Add(Vm(i), Zone(i));
    zones[Vm(i)] = Zone(i);
  }
  for (uint64_t item = 1; item < 100; ++item) {
    std::set<ZoneName> of_first;
    for (const VmName& vm : order.First(item, 3)) of_first.insert(zones[vm]);
    LONGS_EQUAL(3, of_first.size());
  }
}

TEST(HolderOrder, AProcessThatComesMovesOnlyItsOwnItems) {
  HolderOrder before;
  for (int i = 0; i < 9; ++i) before.Add(Vm(i), Zone(0));
  HolderOrder after = before;
  after.Add(Vm(9), Zone(0));
  for (uint64_t item = 1; item < 200; ++item) {
    std::vector<VmName> order = after.First(item, 10);
    std::erase(order, Vm(9));
    CHECK(before.First(item, 9) == order);
  }
}

TEST(HolderOrder, GivesAllIfThereAreFewer) {
  HolderOrder order;
  LONGS_EQUAL(0, order.First(1, 2).size());
  order.Add(Vm(0), Zone(0));
  LONGS_EQUAL(1, order.First(1, 2).size());
}

TEST_GROUP(OriginReplicas) {
  static constexpr ReplicaPositions kBoth{0, 2};

  void SetPeers() { m_replicas.SetPeers(m_peers); }
  void Start(int index) {
    m_peers[Vm(index)] = {PeerRunId(++m_last_run), Zone(index)};
    SetPeers();
  }
  void End(int index) {
    m_peers.erase(Vm(index));
    SetPeers();
  }
  // The peers that were told of each stream until nothing more is due.
  void Deliver(const std::vector<OriginReplicas::Copy>& copies) {
    for (const auto& copy : copies) {
      m_holders[copy.stream].insert(m_peers.at(copy.peer).run);
      ++m_sent;
    }
  }
  void DeliverDue() {
    for (int i = 0; i < 100; ++i) Deliver(m_replicas.TakeDue());
  }
  // Copies that peers hold which run now.
  size_t Copies(const StreamKey& stream) {
    size_t count = 0;
    for (const auto& [vm, peer] : m_peers) {
      count += m_holders[stream].count(peer.run);
    }
    return count;
  }

  uint64_t m_last_run = 0;
  std::map<VmName, ReplicaPeer> m_peers;
  std::map<StreamKey, std::set<PeerRunId>> m_holders;
  int m_sent = 0;
  OriginReplicas m_replicas;
};

TEST(OriginReplicas, ThePeersAtThePositionsAreTold) {
  for (int i = 0; i < 6; ++i) Start(i);
  const auto both = m_replicas.Tell(Stream(1), kBoth);
  LONGS_EQUAL(2, both.size());
  const auto second = m_replicas.Tell(Stream(1), {1, 1});
  LONGS_EQUAL(1, second.size());
  CHECK(second[0].peer == both[1].peer);
  LONGS_EQUAL(1, second[0].position);
  DeliverDue();
  LONGS_EQUAL(0, m_sent);
}

// Guards against streams that lose a holder with each process that ends.
TEST(OriginReplicas, TheNextPeerIsToldWhenOneEnds) {
  for (int i = 0; i < 12; ++i) Start(i);
  for (uint64_t i = 1; i <= 50; ++i) {
    Deliver(m_replicas.Tell(Stream(i), kBoth));
  }
  for (int ended = 0; ended < 10; ++ended) {
    End(ended);
    DeliverDue();
    for (uint64_t i = 1; i <= 50; ++i) CHECK(Copies(Stream(i)) >= 2);
  }
}

// Guards against a process that starts anew and is told nothing.
TEST(OriginReplicas, APeerThatStartsAnewIsToldWhatItHeld) {
  for (int i = 0; i < 2; ++i) Start(i);
  for (uint64_t i = 1; i <= 50; ++i) {
    Deliver(m_replicas.Tell(Stream(i), kBoth));
  }
  Start(0);
  DeliverDue();
  for (uint64_t i = 1; i <= 50; ++i) LONGS_EQUAL(2, Copies(Stream(i)));
  LONGS_EQUAL(150, m_sent);
}

// Guards against holders that a search no longer asks, as the order begins with
// others since.
TEST(OriginReplicas, PeersThatComeAreToldTheStreamsOfTheirPositions) {
  Start(100);
  for (uint64_t i = 1; i <= 50; ++i) {
    Deliver(m_replicas.Tell(Stream(i), kBoth));
  }
  for (int i = 0; i < 40; ++i) Start(i);
  DeliverDue();
  HolderOrder order;
  for (const auto& [vm, peer] : m_peers) order.Add(vm, peer.zone);
  for (uint64_t i = 1; i <= 50; ++i) {
    for (const VmName& vm : order.First(HashStream(Stream(i)), 2)) {
      CHECK(m_holders[Stream(i)].contains(m_peers.at(vm).run));
    }
  }
}

TEST(OriginReplicas, StreamsThatPeersHoldAlreadyAreNotTold) {
  for (int i = 0; i < 6; ++i) Start(i);
  m_replicas.AddHeld(Stream(1), kBoth);
  DeliverDue();
  LONGS_EQUAL(0, m_sent);
}

TEST(OriginReplicas, AStreamWithoutPeersIsToldOnceThereAreSome) {
  LONGS_EQUAL(0, m_replicas.Tell(Stream(1), kBoth).size());
  Start(0);
  DeliverDue();
  LONGS_EQUAL(1, Copies(Stream(1)));
  Start(1);
  DeliverDue();
  LONGS_EQUAL(2, Copies(Stream(1)));
}

TEST(OriginReplicas, ManyStreamsAreMovedInBatches) {
  for (int i = 0; i < 4; ++i) Start(i);
  for (uint64_t i = 1; i <= 1000; ++i) {
    Deliver(m_replicas.Tell(Stream(i), kBoth));
  }
  End(0);
  End(1);
  for (int i = 0; i < 30; ++i) {
    const auto due = m_replicas.TakeDue();
    CHECK(due.size() <=
          2 * (OriginReplicas::kMaxMoved + OriginReplicas::kMaxCompared));
    Deliver(due);
  }
  DeliverDue();
  for (uint64_t i = 1; i <= 1000; ++i) LONGS_EQUAL(2, Copies(Stream(i)));
}

TEST(OriginReplicas, ForgetsTheStreamsThatAreNotInMemory) {
  ManualClock clock;
  StreamOriginMemory memory;
  Start(0);
  for (uint64_t i = 1; i <= 3; ++i) m_replicas.Tell(Stream(i), kBoth);
  memory.Record(Stream(2), SoftwareVersion("1"), seconds(10), clock.Now());
  m_replicas.DropEnded(memory);
  LONGS_EQUAL(1, m_replicas.Size());
  Start(0);
  DeliverDue();
  LONGS_EQUAL(1, m_sent);
  LONGS_EQUAL(1, Copies(Stream(2)));
}

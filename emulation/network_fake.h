#ifndef BURDOCKHILL_EMULATION_NETWORK_FAKE_H_
#define BURDOCKHILL_EMULATION_NETWORK_FAKE_H_

#include <map>
#include <set>
#include <utility>

#include "emulation/event_queue.h"
#include "emulation/node.h"

namespace burdockhill::emulation {

// Chances of faults on each message, in a thousand.
struct NetworkFaults {
  uint64_t duplicate = 0;
  uint64_t reorder = 0;
};

// Connections between processes. A message is delivered in order and once
// unless a fault is set; a broken connection loses what is on its way; a
// silent one loses everything and neither end is told.
class NetworkFake {
 public:
  NetworkFake(EventQueue* queue, Random* random)
      : m_queue(queue), m_random(random) {}

  void AddNode(Node* node) { m_nodes[node->Self().vm] = node; }

  void SetFaults(const NetworkFaults& faults) { m_faults = faults; }
  void SetDelay(Duration delay) { m_delay = delay; }

  // For the process `from`; see PeerLink.
  void Connect(const VmName& from, const VmName& to);
  void Disconnect(const VmName& from, const VmName& to);
  void Send(const VmName& from, const VmName& to, const Message& message);

  // Faults. A cut link takes no new connections and breaks those there are; a
  // silent one only swallows what is sent on the present connection.
  void Break(const VmName& a, const VmName& b);
  void Silence(const VmName& a, const VmName& b);
  void Cut(const VmName& a, const VmName& b);
  void Heal(const VmName& a, const VmName& b);
  // The process has crashed: its connections break.
  void OnCrash(const VmName& vm);
  // Tries again to connect for every process that wants to.
  void Redial();

  uint64_t Messages() const { return m_messages; }

 private:
  using Pair = std::pair<VmName, VmName>;  // Sorted.
  struct Connection {
    uint64_t id = 0;  // 0 when there is none.
    bool silent = false;
  };

  static Pair PairOf(const VmName& a, const VmName& b) {
    return a < b ? Pair(a, b) : Pair(b, a);
  }
  Node* NodeOf(const VmName& vm);
  void Establish(const VmName& from, const VmName& to);
  void Deliver(const VmName& from, const VmName& to, uint64_t connection,
               const Message& message, Duration delay);
  void TellDown(const VmName& whom, const VmName& about);

  EventQueue* m_queue;
  Random* m_random;
  NetworkFaults m_faults;
  Duration m_delay = std::chrono::microseconds(300);
  uint64_t m_next_id = 0;
  uint64_t m_messages = 0;
  std::map<VmName, Node*> m_nodes;
  std::map<Pair, Connection> m_connections;
  std::set<Pair> m_cut;
  std::set<Pair> m_wanted;  // (from, to), not sorted.
};

// The link of one process onto the network.
class LinkFake : public PeerLink {
 public:
  LinkFake(NetworkFake* network, VmName self)
      : m_network(network), m_self(std::move(self)) {}
  void Connect(const VmName& vm, const std::string& /*address*/) override {
    m_network->Connect(m_self, vm);
  }
  void Disconnect(const VmName& vm) override {
    m_network->Disconnect(m_self, vm);
  }
  void Send(const VmName& vm, Message message) override {
    m_network->Send(m_self, vm, message);
  }

 private:
  NetworkFake* m_network;
  VmName m_self;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_NETWORK_FAKE_H_

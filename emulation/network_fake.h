#ifndef BURDOCKHILL_EMULATION_NETWORK_FAKE_H_
#define BURDOCKHILL_EMULATION_NETWORK_FAKE_H_

#include <map>
#include <set>
#include <utility>

#include "emulation/event_queue.h"
#include "emulation/node.h"

namespace burdockhill::emulation {

// Probabilities of faults for each message, in thousandths.
struct NetworkFaults {
  uint64_t duplicate = 0;
  uint64_t reorder = 0;
};

// Connections between the processes of an emulated deployment. Without faults
// each message is delivered once and in order. A broken connection loses the
// messages in flight, and both ends are notified. A silent connection drops
// every message, and neither end is notified.
class NetworkFake {
 public:
  NetworkFake(EventQueue* queue, Random* random)
      : m_queue(queue), m_random(random) {}

  void AddNode(Node* node) { m_nodes[node->Self().vm] = node; }

  void SetFaults(const NetworkFaults& faults) { m_faults = faults; }
  void SetDelay(Duration delay) { m_delay = delay; }

  // Called on behalf of the process on `from`; see PeerLink.
  void Connect(const VmName& from, const VmName& to);
  void Disconnect(const VmName& from, const VmName& to);
  void Send(const VmName& from, const VmName& to, const Message& message);

  // Faults between two VMs. BreakConnection() closes the connection and
  // notifies both ends. SilenceConnection() drops all messages of the current
  // connection. PartitionLink() does the same and also prevents new connections
  // until HealLink().
  void BreakConnection(const VmName& a, const VmName& b);
  void SilenceConnection(const VmName& a, const VmName& b);
  void PartitionLink(const VmName& a, const VmName& b);
  void HealLink(const VmName& a, const VmName& b);
  // Breaks the connections of a process that has crashed.
  void OnCrash(const VmName& vm);
  // Retries every requested connection that is not established.
  void ReconnectAll();

  uint64_t MessageCount() const { return m_messages; }

 private:
  using VmPair = std::pair<VmName, VmName>;  // In ascending order.
  struct Connection {
    uint64_t id = 0;  // 0 when there is none.
    bool silent = false;
  };

  static VmPair PairOf(const VmName& a, const VmName& b) {
    return a < b ? VmPair(a, b) : VmPair(b, a);
  }
  Node* FindNode(const VmName& vm);
  void Establish(const VmName& from, const VmName& to);
  void Deliver(const VmName& from, const VmName& to, uint64_t connection,
               const Message& message, Duration delay);
  void NotifyPeerDown(const VmName& receiver, const VmName& peer);

  EventQueue* m_queue;
  Random* m_random;
  NetworkFaults m_faults;
  Duration m_delay = std::chrono::microseconds(300);
  uint64_t m_next_id = 0;
  uint64_t m_messages = 0;
  std::map<VmName, Node*> m_nodes;
  std::map<VmPair, Connection> m_connections;
  std::set<VmPair> m_partitioned;
  std::set<VmPair>
      m_requested;  // (from, to) of the connections that were requested.
};

// Connects one process to the network.
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

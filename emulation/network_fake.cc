#include "emulation/network_fake.h"

#include <vector>

namespace burdockhill::emulation {

namespace {
constexpr uint64_t kMille = 1000;
constexpr Duration kReorderDelay = std::chrono::milliseconds(5);
constexpr Duration kDuplicateDelay = std::chrono::milliseconds(20);
}  // namespace

void NetworkFake::Connect(const VmName& from, const VmName& to) {
  m_requested.insert({from, to});
  m_queue->Schedule(m_delay, [this, from, to] { Establish(from, to); });
}

void NetworkFake::Disconnect(const VmName& from, const VmName& to) {
  m_requested.erase({from, to});
  Connection& connection = m_connections[PairOf(from, to)];
  if (connection.id == 0) return;
  connection = {};
  NotifyPeerDown(to, from);
}

void NetworkFake::Send(const VmName& from, const VmName& to,
                       const Message& message) {
  const Connection& connection = m_connections[PairOf(from, to)];
  if (connection.id == 0) return;
  ++m_messages;
  Duration delay = m_delay;
  if (m_random->UniformBelow(kMille) < m_faults.reorder) delay += kReorderDelay;
  Deliver(from, to, connection.id, message, delay);
  if (m_random->UniformBelow(kMille) < m_faults.duplicate) {
    Deliver(from, to, connection.id, message, delay + kDuplicateDelay);
  }
}

void NetworkFake::BreakConnection(const VmName& a, const VmName& b) {
  Connection& connection = m_connections[PairOf(a, b)];
  if (connection.id == 0) return;
  connection = {};
  NotifyPeerDown(a, b);
  NotifyPeerDown(b, a);
}

void NetworkFake::SilenceConnection(const VmName& a, const VmName& b) {
  m_connections[PairOf(a, b)].silent = true;
}

void NetworkFake::PartitionLink(const VmName& a, const VmName& b) {
  m_partitioned.insert(PairOf(a, b));
  SilenceConnection(a, b);
}

void NetworkFake::HealLink(const VmName& a, const VmName& b) {
  m_partitioned.erase(PairOf(a, b));
}

void NetworkFake::OnCrash(const VmName& vm) {
  std::vector<VmName> peers;
  for (const auto& [pair, connection] : m_connections) {
    if (connection.id == 0) continue;
    if (pair.first == vm) peers.push_back(pair.second);
    if (pair.second == vm) peers.push_back(pair.first);
  }
  for (const VmName& peer : peers) {
    const bool silent = m_connections[PairOf(vm, peer)].silent;
    m_connections[PairOf(vm, peer)] = {};
    if (!silent) NotifyPeerDown(peer, vm);
  }
  std::erase_if(m_requested,
                [&](const VmPair& pair) { return pair.first == vm; });
}

void NetworkFake::ReconnectAll() {
  for (const auto& [from, to] : m_requested) {
    if (m_connections[PairOf(from, to)].id == 0) Establish(from, to);
  }
}

Node* NetworkFake::FindNode(const VmName& vm) {
  const auto found = m_nodes.find(vm);
  return found == m_nodes.end() ? nullptr : found->second;
}

void NetworkFake::Establish(const VmName& from, const VmName& to) {
  Node* connecting = FindNode(from);
  Node* accepting = FindNode(to);
  const bool possible = connecting != nullptr && accepting != nullptr &&
                        connecting->IsUp() && accepting->IsUp() &&
                        !connecting->IsPaused() && !accepting->IsPaused() &&
                        !m_partitioned.contains(PairOf(from, to)) &&
                        m_requested.contains({from, to});
  if (!possible) return;
  m_connections[PairOf(from, to)] = {++m_next_id, false};
  accepting->RunInEpoch(accepting->Epoch(), [=] {
    accepting->Events()->OnPeerUp(connecting->Self());
  });
  connecting->RunInEpoch(connecting->Epoch(), [=] {
    connecting->Events()->OnPeerUp(accepting->Self());
  });
}

void NetworkFake::Deliver(const VmName& from, const VmName& to, uint64_t id,
                          const Message& message, Duration delay) {
  m_queue->Schedule(delay, [this, from, to, id, message] {
    const Connection& current = m_connections[PairOf(from, to)];
    if (current.id != id || current.silent) return;
    Node* node = FindNode(to);
    node->RunInEpoch(node->Epoch(), [this, node, from, to, id, message] {
      if (m_connections[PairOf(from, to)].id != id) return;
      node->Events()->OnMessage(from, message);
    });
  });
}

void NetworkFake::NotifyPeerDown(const VmName& receiver, const VmName& peer) {
  Node* node = FindNode(receiver);
  if (node == nullptr) return;
  const uint64_t epoch = node->Epoch();
  m_queue->Schedule(m_delay, [this, node, epoch, receiver, peer] {
    if (m_connections[PairOf(receiver, peer)].id != 0) return;
    node->RunInEpoch(epoch, [node, peer] { node->Events()->OnPeerDown(peer); });
  });
}

}  // namespace burdockhill::emulation

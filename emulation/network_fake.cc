#include "emulation/network_fake.h"

#include <vector>

namespace burdockhill::emulation {

namespace {
constexpr uint64_t kThousand = 1000;
constexpr Duration kReorderDelay = std::chrono::milliseconds(5);
constexpr Duration kDuplicateDelay = std::chrono::milliseconds(20);
}  // namespace

void NetworkFake::Connect(const VmName& from, const VmName& to) {
  m_wanted.insert({from, to});
  m_queue->Schedule(m_delay, [this, from, to] { Establish(from, to); });
}

void NetworkFake::Disconnect(const VmName& from, const VmName& to) {
  m_wanted.erase({from, to});
  Connection& connection = m_connections[PairOf(from, to)];
  if (connection.id == 0) return;
  connection = {};
  TellDown(to, from);
}

void NetworkFake::Send(const VmName& from, const VmName& to,
                       const Message& message) {
  const Connection& connection = m_connections[PairOf(from, to)];
  if (connection.id == 0) return;
  ++m_messages;
  Duration delay = m_delay;
  if (m_random->UniformBelow(kThousand) < m_faults.reorder)
    delay += kReorderDelay;
  Deliver(from, to, connection.id, message, delay);
  if (m_random->UniformBelow(kThousand) < m_faults.duplicate) {
    Deliver(from, to, connection.id, message, delay + kDuplicateDelay);
  }
}

void NetworkFake::Break(const VmName& a, const VmName& b) {
  Connection& connection = m_connections[PairOf(a, b)];
  if (connection.id == 0) return;
  connection = {};
  TellDown(a, b);
  TellDown(b, a);
}

void NetworkFake::Silence(const VmName& a, const VmName& b) {
  m_connections[PairOf(a, b)].silent = true;
}

void NetworkFake::Cut(const VmName& a, const VmName& b) {
  m_cut.insert(PairOf(a, b));
  Silence(a, b);
}

void NetworkFake::Heal(const VmName& a, const VmName& b) {
  m_cut.erase(PairOf(a, b));
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
    if (!silent) TellDown(peer, vm);
  }
  std::erase_if(m_wanted, [&](const Pair& pair) { return pair.first == vm; });
}

void NetworkFake::Redial() {
  for (const auto& [from, to] : m_wanted) {
    if (m_connections[PairOf(from, to)].id == 0) Establish(from, to);
  }
}

Node* NetworkFake::NodeOf(const VmName& vm) {
  const auto found = m_nodes.find(vm);
  return found == m_nodes.end() ? nullptr : found->second;
}

void NetworkFake::Establish(const VmName& from, const VmName& to) {
  Node* dialling = NodeOf(from);
  Node* accepting = NodeOf(to);
  const bool possible =
      dialling != nullptr && accepting != nullptr && dialling->IsUp() &&
      accepting->IsUp() && !dialling->IsPaused() && !accepting->IsPaused() &&
      !m_cut.contains(PairOf(from, to)) && m_wanted.contains({from, to});
  if (!possible) return;
  m_connections[PairOf(from, to)] = {++m_next_id, false};
  accepting->RunInEpoch(accepting->Epoch(), [=] {
    accepting->Events()->OnPeerUp(dialling->Self());
  });
  dialling->RunInEpoch(dialling->Epoch(), [=] {
    dialling->Events()->OnPeerUp(accepting->Self());
  });
}

void NetworkFake::Deliver(const VmName& from, const VmName& to,
                          uint64_t connection, const Message& message,
                          Duration delay) {
  m_queue->Schedule(delay, [this, from, to, connection, message] {
    const Connection& current = m_connections[PairOf(from, to)];
    if (current.id != connection || current.silent) return;
    Node* node = NodeOf(to);
    node->RunInEpoch(node->Epoch(),
                     [this, node, from, to, connection, message] {
                       if (m_connections[PairOf(from, to)].id != connection)
                         return;
                       node->Events()->OnMessage(from, message);
                     });
  });
}

void NetworkFake::TellDown(const VmName& whom, const VmName& about) {
  Node* node = NodeOf(whom);
  if (node == nullptr) return;
  const uint64_t epoch = node->Epoch();
  m_queue->Schedule(m_delay, [this, node, epoch, whom, about] {
    if (m_connections[PairOf(whom, about)].id != 0) return;
    node->RunInEpoch(epoch,
                     [node, about] { node->Events()->OnPeerDown(about); });
  });
}

}  // namespace burdockhill::emulation

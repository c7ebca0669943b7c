#ifndef BURDOCKHILL_EMULATION_NODE_H_
#define BURDOCKHILL_EMULATION_NODE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/base.h"
#include "burdockhill/peer.h"

namespace burdockhill::emulation {

// A VM with one process, an entry or an agent. Each start and each crash of the
// process begins a new epoch; actions that were scheduled for an earlier epoch
// are dropped. A paused process defers actions and runs them all when resumed.
class Node {
 public:
  explicit Node(const Hello& hello) : m_hello(hello) {}
  virtual ~Node() = default;

  virtual PeerEvents* Events() = 0;  // Null while the process is down.
  virtual void Tick() = 0;

  const Hello& Self() const { return m_hello; }
  bool IsUp() const { return m_up; }
  bool IsPaused() const { return m_paused; }
  uint64_t Epoch() const { return m_epoch; }

  // Runs `action` if the process is up and still in epoch `epoch`. While the
  // process is paused, the action is deferred until Resume().
  void RunInEpoch(uint64_t epoch, std::function<void()> action) {
    if (epoch != m_epoch || !m_up) return;
    if (m_paused) {
      m_deferred.push_back(std::move(action));
      return;
    }
    action();
  }

  void Pause() { m_paused = true; }
  void Resume() {
    m_paused = false;
    for (const auto& action : std::exchange(m_deferred, {})) action();
  }

 protected:
  void MarkStarted(Incarnation incarnation) {
    m_hello.incarnation = incarnation;
    m_up = true;
    ++m_epoch;
  }
  void MarkCrashed() {
    m_up = false;
    m_paused = false;
    m_deferred.clear();
    ++m_epoch;
  }

 private:
  Hello m_hello;
  bool m_up = false;
  bool m_paused = false;
  uint64_t m_epoch = 0;
  std::vector<std::function<void()>> m_deferred;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_NODE_H_

#ifndef BURDOCKHILL_EMULATION_ENTRY_FAKE_H_
#define BURDOCKHILL_EMULATION_ENTRY_FAKE_H_

#include <memory>
#include <string>

#include "burdockhill/entry.h"
#include "emulation/event_queue.h"
#include "emulation/network_fake.h"
#include "emulation/node.h"
#include "emulation/store_fake.h"

namespace burdockhill::emulation {

// An entry VM and the entry process on it.
class EntryFake : public Node {
 public:
  EntryFake(const Hello& hello, ManualClock* clock, Random* random,
            NetworkFake* network, PlatformFake* platform, CallerPort* callers)
      : Node(hello),
        m_clock(clock),
        m_random(random),
        m_network(network),
        m_callers(callers),
        m_link(network, hello.vm),
        m_store(platform, this) {}

  PeerEvents* Events() override { return m_core.get(); }
  void Tick() override {
    if (IsUp() && !IsPaused()) m_core->Tick();
  }

  void Start() {
    MarkStarted(Incarnation(m_random->NextId()));
    m_core = std::make_unique<EntryCore>(
        EntryIdentity{Self().vm, Self().zone, Self().region,
                      Self().incarnation},
        m_clock, m_random, &m_link, &m_store, m_callers);
  }

  void Crash() {
    if (!IsUp()) return;
    MarkCrashed();
    m_network->OnCrash(Self().vm);
    m_core.reset();
  }

  EntryCore* Core() { return m_core.get(); }

 private:
  ManualClock* m_clock;
  Random* m_random;
  NetworkFake* m_network;
  CallerPort* m_callers;
  LinkFake m_link;
  StoreFake m_store;
  std::unique_ptr<EntryCore> m_core;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_ENTRY_FAKE_H_

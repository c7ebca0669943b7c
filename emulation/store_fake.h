#ifndef BURDOCKHILL_EMULATION_STORE_FAKE_H_
#define BURDOCKHILL_EMULATION_STORE_FAKE_H_

#include <functional>
#include <list>
#include <string>
#include <vector>

#include "emulation/event_queue.h"
#include "emulation/node.h"
#include "standins/platform_model.h"

namespace burdockhill::emulation {

// Faults of the platform's store.
struct StoreFaults {
  bool outage = false;
  Duration added_latency{0};
  uint64_t lose_answer_per_mille =
      0;  // Probability in thousandths, for applied writes.
  bool watches_miss_changes = false;  // Watches end only by their timeout.
};

// The platform's store, shared by all processes.
class PlatformFake {
 public:
  PlatformFake(EventQueue* queue, ManualClock* clock, Random* random)
      : m_queue(queue), m_clock(clock), m_random(random) {}

  standins::PlatformModel& Model() { return m_model; }
  StoreFaults& Faults() { return m_faults; }
  std::vector<ListedVm>& Vms() { return m_vms; }
  uint64_t ReadCount() const { return m_reads; }
  uint64_t WriteCount() const { return m_writes; }

  // Completes the watches that have changes or have reached their timeout.
  // Called once a tick of the emulation.
  void CompleteWatches();

  // Runs `call` at the platform after the network delay, and then `answer`.
  // Runs `lost` instead of `answer`, after the call timeout, if the platform
  // does not respond.
  void Call(bool is_write, std::function<void()> call,
            std::function<void()> answer, std::function<void()> lost);

  void Watch(const std::vector<std::string>& kinds, uint64_t since,
             ObjectStore::WatchDone done);

 private:
  struct PendingWatch {
    std::vector<std::string> kinds;
    uint64_t since = 0;
    TimePoint deadline{};
    ObjectStore::WatchDone done;
  };

  EventQueue* m_queue;
  ManualClock* m_clock;
  Random* m_random;
  standins::PlatformModel m_model;
  StoreFaults m_faults;
  std::vector<ListedVm> m_vms;
  std::list<PendingWatch> m_pending_watches;
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
};

// Access of one process to the platform's store.
class StoreFake : public ObjectStore {
 public:
  StoreFake(PlatformFake* platform, Node* node)
      : m_platform(platform), m_node(node) {}

  void Get(const ResourceKey& key, GetDone done) override;
  void Put(const ResourceKey& key, const std::string& value,
           uint64_t expected_version, PutDone done) override;
  void Delete(const ResourceKey& key, uint64_t expected_version,
              PutDone done) override;
  void Watch(const std::vector<std::string>& kinds, uint64_t since,
             WatchDone done) override;
  void ListVms(ListDone done) override;

 private:
  // Returns `action` bound to the current epoch of the process.
  std::function<void()> BindToEpoch(std::function<void()> action);
  void Write(std::function<StoreStatus(uint64_t*)> write, const PutDone& done);

  PlatformFake* m_platform;
  Node* m_node;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_STORE_FAKE_H_

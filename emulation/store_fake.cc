#include "emulation/store_fake.h"

#include <memory>
#include <utility>

namespace burdockhill::emulation {

namespace {
constexpr Duration kCallDelay = std::chrono::milliseconds(2);
constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kWatchTimeout = std::chrono::seconds(30);
constexpr uint64_t kPerMille = 1000;
}  // namespace

void PlatformFake::Call(bool is_write, std::function<void()> call,
                        std::function<void()> answer,
                        std::function<void()> lost) {
  ++(is_write ? m_writes : m_reads);
  const Duration delay = kCallDelay + m_faults.added_latency;
  if (m_faults.outage) return m_queue->Schedule(kCallTimeout, std::move(lost));
  const bool loses_answer = is_write && m_random->UniformBelow(kPerMille) <
                                            m_faults.lose_answer_per_mille;
  m_queue->Schedule(
      delay, [this, call = std::move(call), answer = std::move(answer),
              lost = std::move(lost), loses_answer] {
        if (m_faults.outage) return m_queue->Schedule(kCallTimeout, lost);
        call();
        m_queue->Schedule(loses_answer ? kCallTimeout : kCallDelay,
                          loses_answer ? lost : answer);
      });
}

void PlatformFake::Watch(const std::vector<std::string>& kinds, uint64_t since,
                         ObjectStore::WatchDone done) {
  ++m_reads;
  m_pending_watches.push_back(
      {kinds, since, m_clock->Now() + kWatchTimeout, std::move(done)});
}

void PlatformFake::CompleteWatches() {
  for (auto watch = m_pending_watches.begin();
       watch != m_pending_watches.end();) {
    if (!m_model.HasHistorySince(watch->since) && !m_faults.outage) {
      m_queue->Schedule(kCallDelay, [done = std::move(watch->done)] {
        done(StoreStatus::kHistoryGone, {}, 0);
      });
      watch = m_pending_watches.erase(watch);
      continue;
    }
    const bool is_expired = m_clock->Now() >= watch->deadline;
    const auto changes = m_model.ChangesSince(watch->kinds, watch->since);
    const bool has_changes = watch->since == 0 || !changes.empty();
    const bool completes =
        is_expired || (has_changes && !m_faults.watches_miss_changes);
    if (!completes && !m_faults.outage) {
      ++watch;
      continue;
    }
    const auto done = std::move(watch->done);
    watch = m_pending_watches.erase(watch);
    if (m_faults.outage) {
      m_queue->Schedule(kCallDelay,
                        [done] { done(StoreStatus::kUnavailable, {}, 0); });
      continue;
    }
    const uint64_t revision = m_model.Revision();
    m_queue->Schedule(kCallDelay + m_faults.added_latency,
                      [done, changes, revision] {
                        done(StoreStatus::kOk, changes, revision);
                      });
  }
}

std::function<void()> StoreFake::BindToEpoch(std::function<void()> action) {
  Node* node = m_node;
  const uint64_t epoch = node->Epoch();
  return [node, epoch, action = std::move(action)] {
    node->RunInEpoch(epoch, action);
  };
}

void StoreFake::Get(const ResourceKey& key, GetDone done) {
  auto status = std::make_shared<StoreStatus>();
  auto object = std::make_shared<StoredObject>();
  m_platform->Call(
      false,
      [this, key, status, object] {
        *status = m_platform->Model().Get(key, object.get());
      },
      BindToEpoch([done, status, object] { done(*status, *object); }),
      BindToEpoch([done] { done(StoreStatus::kUnavailable, {}); }));
}

void StoreFake::Write(std::function<StoreStatus(uint64_t*)> write,
                      const PutDone& done) {
  auto status = std::make_shared<StoreStatus>();
  auto version = std::make_shared<uint64_t>(0);
  m_platform->Call(
      true,
      [write = std::move(write), status, version] {
        *status = write(version.get());
      },
      BindToEpoch([done, status, version] { done(*status, *version); }),
      BindToEpoch([done] { done(StoreStatus::kUnavailable, 0); }));
}

void StoreFake::Put(const ResourceKey& key, const std::string& value,
                    uint64_t expected_version, PutDone done) {
  Write(
      [=, this](uint64_t* version) {
        return m_platform->Model().Put(key, value, expected_version, version);
      },
      done);
}

void StoreFake::Delete(const ResourceKey& key, uint64_t expected_version,
                       PutDone done) {
  Write(
      [=, this](uint64_t* version) {
        return m_platform->Model().Delete(key, expected_version, version);
      },
      done);
}

void StoreFake::Watch(const std::vector<std::string>& kinds, uint64_t since,
                      WatchDone done) {
  Node* node = m_node;
  const uint64_t epoch = node->Epoch();
  m_platform->Watch(
      kinds, since,
      [node, epoch, done = std::move(done)](
          StoreStatus status, const std::vector<StoredObject>& changes,
          uint64_t revision) {
        node->RunInEpoch(epoch, [=] { done(status, changes, revision); });
      });
}

void StoreFake::ListVms(ListDone done) {
  auto vms = std::make_shared<std::vector<ListedVm>>();
  m_platform->Call(
      false, [this, vms] { *vms = m_platform->Vms(); },
      BindToEpoch([done, vms] { done(StoreStatus::kOk, *vms); }),
      BindToEpoch([done] { done(StoreStatus::kUnavailable, {}); }));
}

}  // namespace burdockhill::emulation

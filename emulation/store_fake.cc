#include "emulation/store_fake.h"

#include <memory>
#include <utility>

namespace burdockhill::emulation {

namespace {
constexpr Duration kCallDelay = std::chrono::milliseconds(2);
constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kLongestWatch = std::chrono::seconds(30);
constexpr uint64_t kThousand = 1000;
}  // namespace

void PlatformFake::Call(bool is_write, std::function<void()> call,
                        std::function<void()> answer,
                        std::function<void()> lost) {
  ++(is_write ? m_writes : m_reads);
  const Duration delay = kCallDelay + m_faults.slowness;
  if (m_faults.outage) return m_queue->Schedule(kCallTimeout, std::move(lost));
  const bool lose =
      is_write && m_random->UniformBelow(kThousand) < m_faults.lose_answer;
  m_queue->Schedule(delay, [this, call = std::move(call),
                            answer = std::move(answer), lost = std::move(lost),
                            lose] {
    if (m_faults.outage) return m_queue->Schedule(kCallTimeout, lost);
    call();
    m_queue->Schedule(lose ? kCallTimeout : kCallDelay, lose ? lost : answer);
  });
}

void PlatformFake::Watch(const std::vector<std::string>& kinds, uint64_t since,
                         ObjectStore::WatchDone done) {
  ++m_reads;
  m_waits.push_back(
      {kinds, since, m_clock->Now() + kLongestWatch, std::move(done)});
}

void PlatformFake::AnswerWatches() {
  for (auto wait = m_waits.begin(); wait != m_waits.end();) {
    const bool is_late = m_clock->Now() >= wait->deadline;
    const auto changes = m_model.ChangesSince(wait->kinds, wait->since);
    const bool has_news = wait->since == 0 || !changes.empty();
    const bool answers = is_late || (has_news && !m_faults.skip_watches);
    if (!answers && !m_faults.outage) {
      ++wait;
      continue;
    }
    const auto done = std::move(wait->done);
    wait = m_waits.erase(wait);
    if (m_faults.outage) {
      m_queue->Schedule(kCallDelay,
                        [done] { done(StoreStatus::kUnavailable, {}, 0); });
      continue;
    }
    const uint64_t revision = m_model.Revision();
    m_queue->Schedule(kCallDelay + m_faults.slowness,
                      [done, changes, revision] {
                        done(StoreStatus::kOk, changes, revision);
                      });
  }
}

std::function<void()> StoreFake::InProcess(std::function<void()> action) {
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
      InProcess([done, status, object] { done(*status, *object); }),
      InProcess([done] { done(StoreStatus::kUnavailable, {}); }));
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
      InProcess([done, status, version] { done(*status, *version); }),
      InProcess([done] { done(StoreStatus::kUnavailable, 0); }));
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
      InProcess([done, vms] { done(StoreStatus::kOk, *vms); }),
      InProcess([done] { done(StoreStatus::kUnavailable, {}); }));
}

}  // namespace burdockhill::emulation

#ifndef BURDOCKHILL_EMULATION_EVENT_QUEUE_H_
#define BURDOCKHILL_EMULATION_EVENT_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "burdockhill/base.h"

namespace burdockhill::emulation {

// Runs actions at given times of a manual clock. Actions due at the same time
// run in the order in which they were added.
class EventQueue {
 public:
  explicit EventQueue(ManualClock* clock) : m_clock(clock) {}

  void Schedule(Duration delay, std::function<void()> action) {
    m_events.emplace(std::pair(m_clock->Now() + delay, m_next_order++),
                     std::move(action));
  }

  // Runs all actions due up to `until`, advancing the clock to the time of each
  // and at the end to `until`. Calls `after_each` after each action.
  void RunUntil(TimePoint until, const std::function<void()>& after_each) {
    while (!m_events.empty() && m_events.begin()->first.first <= until) {
      const TimePoint at = m_events.begin()->first.first;
      if (at > m_clock->Now()) m_clock->Advance(at - m_clock->Now());
      const std::function<void()> action = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      action();
      after_each();
    }
    if (until > m_clock->Now()) m_clock->Advance(until - m_clock->Now());
  }

 private:
  ManualClock* m_clock;
  uint64_t m_next_order = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> m_events;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_EVENT_QUEUE_H_

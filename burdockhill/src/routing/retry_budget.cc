#include "burdockhill/src/routing/retry_budget.h"

namespace burdockhill {

namespace {

void DropBefore(std::deque<TimePoint>* times, TimePoint start) {
  while (!times->empty() && times->front() < start) times->pop_front();
}

}  // namespace

RetryBudget::Window& RetryBudget::CurrentWindow(const ServiceName& service,
                                                TimePoint now) {
  Window& window = m_windows[service];
  DropBefore(&window.requests, now - m_limits.window);
  DropBefore(&window.retries, now - m_limits.window);
  return window;
}

void RetryBudget::CountRequest(const ServiceName& service, TimePoint now) {
  CurrentWindow(service, now).requests.push_back(now);
}

bool RetryBudget::HasRoom(const Window& window, int retries) const {
  const double allowed =
      m_limits.ratio * static_cast<double>(window.requests.size()) +
      m_limits.reserve;
  return static_cast<double>(window.retries.size()) + retries <= allowed;
}

bool RetryBudget::Allows(const ServiceName& service, TimePoint now) {
  return HasRoom(CurrentWindow(service, now), 1);
}

RetryBudget::Usage RetryBudget::UsageOf(const ServiceName& service,
                                        TimePoint now) {
  const Window& window = CurrentWindow(service, now);
  return {window.requests.size(), window.retries.size()};
}

bool RetryBudget::TrySpend(const ServiceName& service, TimePoint now,
                           int retries) {
  if (retries == 0) return true;
  Window& window = CurrentWindow(service, now);
  if (!HasRoom(window, retries)) return false;
  window.retries.insert(window.retries.end(), static_cast<size_t>(retries),
                        now);
  return true;
}

}  // namespace burdockhill

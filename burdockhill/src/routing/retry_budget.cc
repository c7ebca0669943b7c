#include "burdockhill/src/routing/retry_budget.h"

#include <algorithm>

namespace burdockhill {

namespace {

// Returns how many were dropped.
size_t DropBefore(std::deque<TimePoint>* times, TimePoint start) {
  size_t dropped = 0;
  for (; !times->empty() && times->front() < start; ++dropped) {
    times->pop_front();
  }
  return dropped;
}

}  // namespace

RetryBudget::Window& RetryBudget::CurrentWindow(const ServiceName& service,
                                                TimePoint now) {
  const auto [found, is_new] = m_windows.try_emplace(service);
  Window& window = found->second;
  if (is_new && m_random != nullptr) {
    window.drawn_share = m_random->UniformDouble();
  }
  const TimePoint start = now - m_limits.window;
  const size_t requests = DropBefore(&window.requests, start);
  const size_t retries = DropBefore(&window.retries, start);
  const double unspent = m_limits.ratio * static_cast<double>(requests) -
                         static_cast<double>(retries);
  window.earned =
      std::clamp<double>(window.earned + unspent, 0, m_limits.reserve);
  return window;
}

void RetryBudget::CountRequest(const ServiceName& service, TimePoint now) {
  CurrentWindow(service, now).requests.push_back(now);
}

bool RetryBudget::HasRoom(const Window& window, int retries) const {
  const double reserve = std::min<double>(
      m_limits.reserve, window.drawn_share * m_limits.reserve + window.earned);
  const double allowed =
      m_limits.ratio * static_cast<double>(window.requests.size()) + reserve;
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

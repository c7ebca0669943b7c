#include "burdockhill/src/routing/reservation_queue.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// Bounds of the time after which a refused caller may retry.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
// A reservation is refused early only if its expected wait exceeds the time
// left by this factor: half of the waits turn out shorter, and a caller that is
// refused by one engine after the other waits longer than in one queue.
constexpr double kEarlyRefusalFactor = 1.5;
// How much earlier a target has to be to outweigh one level of priority: a
// third of the usual latency target for a first event.
constexpr Duration kPriorityStep = std::chrono::milliseconds(300);

// A team or priority that is short of service goes first when this share of the
// time to its target is left.
constexpr int kNearTargetShare = 4;
// Charges of grants that nobody settles are forgotten after this long.
constexpr Duration kChargeLifetime = std::chrono::minutes(2);
constexpr Duration kChargeExpiryInterval = std::chrono::seconds(10);

double Cost(const Reservation& reservation) {
  return static_cast<double>(
      (reservation.prompt + reservation.estimated_output).Value());
}

}  // namespace

void ReservationQueue::Enqueue(const Reservation& reservation) {
  Duration& span = m_target_spans[reservation.priority];
  span = std::max(span, reservation.target_by - reservation.queued_at);
  m_waiting.push_back(reservation);
}

Duration ReservationQueue::TargetSpan(int priority) const {
  const auto found = m_target_spans.find(priority);
  return found == m_target_spans.end() ? Duration(0) : found->second;
}

ReservationQueue::Candidate ReservationQueue::MakeCandidate(
    const Reservation& reservation, TimePoint now) const {
  const Duration span = TargetSpan(reservation.priority);
  Candidate candidate;
  candidate.reservation = reservation;
  candidate.is_late = reservation.target_by <= now;
  candidate.key = (candidate.is_late ? now + span : reservation.target_by) +
                  reservation.priority * kPriorityStep;
  candidate.is_short = reservation.target_by - now <= span / kNearTargetShare &&
                       (m_shares.IsPriorityShort(reservation.priority, now) ||
                        m_shares.IsTeamShort(reservation.team, now));
  return candidate;
}

size_t ReservationQueue::PickNext(const std::vector<Candidate>& candidates,
                                  const std::vector<double>& received) const {
  const auto goes_before = [](const Candidate& a, const Candidate& b) {
    if (a.is_short != b.is_short) return a.is_short;
    return std::pair(a.key, a.reservation.target_by) <
           std::pair(b.key, b.reservation.target_by);
  };
  const auto first =
      std::min_element(candidates.begin(), candidates.end(), goes_before);
  // Those among which the teams' service decides.
  const auto is_peer = [&](const Candidate& candidate) {
    return candidate.reservation.priority == first->reservation.priority &&
           candidate.is_late == first->is_late &&
           candidate.is_short == first->is_short;
  };
  double lowest = received[first->team];
  for (const Candidate& candidate : candidates) {
    if (is_peer(candidate)) {
      lowest = std::min(lowest, received[candidate.team]);
    }
  }
  // Differences up to a request of mean size are left to the targets.
  const double limit = lowest + m_shares.MeanRequestTokens();
  auto best = candidates.end();
  for (auto it = candidates.begin(); it != candidates.end(); ++it) {
    if (!is_peer(*it) || received[it->team] > limit) continue;
    if (best == candidates.end() || goes_before(*it, *best)) best = it;
  }
  return static_cast<size_t>(best - candidates.begin());
}

std::vector<ReservationQueue::Candidate> ReservationQueue::Order(
    TimePoint now) const {
  std::vector<Candidate> candidates;
  std::map<TeamName, size_t> teams;
  std::vector<double> received;
  for (const Reservation& reservation : m_waiting) {
    candidates.push_back(MakeCandidate(reservation, now));
    const auto [team, added] =
        teams.try_emplace(reservation.team, received.size());
    if (added) received.push_back(m_shares.RecentTokens(reservation.team, now));
    candidates.back().team = team->second;
  }
  std::vector<Candidate> ordered;
  while (!candidates.empty()) {
    const size_t next = PickNext(candidates, received);
    received[candidates[next].team] += Cost(candidates[next].reservation);
    ordered.push_back(candidates[next]);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(next));
  }
  return ordered;
}

void ReservationQueue::Settle(const AttemptId& attempt, Tokens service,
                              TimePoint now) {
  const Charge* charge = m_charges.Find(attempt);
  if (charge == nullptr) return;
  m_shares.Charge(charge->team, charge->priority,
                  static_cast<double>(service.Value()) - charge->tokens, now);
  m_charges.Erase(attempt);
}

void ReservationQueue::Withdraw(const AttemptId& attempt) {
  std::erase_if(m_waiting, [&](const Reservation& reservation) {
    return reservation.attempt == attempt;
  });
}

void ReservationQueue::WithdrawAll(const VmName& entry) {
  std::erase_if(m_waiting, [&](const Reservation& reservation) {
    return reservation.entry == entry;
  });
}

std::vector<ReservationQueue::Decision> ReservationQueue::Decide(
    EngineAdmission* admission, TimePoint now) {
  std::vector<Decision> decisions;
  if (m_waiting.empty()) return decisions;
  ExpireCharges(now);
  std::vector<Reservation> still_waiting;
  std::unique_ptr<WaitForecast> forecast;  // Made when first needed.
  for (const Candidate& candidate : Order(now)) {
    const Reservation& reservation = candidate.reservation;
    // One that is short of service may use all of the capacity: it goes first,
    // and the others wait for it.
    const bool late = candidate.is_late && !candidate.is_short;
    if (admission != nullptr && still_waiting.empty() &&
        admission->TryAdmit(reservation, late, now)) {
      decisions.push_back({reservation, true, Duration(0)});
      RecordGrant(reservation, now);
      forecast.reset();
      continue;
    }
    Duration wait = kMinRetryAfter;
    if (admission != nullptr) {
      if (forecast == nullptr) forecast = admission->Forecast(now);
      wait = forecast->ExpectedWait(reservation);
    }
    if (admission == nullptr ||
        now + wait / kEarlyRefusalFactor >= reservation.queue_deadline) {
      decisions.push_back({reservation, false,
                           std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)});
      continue;
    }
    forecast->Add(reservation, wait);
    still_waiting.push_back(reservation);
  }
  m_waiting = std::move(still_waiting);
  return decisions;
}

void ReservationQueue::RecordGrant(const Reservation& reservation,
                                   TimePoint now) {
  const double cost = Cost(reservation);
  m_shares.Charge(reservation.team, reservation.priority, cost, now);
  m_charges.FindOrInsert(reservation.attempt) = {
      reservation.team, reservation.priority, cost, now};
}

void ReservationQueue::ExpireCharges(TimePoint now) {
  if (now < m_next_expiry_at) return;
  m_next_expiry_at = now + kChargeExpiryInterval;
  std::vector<AttemptId> expired;
  for (const auto& [attempt, charge] : m_charges) {
    if (now - charge.granted_at > kChargeLifetime) expired.push_back(attempt);
  }
  for (const AttemptId& attempt : expired) m_charges.Erase(attempt);
}

Tokens ReservationQueue::WaitingPromptTokens() const {
  Tokens sum(0);
  for (const Reservation& reservation : m_waiting) sum += reservation.prompt;
  return sum;
}

}  // namespace burdockhill

#include "burdockhill/src/routing/engine_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace burdockhill {

namespace {

// Share of the memory up to which requests that have missed their latency
// targets are admitted.
constexpr double kLateMemoryShare = 0.85;
// Output rate of one run until one was measured.
constexpr double kDefaultOutputTokensPerSecond = 1000.0;
// Waiting reservations whose runs are projected. Those behind them are expected
// to wait in proportion, which bounds the time that a long queue costs.
constexpr int64_t kMaxProjected = 16;
// Weight of the newest request in the mean request.
constexpr double kNewestRequestWeight = 0.05;
// Prompts granted at a time. The second one keeps the engine busy from the end
// of the first until the next grant arrives.
constexpr size_t kMaxGrantedPrompts = 2;
// Further prompts are granted while all granted ones together stay within this.
constexpr int64_t kSmallPromptTokens = 3000;
// A grant that was not released ends after this long.
constexpr Duration kGrantTimeout = std::chrono::milliseconds(2500);
// Prefill rate until one was measured.
constexpr double kDefaultPromptTokensPerSecond = 40000.0;
// Time for which blocked streams run on between two prompts.
constexpr Duration kLocalPrefillPause = std::chrono::milliseconds(300);

// Time for which an engine is expected to keep its present output rate. Slow
// spells last about half a second, of which half has passed on average.
constexpr double kPresentRateSeconds = 0.25;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

class DecodeForecast : public WaitForecast {
 public:
  DecodeForecast(ReleaseProjection projection, double present_rate,
                 double mean_rate, TimePoint now)
      : m_projection(std::move(projection)),
        m_present_rate(present_rate),
        m_mean_rate(mean_rate),
        m_now(now) {}

  Duration ExpectedWait(const Reservation& reservation) const override {
    if (m_count >= kMaxProjected) {
      return m_last_wait * (m_count + 1) / kMaxProjected;
    }
    const Duration wait = TimeUntilFits(reservation, 1.0);
    // By then it may have missed its target, and gets only a part of the
    // memory.
    return m_now + wait < reservation.target_by
               ? wait
               : TimeUntilFits(reservation, kLateMemoryShare);
  }
  void Add(const Reservation& reservation, Duration wait) override {
    if (++m_count > kMaxProjected) return;
    m_last_wait = wait;
    const double seconds = Seconds(wait);
    const double output =
        m_present_rate * std::min(seconds, kPresentRateSeconds) +
        m_mean_rate * std::max(seconds - kPresentRateSeconds, 0.0);
    m_projection.Add(reservation.prompt, reservation.estimated_output,
                     Tokens(static_cast<int64_t>(std::lround(output))));
  }

 private:
  Duration TimeUntilFits(const Reservation& reservation, double share) const {
    const auto output = static_cast<double>(
        m_projection
            .OutputUntilFits(reservation.prompt, reservation.estimated_output,
                             share)
            .Value());
    const double at_present = m_present_rate * kPresentRateSeconds;
    return FromSeconds(output <= at_present
                           ? output / m_present_rate
                           : kPresentRateSeconds +
                                 (output - at_present) / m_mean_rate);
  }
  ReleaseProjection m_projection;
  double m_present_rate;
  double m_mean_rate;
  TimePoint m_now;
  int64_t m_count = 0;  // Of those added.
  Duration m_last_wait{0};
};

// The engine computes prompts one after the other. All granted ones but the
// last have to be finished before another one is granted.
class PrefillForecast : public WaitForecast {
 public:
  // The engine has worked on the first of the granted prompts for some time.
  PrefillForecast(const std::vector<Tokens>& granted, double elapsed_seconds,
                  double rate)
      : m_rate(rate) {
    for (const Tokens prompt : granted) AddPrompt(prompt);
    if (granted.size() < 2) return;
    const double first = static_cast<double>(granted.front().Value()) / m_rate;
    m_seconds_before_last -= std::min(elapsed_seconds, first);
  }

  Duration ExpectedWait(const Reservation& /*reservation*/) const override {
    return FromSeconds(std::max(m_seconds_before_last, 0.0));
  }
  void Add(const Reservation& reservation, Duration /*wait*/) override {
    AddPrompt(reservation.prompt);
  }

 private:
  void AddPrompt(Tokens prompt) {
    m_seconds_before_last += m_last_seconds;
    m_last_seconds = static_cast<double>(prompt.Value()) / m_rate;
  }

  double m_rate;
  double m_seconds_before_last = 0;
  double m_last_seconds = 0;
};

class LocalPrefillForecast : public WaitForecast {
 public:
  LocalPrefillForecast(Duration until_grant, Duration between_grants)
      : m_until_grant(until_grant), m_between_grants(between_grants) {}
  Duration ExpectedWait(const Reservation& /*reservation*/) const override {
    return m_until_grant;
  }
  void Add(const Reservation& /*reservation*/, Duration /*wait*/) override {
    m_until_grant += m_between_grants;
  }

 private:
  Duration m_until_grant;
  Duration m_between_grants;
};

}  // namespace

bool DecodeAdmission::TryAdmit(const Reservation& reservation, bool late,
                               TimePoint now) {
  const double share = late ? kLateMemoryShare : 1.0;
  if (!m_ledger->Fits(reservation.prompt, reservation.estimated_output,
                      share)) {
    return false;
  }
  m_ledger->Reserve(reservation.attempt, reservation.prompt,
                    reservation.estimated_output, now);
  return true;
}

void DecodeAdmission::CountRequest(const Reservation& reservation,
                                   TimePoint now) {
  ++m_requests;
  const double weight = std::max(kNewestRequestWeight, 1.0 / m_requests);
  const auto add = [&](double* mean, double value) {
    *mean += weight * (value - *mean);
  };
  add(&m_mean_prompt, static_cast<double>(reservation.prompt.Value()));
  add(&m_mean_output,
      static_cast<double>(reservation.estimated_output.Value()));
  add(&m_mean_target_seconds,
      std::max(Seconds(reservation.target_by - now), 0.0));
}

Duration DecodeAdmission::TypicalWait(const std::vector<Reservation>& waiting,
                                      TimePoint now) const {
  if (m_requests == 0) return Duration(0);
  Reservation typical;
  typical.prompt = Tokens(std::lround(m_mean_prompt));
  typical.estimated_output = Tokens(std::lround(m_mean_output));
  typical.target_by = now + FromSeconds(m_mean_target_seconds);
  if (waiting.empty() &&
      m_ledger->Fits(typical.prompt, typical.estimated_output)) {
    return Duration(0);
  }
  const std::unique_ptr<WaitForecast> forecast = Forecast(now);
  for (const Reservation& reservation : waiting) {
    forecast->Add(reservation, forecast->ExpectedWait(reservation));
  }
  return forecast->ExpectedWait(typical);
}

std::unique_ptr<WaitForecast> DecodeAdmission::Forecast(TimePoint now) const {
  const double mean =
      m_mean_rate > 0 ? m_mean_rate : kDefaultOutputTokensPerSecond;
  const double present = m_present_rate > 0 ? m_present_rate : mean;
  return std::make_unique<DecodeForecast>(m_ledger->ProjectReleases(mean, now),
                                          present, mean, now);
}

bool PrefillAdmission::TryAdmit(const Reservation& reservation, bool /*late*/,
                                TimePoint now) {
  const bool all_small = (GrantedPromptTokens() + reservation.prompt).Value() <=
                         kSmallPromptTokens;
  if (m_grants.Size() >= kMaxGrantedPrompts && !all_small) return false;
  m_service_rate.Advance(now, m_grants.Size());
  if (m_grants.Size() == 0) m_computing_since = now;
  m_grants.FindOrInsert(reservation.attempt) = {reservation.prompt, now};
  return true;
}

std::unique_ptr<WaitForecast> PrefillAdmission::Forecast(TimePoint now) const {
  std::vector<Grant> grants;
  for (const auto& [attempt, grant] : m_grants) grants.push_back(grant);
  std::sort(grants.begin(), grants.end(), [](const Grant& a, const Grant& b) {
    return a.granted_at < b.granted_at;
  });
  std::vector<Tokens> prompts;
  prompts.reserve(grants.size());
  for (const Grant& grant : grants) prompts.push_back(grant.prompt);
  const double rate = PromptTokensPerSecond(now);
  return std::make_unique<PrefillForecast>(
      prompts, Seconds(now - m_computing_since),
      rate > 0 ? rate : kDefaultPromptTokensPerSecond);
}

void PrefillAdmission::Release(const AttemptId& attempt, TimePoint now) {
  const Grant* grant = m_grants.Find(attempt);
  if (grant == nullptr) return;
  // The engine computes prompts one after the other, so it has spent the time
  // since the end of the previous one on this one.
  m_prompt_rate.AddPrompt(grant->prompt, m_computing_since, now);
  m_computing_since = now;
  m_service_rate.Advance(now, m_grants.Size());
  m_service_rate.CountPrompt();
  m_grants.Erase(attempt);
}

void PrefillAdmission::ExpireGrants(TimePoint now) {
  std::vector<AttemptId> expired;
  for (const auto& [attempt, grant] : m_grants) {
    if (now - grant.granted_at > kGrantTimeout) expired.push_back(attempt);
  }
  if (expired.empty()) return;
  m_service_rate.Advance(now, m_grants.Size());
  for (const AttemptId& attempt : expired) m_grants.Erase(attempt);
  m_computing_since = now;
}

Tokens PrefillAdmission::CurrentPrompt() const {
  const Grant* first = nullptr;
  for (const auto& [attempt, grant] : m_grants) {
    if (first == nullptr || grant.granted_at < first->granted_at) {
      first = &grant;
    }
  }
  return first == nullptr ? Tokens(0) : first->prompt;
}

double PrefillAdmission::PromptTokensPerSecond(TimePoint now) const {
  return m_prompt_rate.PresentTokensPerSecond(CurrentPrompt(),
                                              m_computing_since, now);
}

Tokens PrefillAdmission::GrantedPromptTokens() const {
  Tokens sum(0);
  for (const auto& [attempt, grant] : m_grants) sum += grant.prompt;
  return sum;
}

bool LocalPrefillAdmission::TryAdmit(const Reservation& reservation, bool late,
                                     TimePoint now) {
  if (late || now < m_next_grant_at) return false;
  m_granted_attempt = reservation.attempt;
  m_granted_at = now;
  m_is_computing = true;
  m_next_grant_at = now + kGrantTimeout;
  return true;
}

Duration LocalPrefillAdmission::TimeUntilGrant(TimePoint now) const {
  // A grant that is not released ends at `m_next_grant_at`.
  const TimePoint expected =
      m_is_computing
          ? m_granted_at + FromSeconds(m_mean_seconds) + kLocalPrefillPause
          : m_next_grant_at;
  return std::max(std::min(expected, m_next_grant_at) - now, Duration(0));
}

std::unique_ptr<WaitForecast> LocalPrefillAdmission::Forecast(
    TimePoint now) const {
  return std::make_unique<LocalPrefillForecast>(
      TimeUntilGrant(now), FromSeconds(m_mean_seconds) + kLocalPrefillPause);
}

void LocalPrefillAdmission::Release(const AttemptId& attempt, TimePoint now) {
  if (attempt != m_granted_attempt) return;
  if (m_is_computing) {
    const double seconds = Seconds(now - m_granted_at);
    m_mean_seconds = m_mean_seconds == 0
                         ? seconds
                         : m_mean_seconds + kNewestRequestWeight *
                                                (seconds - m_mean_seconds);
  }
  m_is_computing = false;
  m_next_grant_at = now + kLocalPrefillPause;
}

}  // namespace burdockhill

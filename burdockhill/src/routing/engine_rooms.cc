#include "burdockhill/src/routing/engine_rooms.h"

#include <algorithm>
#include <vector>

namespace burdockhill {

namespace {

// Share of the memory up to which requests that have missed their latency
// targets are admitted.
constexpr double kLateShare = 0.85;
// Output rate of one run until one was measured.
constexpr double kDefaultPace = 1000.0;
// Prompts granted at a time. The second one keeps the engine busy from the end
// of the first until the next grant arrives.
constexpr size_t kMaxTurns = 2;
// Further prompts are granted while all granted ones together stay within this.
constexpr int64_t kSmallSum = 3000;
// A grant that was not released ends after this long.
constexpr Duration kTurnTime = std::chrono::milliseconds(2500);
// Prefill rate until one was measured.
constexpr double kDefaultPrefillRate = 40000.0;
// Weight of the newest sample in the running mean of the prefill rate.
constexpr double kNewestWeight = 0.1;

// Time for which blocked streams run on between two prompts.
constexpr Duration kLocalPrefillPause = std::chrono::milliseconds(300);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

bool DecodeRoom::TryTake(const Reservation& reservation, bool late,
                         TimePoint now) {
  const double share = late ? kLateShare : 1.0;
  if (!m_ledger->Fits(reservation.prompt, reservation.estimated_output,
                      share)) {
    return false;
  }
  m_ledger->Reserve(reservation.attempt, reservation.prompt,
                    reservation.estimated_output, now);
  return true;
}

Duration DecodeRoom::ExpectedWait(const Reservation& reservation,
                                  size_t ahead) const {
  const Tokens output = m_ledger->OutputUntilFits(reservation.prompt,
                                                  reservation.estimated_output);
  const double pace = m_pace > 0 ? m_pace : kDefaultPace;
  // Assumes that all runs are about this long and end at even intervals.
  const auto runs =
      static_cast<double>(std::max<size_t>(m_ledger->RunCount(), 1));
  const double between_ends =
      static_cast<double>(reservation.estimated_output.Value()) / pace / runs;
  return FromSeconds(static_cast<double>(output.Value()) / pace +
                     static_cast<double>(ahead) * between_ends);
}

bool PrefillRoom::TryTake(const Reservation& reservation, bool /*late*/,
                          TimePoint now) {
  const bool small = (Outstanding() + reservation.prompt).Value() <= kSmallSum;
  if (m_turns.Size() >= kMaxTurns && !small) return false;
  m_turns.FindOrInsert(reservation.attempt) = {reservation.prompt, now};
  return true;
}

Duration PrefillRoom::ExpectedWait(const Reservation& reservation,
                                   size_t ahead) const {
  const double rate =
      m_tokens_per_second > 0 ? m_tokens_per_second : kDefaultPrefillRate;
  const auto before = static_cast<double>(ahead) *
                      static_cast<double>(reservation.prompt.Value());
  return FromSeconds((static_cast<double>(Outstanding().Value()) + before) /
                     rate);
}

void PrefillRoom::Release(const AttemptId& attempt, TimePoint now) {
  const Turn* turn = m_turns.Find(attempt);
  if (turn == nullptr) return;
  const double seconds =
      std::chrono::duration<double>(now - turn->since).count();
  if (seconds > 0) {
    const double rate = static_cast<double>(turn->prompt.Value()) / seconds;
    m_tokens_per_second =
        m_tokens_per_second == 0
            ? rate
            : m_tokens_per_second +
                  kNewestWeight * (rate - m_tokens_per_second);
  }
  m_turns.Erase(attempt);
}

void PrefillRoom::Expire(TimePoint now) {
  std::vector<AttemptId> over;
  for (const auto& [attempt, turn] : m_turns) {
    if (now - turn.since > kTurnTime) over.push_back(attempt);
  }
  for (const AttemptId& attempt : over) m_turns.Erase(attempt);
}

Tokens PrefillRoom::Outstanding() const {
  Tokens sum(0);
  for (const auto& [attempt, turn] : m_turns) sum += turn.prompt;
  return sum;
}

bool LocalPrefillRoom::TryTake(const Reservation& reservation, bool late,
                               TimePoint now) {
  if (late || now < m_next) return false;
  m_attempt = reservation.attempt;
  m_next = now + kTurnTime;
  return true;
}

Duration LocalPrefillRoom::ExpectedWait(const Reservation& /*reservation*/,
                                        size_t ahead) const {
  return static_cast<int64_t>(ahead + 1) * kLocalPrefillPause;
}

void LocalPrefillRoom::Release(const AttemptId& attempt, TimePoint now) {
  if (attempt == m_attempt) m_next = now + kLocalPrefillPause;
}

}  // namespace burdockhill

#ifndef BURDOCKHILL_SRC_ROUTING_RESERVATION_QUEUE_H_
#define BURDOCKHILL_SRC_ROUTING_RESERVATION_QUEUE_H_

#include <map>
#include <memory>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/routing/service_shares.h"

namespace burdockhill {

// An entry's request for capacity on an engine.
struct Reservation {
  AttemptId attempt;
  VmName entry;
  Tokens prompt;
  Tokens estimated_output;     // Zero for prefill.
  TimePoint target_by{};       // Granted later, it misses its target.
  TimePoint queue_deadline{};  // Refused if not granted by then.
  int priority = 0;            // 0 is the most urgent.
  TeamName team{};             // Invalid if the caller belongs to none.
  TimePoint queued_at{};
};

// Expects when an engine admits the reservations of a queue, one after the
// other.
class WaitForecast {
 public:
  virtual ~WaitForecast() = default;
  // Expected time until the reservation can be admitted, behind those that were
  // added.
  virtual Duration ExpectedWait(const Reservation& reservation) const = 0;
  // Adds a reservation that waits for this time.
  virtual void Add(const Reservation& reservation, Duration wait) = 0;
};

// Admission control of an engine.
class EngineAdmission {
 public:
  virtual ~EngineAdmission() = default;
  // Allocates capacity for the reservation if there is enough, else returns
  // false. A late one, which has missed its latency target, has to leave some
  // capacity to those that can still meet theirs.
  virtual bool TryAdmit(const Reservation& reservation, bool late,
                        TimePoint now) = 0;
  virtual std::unique_ptr<WaitForecast> Forecast(TimePoint now) const = 0;
};

// Orders the reservations that wait for an engine, and refuses those that would
// not be granted in time.
//
// A more urgent reservation goes before a less urgent one whose target is not
// much earlier. Of the same priority, those that can still meet their latency
// target go before those that have missed it; a late one counts as if it had
// just arrived, so that it still goes before less urgent ones. Between teams of
// a priority, the team that has received less service goes first, and within a
// team the earliest target. A team or a priority that has received less than a
// quarter of the mean service goes first when its target is near, whatever its
// priority. A reservation that waits for capacity is not overtaken by smaller
// ones behind it.
class ReservationQueue {
 public:
  struct Decision {
    Reservation reservation;
    bool granted = false;
    Duration retry_after{0};  // Refusals only.
  };

  void Enqueue(const Reservation& reservation);
  // Removes a reservation that still waits. One that was granted is unaffected.
  void Withdraw(const AttemptId& attempt);
  void WithdrawAll(const VmName& entry);

  // A granted reservation has ended with this much service, instead of the
  // expected one.
  void Settle(const AttemptId& attempt, Tokens service, TimePoint now);

  // Removes and returns the reservations that are granted or refused at `now`.
  // Call after each change of the capacity and at least every 20 ms. A null
  // pointer refuses all of them.
  std::vector<Decision> Decide(EngineAdmission* admission, TimePoint now);

  // In the order in which they are considered next.
  const std::vector<Reservation>& Waiting() const { return m_waiting; }
  size_t WaitingCount() const { return m_waiting.size(); }
  Tokens WaitingPromptTokens() const;

 private:
  // A waiting reservation, with what orders it at present.
  struct Candidate {
    Reservation reservation;
    TimePoint key{};  // Earlier goes first.
    bool is_late = false;
    // It goes before all that are not.
    bool is_short = false;
    size_t team = 0;  // Index.
  };

  // Longest time to the target that a reservation of the priority had.
  Duration TargetSpan(int priority) const;
  Candidate MakeCandidate(const Reservation& reservation, TimePoint now) const;
  // The waiting reservations in the order in which they are considered.
  std::vector<Candidate> Order(TimePoint now) const;
  // Index of the candidate that goes first, by what each team has received.
  size_t PickNext(const std::vector<Candidate>& candidates,
                  const std::vector<double>& received) const;
  void RecordGrant(const Reservation& reservation, TimePoint now);
  void ExpireCharges(TimePoint now);

  std::vector<Reservation> m_waiting;  // Next one first.
  ServiceShares m_shares;
  std::map<int, Duration> m_target_spans;  // By priority.
  // Service that was charged when it was granted.
  struct Charge {
    TeamName team;
    int priority = 0;
    double tokens = 0;
    TimePoint granted_at{};
  };
  Table<AttemptId, Charge> m_charges;
  TimePoint m_next_expiry_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_RESERVATION_QUEUE_H_

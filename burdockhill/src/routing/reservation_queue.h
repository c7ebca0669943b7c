#ifndef BURDOCKHILL_SRC_ROUTING_RESERVATION_QUEUE_H_
#define BURDOCKHILL_SRC_ROUTING_RESERVATION_QUEUE_H_

#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

// A place on an engine that an entry asks for.
struct Reservation {
  AttemptId attempt;
  VmName entry;
  Tokens prompt;
  Tokens estimated_output;  // Zero for prefill.
  TimePoint target_by{};    // Later, the request misses its latency target.
  TimePoint give_up_at{};
  int priority = 0;  // 0 is the most urgent.
};

// What an engine has room for.
class EngineRoom {
 public:
  virtual ~EngineRoom() = default;
  // Takes the reservation if there is room. A late one leaves some room to
  // those that can still meet their targets.
  virtual bool TryTake(const Reservation& reservation, bool late,
                       TimePoint now) = 0;
  // When the reservation may expect room, with `ahead` like it before it.
  virtual Duration ExpectedWait(const Reservation& reservation,
                                size_t ahead) const = 0;
};

// Decides the order in which reservations get an engine's room, and refuses
// those that will not get it in time.
//
// Answers bursts beyond what the engines of a service can serve: requests that
// can still meet their latency target go first, by that target; those that
// have missed it are served with what is left over. A more urgent request goes
// before a less urgent one whose target is not much earlier, so that neither
// kind starves the other. A request at the head is not overtaken by smaller
// ones behind it.
class ReservationQueue {
 public:
  struct Decision {
    Reservation reservation;
    bool granted = false;
    Duration retry_after{0};  // Refusals only.
  };

  void Ask(const Reservation& reservation);
  // Withdraws what still waits; nothing happens to what was granted.
  void Withdraw(const AttemptId& attempt);
  void WithdrawAll(const VmName& entry);

  // Grants and refusals that are due. Call after each change of the room and
  // at least every 20 ms. Without a room everything is refused.
  std::vector<Decision> Decide(EngineRoom* room, TimePoint now);

  size_t Waiting() const { return m_waiting.size(); }
  Tokens WaitingPrompts() const;

 private:
  std::vector<Reservation> m_waiting;  // In the order of their turns.
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_RESERVATION_QUEUE_H_

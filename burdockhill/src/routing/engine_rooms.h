#ifndef BURDOCKHILL_SRC_ROUTING_ENGINE_ROOMS_H_
#define BURDOCKHILL_SRC_ROUTING_ENGINE_ROOMS_H_

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/routing/engine_ledger.h"
#include "burdockhill/src/routing/reservation_queue.h"

namespace burdockhill {

// Room of a decode engine: memory for the whole of a run.
class DecodeRoom : public EngineRoom {
 public:
  explicit DecodeRoom(EngineLedger* ledger) : m_ledger(ledger) {}

  // Output tokens of one run a second, for the times told to callers.
  void SetPace(double tokens_per_second) { m_pace = tokens_per_second; }

  bool TryTake(const Reservation& reservation, bool late,
               TimePoint now) override;
  Duration ExpectedWait(const Reservation& reservation,
                        size_t ahead) const override;

 private:
  EngineLedger* m_ledger;
  double m_pace = 0;
};

// Room of a prefill engine: few prompts at a time, so that the first of them
// is finished soon instead of all of them late.
class PrefillRoom : public EngineRoom {
 public:
  bool TryTake(const Reservation& reservation, bool late,
               TimePoint now) override;
  Duration ExpectedWait(const Reservation& reservation,
                        size_t ahead) const override;

  // The engine has answered, or the turn was not used.
  void Release(const AttemptId& attempt, TimePoint now);
  // Ends turns of entries that have gone silent.
  void Expire(TimePoint now);

  Tokens Outstanding() const;
  size_t Turns() const { return m_turns.Size(); }

 private:
  struct Turn {
    Tokens prompt;
    TimePoint since{};
  };

  Table<AttemptId, Turn> m_turns;
  double m_tokens_per_second = 0;  // Learned from turns.
};

// Room of a decode engine for computing a prompt itself, which stops the
// streams that run there: one at a time, with pauses, and only for requests
// that can still meet their targets.
class LocalPrefillRoom : public EngineRoom {
 public:
  bool TryTake(const Reservation& reservation, bool late,
               TimePoint now) override;
  Duration ExpectedWait(const Reservation& reservation,
                        size_t ahead) const override;

  // The prompt was computed, or the turn was not used.
  void Release(const AttemptId& attempt, TimePoint now);

 private:
  AttemptId m_attempt;  // Invalid while there is none.
  TimePoint m_next{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_ENGINE_ROOMS_H_

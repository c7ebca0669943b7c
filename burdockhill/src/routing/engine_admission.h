#ifndef BURDOCKHILL_SRC_ROUTING_ENGINE_ADMISSION_H_
#define BURDOCKHILL_SRC_ROUTING_ENGINE_ADMISSION_H_

#include <memory>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/routing/kv_cache_ledger.h"
#include "burdockhill/src/routing/prompt_rate.h"
#include "burdockhill/src/routing/reservation_queue.h"
#include "burdockhill/src/routing/service_rate.h"

namespace burdockhill {

// Admission to a decode engine: reserves KV-cache memory for a whole run.
class DecodeAdmission : public EngineAdmission {
 public:
  explicit DecodeAdmission(KvCacheLedger* ledger) : m_ledger(ledger) {}

  // Sets the output rates of one run, by which expected waits are computed: at
  // present, which may be a slow spell, and over a longer time.
  void SetOutputRates(double present, double mean) {
    m_present_rate = present;
    m_mean_rate = mean;
  }

  // Counts a reservation that was asked for, whether it is granted or not.
  void CountRequest(const Reservation& reservation, TimePoint now);
  // Expected time until a reservation of mean size, with the mean time to its
  // target, would be admitted behind those that wait. Zero before the first
  // request.
  Duration TypicalWait(const std::vector<Reservation>& waiting,
                       TimePoint now) const;

  bool TryAdmit(const Reservation& reservation, bool late,
                TimePoint now) override;
  std::unique_ptr<WaitForecast> Forecast(TimePoint now) const override;

 private:
  KvCacheLedger* m_ledger;
  // Means of the latest requests.
  double m_mean_prompt = 0;
  double m_mean_output = 0;
  double m_mean_target_seconds = 0;
  int m_requests = 0;
  double m_present_rate = 0;  // Tokens a second; zero if unknown.
  double m_mean_rate = 0;
};

// Admission to a prefill engine: grants few prompts at a time, so that the
// first of them is finished soon instead of all of them late.
class PrefillAdmission : public EngineAdmission {
 public:
  bool TryAdmit(const Reservation& reservation, bool late,
                TimePoint now) override;
  std::unique_ptr<WaitForecast> Forecast(TimePoint now) const override;

  // Ends a grant: the engine has responded, or the grant was not used.
  void Release(const AttemptId& attempt, TimePoint now);
  // Ends grants that entries did not release in time.
  void ExpireGrants(TimePoint now);

  // Prompts a second that the engine computes while it has any; zero until it
  // has computed enough of them.
  double RequestsPerSecond() const {
    return m_service_rate.RequestsPerSecond();
  }

  // Prompt tokens a second of the engine at present; zero until measured.
  double PromptTokensPerSecond(TimePoint now) const;

  Tokens GrantedPromptTokens() const;
  size_t GrantCount() const { return m_grants.Size(); }

 private:
  struct Grant {
    Tokens prompt;
    TimePoint granted_at{};
  };

  // The prompt that the engine computes now, which is the one that was granted
  // first; zero if there is none.
  Tokens CurrentPrompt() const;

  Table<AttemptId, Grant> m_grants;
  TimePoint m_computing_since{};  // The current prompt.
  PromptRateEstimator m_prompt_rate;
  PrefillServiceRate m_service_rate;
};

// Admission to prefill on a decode engine, which blocks the streams that run
// there: grants one prompt at a time, with pauses between them, and only
// requests that can still meet their latency targets.
class LocalPrefillAdmission : public EngineAdmission {
 public:
  bool TryAdmit(const Reservation& reservation, bool late,
                TimePoint now) override;
  std::unique_ptr<WaitForecast> Forecast(TimePoint now) const override;

  // Ends a grant: the prompt was computed, or the grant was not used.
  void Release(const AttemptId& attempt, TimePoint now);

 private:
  // Expected time until another prompt is granted.
  Duration TimeUntilGrant(TimePoint now) const;

  AttemptId m_granted_attempt;  // Granted last; invalid before the first grant.
  TimePoint m_granted_at{};
  bool m_is_computing = false;  // That prompt, or its grant is unused.
  double m_mean_seconds = 0;    // Of a grant; zero until measured.
  TimePoint m_next_grant_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_ENGINE_ADMISSION_H_

#ifndef BURDOCKHILL_EMULATION_MODEL_RUNNER_FAKE_H_
#define BURDOCKHILL_EMULATION_MODEL_RUNNER_FAKE_H_

#include <deque>
#include <map>
#include <set>
#include <string>

#include "burdockhill/src/http/server.h"
#include "burdockhill/src/peer/message.h"
#include "emulation/event_queue.h"
#include "emulation/request_rate.h"
#include "emulation/retry_ledger.h"

namespace burdockhill::emulation {

// Handles of the KV caches that prefill runners hold for a decode runner.
using KvHandles = std::set<std::string>;

// Counts over all runners of a test.
struct RunnerCounters {
  int preemptions = 0;
  std::map<std::string, int>
      starts_by_request;  // Number of starts, by request id.
  int kv_handles_consumed = 0;
  int prompts_computed = 0;  // By prefill runners.
  RetryLedger stream_retries;
  RetryLedger plain_retries;
};

// A model engine that serves the platform's calls. A prefill runner computes
// one prompt at a time. A decode runner runs all requests in one batch that
// shares the KV cache, and preempts the newest request when the cache is full.
// A decode request without a KV source has its prompt computed by the decode
// runner at half the speed, while the batch is stalled.
class ModelRunnerFake : public http::ServerEvents {
 public:
  struct Options {
    std::string address;
    EngineRole role = EngineRole::kDecode;
    int64_t memory = 100000;            // tokens
    double prefill_tokens_per_ms = 55;  // tokens a millisecond
    Duration prefill_overhead{0};       // of each prompt, whatever its length
    // Time for which no request is accepted after an order to change the role.
    Duration role_change_time = std::chrono::seconds(6);
    bool ignores_orders = false;
    int64_t tokens_per_event = 61;
    Duration event_interval = std::chrono::milliseconds(60);
    // Every n-th prefill response is lost: the connection is reset after the
    // prompt was computed. 0 loses none.
    int lose_every_nth_prefill = 0;
    // The KV caches of its prompts are lost before another runner has them.
    bool loses_kv = false;
    // Its registered name and its software version, which each event states.
    // Empty: answers requests for any name, and events state no version.
    std::string name;
    std::string version;
    int64_t started_at_ms = 0;
  };

  ModelRunnerFake(const Options& options, Sockets* sockets, EventQueue* queue,
                  const Clock* clock, KvHandles* handles,
                  RunnerCounters* counts);

  void OnRequest(http::ExchangeId id, http::Head head,
                 std::string body) override;
  void OnCallerDisconnected(http::ExchangeId id) override;

  int64_t MemoryUsed() const;
  size_t RunCount() const { return m_runs.size(); }
  EngineRole Role() const { return m_options.role; }
  // Of the calls that compute prompts or decode.
  RequestRate& Rate() { return m_rate; }
  const std::string& Version() const { return m_options.version; }
  int64_t StartedAtMs() const { return m_options.started_at_ms; }
  // Starts a new process at the same address; requests in progress are lost.
  void Restart(const std::string& name, const std::string& version,
               int64_t started_at_ms);
  // Stops the runner permanently; requests in progress are lost.
  void Crash() { m_crashed = true; }

 private:
  struct Run {
    std::string request_id;
    int64_t prompt = 0;
    int64_t produced = 0;
    int64_t length = 0;  // Total of output tokens.
    int64_t first_event = 1;
    uint64_t start_number = 0;
    Duration recompute_left{0};  // Time left until its KV cache is recomputed.
  };
  struct Prompt {
    http::ExchangeId id;
    int64_t tokens = 0;
    std::string request_id;
  };

  void Respond(http::ExchangeId id, int status, const std::string& request_id,
               const std::string& body, bool not_run = false);
  void RespondWithReport(http::ExchangeId id);
  // Carries out an order to change the role once running requests have ended.
  void HandleRoleOrder(http::ExchangeId id, const std::string& body);
  void FinishRoleChange(EngineRole role);
  void StartDecode(http::ExchangeId id, const http::Head& head);
  Duration PrefillTime(int64_t tokens) const;
  void StartNextPrefill();
  void StepBatch();
  void PreemptUntilMemorySuffices();

  Options m_options;
  RequestRate m_rate;
  const Clock* m_clock;
  EventQueue* m_queue;
  KvHandles* m_handles;
  RunnerCounters* m_counts;
  http::Server m_server;
  std::map<http::ExchangeId, Run> m_runs;
  std::deque<Prompt> m_queued_prompts;
  bool m_is_prefilling = false;
  Duration m_batch_delay{0};  // Time that the next batch step is delayed.
  bool m_crashed = false;
  bool m_is_changing_role = false;
  int m_orders_accepted = 0;
  uint64_t m_last_number = 0;
  int m_prefill_count = 0;
  int m_lifetime = 0;  // Counts the restarts.
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_MODEL_RUNNER_FAKE_H_

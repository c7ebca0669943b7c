#ifndef BURDOCKHILL_EMULATION_MODEL_RUNNER_FAKE_H_
#define BURDOCKHILL_EMULATION_MODEL_RUNNER_FAKE_H_

#include <deque>
#include <map>
#include <set>
#include <string>

#include "burdockhill/src/http/server.h"
#include "burdockhill/src/peer/message.h"
#include "emulation/event_queue.h"

namespace burdockhill::emulation {

// KV cache that prefill runners hold, by handle.
using KvHandles = std::set<std::string>;

// What the callers of all runners may check afterwards.
struct RunnerCounts {
  int preempted = 0;
  std::map<std::string, int> runs;  // Starts by request id.
  int handles_taken = 0;
};

// A model runner with the platform's calls: prefill one prompt after the other,
// decode in a batch that shares memory, and preempt the newest run when memory
// runs out. A decode runner that gets no KV cache computes the prompt itself,
// at half the speed, while its batch stands still.
class ModelRunnerFake : public http::ServerEvents {
 public:
  struct Options {
    std::string address;
    EngineRole role = EngineRole::kDecode;
    int64_t memory = 100000;   // tokens
    double prefill_rate = 55;  // tokens a millisecond
    int64_t tokens_per_event = 61;
    Duration event_interval = std::chrono::milliseconds(60);
    // One in this many prefill answers is lost with its connection; zero for
    // none.
    int lost_answers = 0;
  };

  ModelRunnerFake(const Options& options, Sockets* sockets, EventQueue* queue,
                  const Clock* clock, KvHandles* handles, RunnerCounts* counts);

  void OnRequest(http::ExchangeId id, http::Head head,
                 std::string body) override;
  void OnCallerDisconnected(http::ExchangeId id) override;

  int64_t MemoryUsed() const;
  size_t Runs() const { return m_runs.size(); }
  // Stops for good; what it was doing is lost.
  void Crash() { m_crashed = true; }

 private:
  struct Run {
    std::string request;
    int64_t prompt = 0;
    int64_t produced = 0;
    int64_t length = 0;  // Output tokens in all.
    int64_t first_event = 1;
    uint64_t order = 0;
    Duration reading_again{0};  // After it was preempted.
  };
  struct Prompt {
    http::ExchangeId id;
    int64_t tokens = 0;
    std::string request;
  };

  void Answer(http::ExchangeId id, int status, const std::string& request,
              const std::string& body, bool not_run = false);
  void Report(http::ExchangeId id);
  void StartDecode(http::ExchangeId id, const http::Head& head);
  Duration PrefillTime(int64_t tokens) const;
  void NextPrompt();
  void StepBatch();
  void PreemptUntilItFits();

  Options m_options;
  EventQueue* m_queue;
  KvHandles* m_handles;
  RunnerCounts* m_counts;
  http::Server m_server;
  std::map<http::ExchangeId, Run> m_runs;
  std::deque<Prompt> m_prompts;
  bool m_computing = false;
  Duration m_stall{0};  // Until the batch goes on.
  bool m_crashed = false;
  uint64_t m_last = 0;
  int m_prefilled = 0;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_MODEL_RUNNER_FAKE_H_

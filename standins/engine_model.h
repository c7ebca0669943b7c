#ifndef BURDOCKHILL_STANDINS_ENGINE_MODEL_H_
#define BURDOCKHILL_STANDINS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "burdockhill/base.h"

namespace burdockhill::standins {

// Size and speed of an engine. Durations are in the engine's own time.
struct EngineOptions {
  bool prefill = false;  // Else decode.
  int64_t slots = 20;
  int64_t pieces = 160;
  int64_t piece_tokens = 2048;
  int64_t prefill_rate = 20000;  // Tokens a second.
  Duration prefill_base = std::chrono::milliseconds(2);
  Duration step_base = std::chrono::milliseconds(12);
  Duration step_per_request = std::chrono::microseconds(500);
  int64_t kv_bytes_per_token = 100'000;
  int64_t link_bytes_per_second = 6'000'000'000;
  Duration export_time = std::chrono::milliseconds(900);
  int64_t prefix_cache_tokens = 200'000;
  Duration load_lag = std::chrono::milliseconds(200);
  Duration event_lag = std::chrono::milliseconds(500);
  int64_t lose_event_percent = 5;
  uint64_t seed = 1;
};

// A KV cache that another engine may import.
struct ExportedKv {
  std::string request;
  uint64_t answer_seed = 0;
  int64_t prompt_tokens = 0;
  int64_t answer_tokens = 0;  // Natural length of the answer.
  TimePoint expires{};
};

struct PrefillResult {
  std::string kv_handle;
  int64_t prompt_tokens = 0;
  int64_t reused_tokens = 0;
};

// What the engine has done, counted by itself.
struct EngineCounters {
  int64_t prefill_tokens = 0;  // Computed, reused ones not included.
  int64_t reused_tokens = 0;
  int64_t exported_tokens = 0;  // Prompt tokens of finished prefills.
  int64_t imported_tokens = 0;  // Prompt tokens that decodes here took over.
  int64_t decoded_tokens = 0;
  int64_t cancelled = 0;
  int64_t preempted = 0;
};

struct CacheEvent {
  uint64_t sequence = 0;
  bool stored = false;  // Else evicted.
  uint64_t block = 0;
  TimePoint visible_at{};
};

// An engine in time and memory, without I/O: continuous batching, a prefix
// cache, priorities, export and import of KV caches. Answers are made from the
// prompt, so that a test can tell whether it got the right one: a prompt may
// contain "[[seed=N]]", "[[length=N]]" and "[[crash]]".
class EngineModel {
 public:
  using PrefillDone = std::function<void(std::optional<PrefillResult>)>;
  // `finish` is empty while more tokens follow, "preempted" if memory ran out.
  using TokenOut = std::function<void(uint64_t offset, const std::string& text,
                                      const std::string& finish)>;

  EngineModel(const EngineOptions& options, const Clock* clock);

  // Queues a prefill. `done` gets nullopt if it is cancelled or lost.
  void Prefill(const std::string& id, int priority, const std::string& prompt,
               PrefillDone done);

  // The export behind a handle, while it lives. Taking it keeps it until it
  // expires, so that a stalled transfer can be repeated.
  std::optional<ExportedKv> FindExport(const std::string& handle) const;

  // Whether a decode of a prompt of this size can be taken now.
  bool HasRoom(int64_t prompt_tokens) const;

  // Imports `kv` over the link and decodes at most `max_tokens` tokens,
  // numbered from `first_offset`. False when there is no room.
  bool Decode(const std::string& id, int priority, const ExportedKv& kv,
              int64_t max_tokens, uint64_t first_offset, TokenOut out);

  // Frees all that `id` holds. Harmless for an unknown id.
  void Cancel(const std::string& id);

  // Loses everything, as a crash does. Comes back under a new boot number.
  void Crash();

  // Carries out all that is due, and says when to call again.
  std::optional<TimePoint> Step();

  uint64_t Boot() const { return m_boot; }
  const EngineOptions& Options() const { return m_options; }
  const EngineCounters& Counters() const { return m_counters; }
  bool CrashRequested() const { return m_crash_requested; }

  // Exact, for tests and experiments.
  int64_t HeldPieces() const;
  std::vector<std::string> HeldRequests() const;
  // As the engine reports it: lagging.
  std::vector<std::string> ReportedRequests();

  // Cache events after `since` that are visible by now; some are lost.
  std::vector<CacheEvent> EventsSince(uint64_t since) const;

  // The word at `offset` of the answer with this seed.
  static std::string AnswerToken(uint64_t answer_seed, uint64_t offset);

 private:
  struct Prefilling {
    std::string id;
    int priority = 0;
    uint64_t order = 0;
    std::string prompt;
    PrefillDone done;
    int64_t tokens = 0;
    int64_t reused = 0;
    TimePoint ends{};
  };
  struct Decoding {
    std::string id;
    int priority = 0;
    uint64_t order = 0;
    uint64_t answer_seed = 0;
    int64_t prompt_tokens = 0;
    int64_t generated = 0;
    int64_t to_generate = 0;
    bool stops_naturally = false;
    uint64_t first_offset = 0;
    TimePoint imported_at{};
    TokenOut out;
  };

  void StartPrefill();
  void FinishPrefill();
  void StartDecodeStep();
  void FinishDecodeStep();
  void PreemptForMemory();
  int64_t PiecesOf(int64_t tokens) const;
  std::vector<uint64_t> BlocksOf(const std::string& prompt) const;
  int64_t LookUpPrefix(const std::vector<uint64_t>& blocks) const;
  void StorePrefix(const std::vector<uint64_t>& blocks);
  void AddEvent(bool stored, uint64_t block);

  EngineOptions m_options;
  const Clock* m_clock;
  Random m_random;
  uint64_t m_boot;
  uint64_t m_next_order = 0;
  uint64_t m_next_handle = 0;
  bool m_crash_requested = false;
  std::vector<Prefilling> m_prefill_queue;
  std::optional<Prefilling> m_prefilling;
  std::map<std::string, ExportedKv> m_exports;
  std::vector<Decoding> m_decoding;
  std::optional<TimePoint> m_step_ends;
  std::unordered_map<uint64_t, uint64_t> m_cached_blocks;  // To last use.
  std::deque<CacheEvent> m_events;
  uint64_t m_event_sequence = 0;
  TimePoint m_reported_at{};
  std::vector<std::string> m_reported;
  EngineCounters m_counters;
};

}  // namespace burdockhill::standins

#endif  // BURDOCKHILL_STANDINS_ENGINE_MODEL_H_

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

// Capacity and speed of an engine. Durations are measured by its Clock.
struct EngineOptions {
  bool is_prefill = false;  // Else decode.
  int64_t slots = 20;       // Most concurrent decodes.
  int64_t pieces = 160;     // KV cache capacity.
  int64_t piece_tokens = 2048;
  int64_t prefill_rate = 20000;  // Tokens a second.
  Duration prefill_base = std::chrono::milliseconds(2);
  // A decode step takes step_base + step_per_request for each request in it.
  Duration step_base = std::chrono::milliseconds(12);
  Duration step_per_request = std::chrono::microseconds(500);
  int64_t kv_bytes_per_token = 100'000;
  int64_t link_bytes_per_second = 6'000'000'000;
  // How long a finished prefill can be fetched.
  Duration export_time = std::chrono::milliseconds(900);
  int64_t prefix_cache_tokens = 200'000;
  // Refresh interval of the reported requests.
  Duration load_lag = std::chrono::milliseconds(200);
  // Cache events become visible this late, and some are lost.
  Duration event_lag = std::chrono::milliseconds(500);
  int64_t event_loss_percent = 5;
  uint64_t seed = 1;
};

// The KV cache of a finished prefill, for import by a decode engine.
struct ExportedKv {
  std::string request_id;
  uint64_t answer_seed = 0;
  int64_t prompt_tokens = 0;
  int64_t answer_tokens = 0;  // Length of the answer if max_tokens allows it.
  TimePoint expires_at{};
};

struct PrefillResult {
  std::string kv_handle;
  int64_t prompt_tokens = 0;
  int64_t reused_tokens = 0;
};

// Cumulative counts of an engine.
struct EngineCounters {
  int64_t prefill_tokens = 0;  // Without reused ones.
  int64_t reused_tokens = 0;
  int64_t exported_tokens = 0;  // Prompt tokens of finished prefills.
  int64_t imported_tokens = 0;  // Prompt tokens of admitted decodes.
  int64_t decoded_tokens = 0;
  int64_t cancelled = 0;
  int64_t preempted = 0;
};

// A change of the prefix cache.
struct CacheEvent {
  uint64_t sequence = 0;
  bool stored = false;  // Else evicted.
  uint64_t block = 0;   // Hash of the prompt up to the end of the block.
  TimePoint visible_at{};
};

// Simulates the timing and memory use of an engine, without I/O: continuous
// batching, prefix cache, priorities, export and import of KV caches. The
// prompt determines the answer, so that tests can verify its content:
// "[[seed=N]]" and
// "[[length=N]]" in a prompt set the seed and the token count of its answer,
// "[[crash]]" requests a crash when its prefill starts.
class EngineModel {
 public:
  using PrefillCallback = std::function<void(std::optional<PrefillResult>)>;
  // `finish` is empty while more tokens follow. "preempted" reports that the
  // request was evicted for lack of memory; it carries no token.
  using TokenCallback = std::function<void(
      uint64_t offset, const std::string& text, const std::string& finish)>;

  EngineModel(const EngineOptions& options, const Clock* clock);

  // Queues a prefill; smaller `priority` values run first. `on_done` gets
  // nullopt if the prefill is cancelled, and is not called after a crash.
  void Prefill(const std::string& id, int priority, const std::string& prompt,
               PrefillCallback on_done);

  // The exported KV cache of a handle, or nullopt if it expired. A lookup
  // leaves it in place, so that a stalled transfer can be repeated.
  std::optional<ExportedKv> FindExport(const std::string& handle) const;

  // Whether a slot and enough KV cache are free for a prompt of this size.
  bool CanAdmitDecode(int64_t prompt_tokens) const;

  // Imports `kv` over the link and decodes at most `max_tokens` tokens,
  // numbered from `first_offset`. Returns false if no slot or too little KV
  // cache is free.
  bool Decode(const std::string& id, int priority, const ExportedKv& kv,
              int64_t max_tokens, uint64_t first_offset,
              TokenCallback on_token);

  // Ends the prefill and decode of request `id` and frees its exported KV
  // cache. No effect for an unknown id.
  void Cancel(const std::string& id);

  // Drops all requests and cached data without callbacks, as a crash does, and
  // draws a new boot id.
  void Crash();

  // Finishes and starts the work that is due. Returns when to call again, or
  // nullopt if there is no work.
  std::optional<TimePoint> Tick();

  uint64_t BootId() const { return m_boot_id; }
  const EngineOptions& Options() const { return m_options; }
  const EngineCounters& Counters() const { return m_counters; }
  bool CrashRequested() const { return m_crash_requested; }

  // Current state, without the reporting lag.
  int64_t HeldPieces() const;
  std::vector<std::string> HeldRequests() const;
  // Ids of the held requests as the engine reports them, up to load_lag old.
  std::vector<std::string> ReportedRequests();

  // Cache events with a sequence number above `since` that are visible by now.
  // Lost events leave gaps in the sequence.
  std::vector<CacheEvent> EventsSince(uint64_t since) const;

  // The word at `offset` of the answer with this seed.
  static std::string AnswerToken(uint64_t answer_seed, uint64_t offset);

 private:
  struct Prefilling {
    std::string id;
    int priority = 0;
    uint64_t arrival_order = 0;
    std::string prompt;
    PrefillCallback on_done;
    int64_t tokens = 0;
    int64_t reused_tokens = 0;
    TimePoint ends_at{};
  };
  struct Decoding {
    std::string id;
    int priority = 0;
    uint64_t arrival_order = 0;
    uint64_t answer_seed = 0;
    int64_t prompt_tokens = 0;
    int64_t generated_tokens = 0;
    int64_t target_tokens = 0;
    bool stops_naturally = false;
    uint64_t first_offset = 0;
    TimePoint imported_at{};
    TokenCallback on_token;
  };

  void StartPrefill();
  void FinishPrefill();
  void StartDecodeStep();
  void FinishDecodeStep();
  void PreemptForMemory();
  int64_t PiecesForTokens(int64_t tokens) const;
  std::vector<uint64_t> BlockHashes(const std::string& prompt) const;
  int64_t CachedPrefixTokens(const std::vector<uint64_t>& blocks) const;
  void StorePrefix(const std::vector<uint64_t>& blocks);
  void AddEvent(bool stored, uint64_t block);

  EngineOptions m_options;
  const Clock* m_clock;
  Random m_random;
  uint64_t m_boot_id;
  uint64_t m_next_arrival_order = 0;
  uint64_t m_next_handle = 0;
  bool m_crash_requested = false;
  std::vector<Prefilling> m_prefill_queue;
  std::optional<Prefilling> m_prefilling;
  std::map<std::string, ExportedKv> m_exports;
  std::vector<Decoding> m_decoding;
  std::optional<TimePoint> m_step_ends_at;
  std::unordered_map<uint64_t, uint64_t> m_cached_blocks;  // Values: last use.
  std::deque<CacheEvent> m_events;
  uint64_t m_event_sequence = 0;
  TimePoint m_requests_reported_at{};
  std::vector<std::string> m_reported_requests;
  EngineCounters m_counters;
};

}  // namespace burdockhill::standins

#endif  // BURDOCKHILL_STANDINS_ENGINE_MODEL_H_

#include "standins/engine_model.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>
#include <utility>

namespace burdockhill::standins {

namespace {

constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kBlockTokens = 64;
constexpr size_t kMaxCacheEvents = 10'000;
constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr int64_t kMinAnswerTokens = 16;
constexpr int64_t kAnswerTokensRange = 240;

// The number N of a tag "[[name=N]]" in the prompt, if it has one.
std::optional<uint64_t> TagValue(const std::string& prompt,
                                 const std::string& name) {
  const std::string tag = "[[" + name + "=";
  const size_t start = prompt.find(tag);
  if (start == std::string::npos) return std::nullopt;
  uint64_t value = 0;
  const char* begin = prompt.data() + start + tag.size();
  const auto [stop, error] =
      std::from_chars(begin, prompt.data() + prompt.size(), value);
  if (error != std::errc() || stop == begin) return std::nullopt;
  return value;
}

uint64_t CombineHashes(uint64_t a, uint64_t b) {
  const std::array<uint64_t, 2> both = {a, b};
  return XXH3_64bits(both.data(), sizeof(both));
}

}  // namespace

EngineModel::EngineModel(const EngineOptions& options, const Clock* clock)
    : m_options(options),
      m_clock(clock),
      m_random(options.seed),
      m_boot_id(m_random.NextId()) {}

void EngineModel::Prefill(const std::string& id, int priority,
                          const std::string& prompt, PrefillCallback on_done) {
  Prefilling prefilling;
  prefilling.id = id;
  prefilling.priority = priority;
  prefilling.arrival_order = m_next_arrival_order++;
  prefilling.prompt = prompt;
  prefilling.on_done = std::move(on_done);
  prefilling.tokens = static_cast<int64_t>(prompt.size()) / kBytesPerToken + 1;
  m_prefill_queue.push_back(std::move(prefilling));
  StartPrefill();
}

std::optional<ExportedKv> EngineModel::FindExport(
    const std::string& handle) const {
  const auto found = m_exports.find(handle);
  if (found == m_exports.end()) return std::nullopt;
  if (found->second.expires_at <= m_clock->Now()) return std::nullopt;
  return found->second;
}

bool EngineModel::CanAdmitDecode(int64_t prompt_tokens) const {
  return static_cast<int64_t>(m_decoding.size()) < m_options.slots &&
         HeldPieces() + PiecesForTokens(prompt_tokens + 1) <= m_options.pieces;
}

bool EngineModel::Decode(const std::string& id, int priority,
                         const ExportedKv& kv, int64_t max_tokens,
                         uint64_t first_offset, TokenCallback on_token) {
  if (!CanAdmitDecode(kv.prompt_tokens)) return false;
  Decoding decoding;
  decoding.id = id;
  decoding.priority = priority;
  decoding.arrival_order = m_next_arrival_order++;
  decoding.answer_seed = kv.answer_seed;
  decoding.prompt_tokens = kv.prompt_tokens;
  const int64_t natural_tokens = std::max<int64_t>(
      1, kv.answer_tokens - static_cast<int64_t>(first_offset));
  decoding.target_tokens = std::min(natural_tokens, max_tokens);
  decoding.stops_naturally = natural_tokens <= max_tokens;
  decoding.first_offset = first_offset;
  const Duration transfer(kv.prompt_tokens * m_options.kv_bytes_per_token *
                          kMicrosecondsPerSecond /
                          m_options.link_bytes_per_second);
  decoding.imported_at = m_clock->Now() + transfer;
  decoding.on_token = std::move(on_token);
  m_decoding.push_back(std::move(decoding));
  m_counters.imported_tokens += kv.prompt_tokens;
  return true;
}

void EngineModel::Cancel(const std::string& id) {
  const auto has_id = [&](const auto& item) { return item.id == id; };
  std::vector<PrefillCallback> ended;
  for (const Prefilling& queued : m_prefill_queue) {
    if (queued.id == id) ended.push_back(queued.on_done);
  }
  std::erase_if(m_prefill_queue, has_id);
  if (m_prefilling.has_value() && m_prefilling->id == id) {
    ended.push_back(m_prefilling->on_done);
    m_prefilling.reset();
  }
  std::erase_if(m_exports,
                [&](const auto& item) { return item.second.request_id == id; });
  const size_t erased = std::erase_if(m_decoding, has_id);
  if (erased > 0 || !ended.empty()) ++m_counters.cancelled;
  for (const PrefillCallback& on_done : ended) on_done(std::nullopt);
  StartPrefill();
}

void EngineModel::Crash() {
  m_crash_requested = false;
  m_prefill_queue.clear();
  m_prefilling.reset();
  m_exports.clear();
  m_decoding.clear();
  m_step_ends_at.reset();
  m_cached_blocks.clear();
  m_reported_requests.clear();
  m_boot_id = m_random.NextId();
}

std::optional<TimePoint> EngineModel::Tick() {
  const TimePoint now = m_clock->Now();
  std::erase_if(m_exports, [&](const auto& item) {
    return item.second.expires_at <= now;
  });
  if (m_prefilling.has_value() && m_prefilling->ends_at <= now) FinishPrefill();
  if (m_step_ends_at.has_value() && *m_step_ends_at <= now) FinishDecodeStep();
  StartPrefill();
  StartDecodeStep();
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint at) {
    if (!next.has_value() || at < *next) next = at;
  };
  if (m_prefilling.has_value()) consider(m_prefilling->ends_at);
  if (m_step_ends_at.has_value()) consider(*m_step_ends_at);
  if (!m_step_ends_at.has_value()) {
    for (const Decoding& decoding : m_decoding) consider(decoding.imported_at);
  }
  for (const auto& [handle, kv] : m_exports) consider(kv.expires_at);
  return next;
}

int64_t EngineModel::HeldPieces() const {
  int64_t pieces = 0;
  for (const Decoding& decoding : m_decoding) {
    pieces +=
        PiecesForTokens(decoding.prompt_tokens + decoding.generated_tokens + 1);
  }
  if (m_prefilling.has_value()) pieces += PiecesForTokens(m_prefilling->tokens);
  for (const auto& [handle, kv] : m_exports) {
    pieces += PiecesForTokens(kv.prompt_tokens);
  }
  return pieces;
}

std::vector<std::string> EngineModel::HeldRequests() const {
  std::vector<std::string> ids;
  for (const Prefilling& queued : m_prefill_queue) ids.push_back(queued.id);
  if (m_prefilling.has_value()) ids.push_back(m_prefilling->id);
  for (const Decoding& decoding : m_decoding) ids.push_back(decoding.id);
  return ids;
}

std::vector<std::string> EngineModel::ReportedRequests() {
  const TimePoint now = m_clock->Now();
  if (now - m_requests_reported_at >= m_options.load_lag) {
    m_requests_reported_at = now;
    m_reported_requests = HeldRequests();
  }
  return m_reported_requests;
}

std::vector<CacheEvent> EngineModel::EventsSince(uint64_t since) const {
  std::vector<CacheEvent> events;
  for (const CacheEvent& event : m_events) {
    if (event.sequence > since && event.visible_at <= m_clock->Now()) {
      events.push_back(event);
    }
  }
  return events;
}

std::string EngineModel::AnswerToken(uint64_t answer_seed, uint64_t offset) {
  static constexpr std::array<const char*, 16> kWords = {
      "slot",   "cured", "panel",  "booth", "paint", "order",
      "frame",  "ready", "quote",  "shift", "coat",  "skylight",
      "survey", "crew",  "clinic", "dry"};
  const uint64_t mixed = CombineHashes(answer_seed, offset);
  return std::string(offset == 0 ? "" : " ") + kWords[mixed % kWords.size()];
}

void EngineModel::StartPrefill() {
  if (m_prefilling.has_value() || m_prefill_queue.empty()) return;
  const auto next =
      std::min_element(m_prefill_queue.begin(), m_prefill_queue.end(),
                       [](const Prefilling& a, const Prefilling& b) {
                         return std::tie(a.priority, a.arrival_order) <
                                std::tie(b.priority, b.arrival_order);
                       });
  m_prefilling = std::move(*next);
  m_prefill_queue.erase(next);
  if (m_prefilling->prompt.find("[[crash]]") != std::string::npos) {
    m_crash_requested = true;
  }
  m_prefilling->reused_tokens =
      std::min(CachedPrefixTokens(BlockHashes(m_prefilling->prompt)),
               m_prefilling->tokens - 1);
  const int64_t computed = m_prefilling->tokens - m_prefilling->reused_tokens;
  m_prefilling->ends_at =
      m_clock->Now() + m_options.prefill_base +
      Duration(computed * kMicrosecondsPerSecond / m_options.prefill_rate);
}

void EngineModel::FinishPrefill() {
  const Prefilling finished = *std::exchange(m_prefilling, std::nullopt);
  StorePrefix(BlockHashes(finished.prompt));
  m_counters.prefill_tokens += finished.tokens - finished.reused_tokens;
  m_counters.reused_tokens += finished.reused_tokens;
  m_counters.exported_tokens += finished.tokens;
  ExportedKv kv;
  kv.request_id = finished.id;
  kv.prompt_tokens = finished.tokens;
  const uint64_t hash =
      XXH3_64bits(finished.prompt.data(), finished.prompt.size());
  kv.answer_seed = TagValue(finished.prompt, "seed").value_or(hash);
  kv.answer_tokens = static_cast<int64_t>(
      TagValue(finished.prompt, "length")
          .value_or(kMinAnswerTokens + kv.answer_seed % kAnswerTokensRange));
  kv.expires_at = m_clock->Now() + m_options.export_time;
  const std::string handle =
      "kv-" + std::to_string(m_boot_id) + "-" + std::to_string(m_next_handle++);
  m_exports[handle] = kv;
  finished.on_done(
      PrefillResult{handle, finished.tokens, finished.reused_tokens});
}

void EngineModel::StartDecodeStep() {
  if (m_step_ends_at.has_value()) return;
  const TimePoint now = m_clock->Now();
  const auto ready =
      std::count_if(m_decoding.begin(), m_decoding.end(),
                    [&](const Decoding& d) { return d.imported_at <= now; });
  if (ready == 0) return;
  m_step_ends_at =
      now + m_options.step_base + m_options.step_per_request * ready;
}

void EngineModel::FinishDecodeStep() {
  const TimePoint step_ended_at = *std::exchange(m_step_ends_at, std::nullopt);
  PreemptForMemory();
  struct Output {
    TokenCallback on_token;
    uint64_t offset;
    std::string text;
    std::string finish;
  };
  std::vector<Output> outputs;
  for (Decoding& decoding : m_decoding) {
    if (decoding.imported_at >= step_ended_at) continue;
    const uint64_t offset = decoding.first_offset +
                            static_cast<uint64_t>(decoding.generated_tokens);
    ++decoding.generated_tokens;
    ++m_counters.decoded_tokens;
    std::string finish;
    if (decoding.generated_tokens == decoding.target_tokens) {
      finish = decoding.stops_naturally ? "stop" : "length";
    }
    outputs.push_back({decoding.on_token, offset,
                       AnswerToken(decoding.answer_seed, offset), finish});
  }
  std::erase_if(m_decoding, [](const Decoding& decoding) {
    return decoding.generated_tokens == decoding.target_tokens;
  });
  for (const Output& output : outputs) {
    output.on_token(output.offset, output.text, output.finish);
  }
}

// Evicts decodes until the KV cache fits: the least urgent first (largest
// priority value), the newest first among equals.
void EngineModel::PreemptForMemory() {
  while (HeldPieces() > m_options.pieces && !m_decoding.empty()) {
    const auto victim =
        std::max_element(m_decoding.begin(), m_decoding.end(),
                         [](const Decoding& a, const Decoding& b) {
                           return std::tie(a.priority, a.arrival_order) <
                                  std::tie(b.priority, b.arrival_order);
                         });
    const TokenCallback on_token = std::move(victim->on_token);
    m_decoding.erase(victim);
    ++m_counters.preempted;
    on_token(0, "", "preempted");
  }
}

int64_t EngineModel::PiecesForTokens(int64_t tokens) const {
  return PiecesFor(Tokens(tokens), Tokens(m_options.piece_tokens)).Value();
}

std::vector<uint64_t> EngineModel::BlockHashes(
    const std::string& prompt) const {
  constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  std::vector<uint64_t> blocks;
  uint64_t chain = 0;
  for (size_t at = 0; at + kBlockBytes <= prompt.size(); at += kBlockBytes) {
    chain = CombineHashes(chain, XXH3_64bits(prompt.data() + at, kBlockBytes));
    blocks.push_back(chain);
  }
  return blocks;
}

int64_t EngineModel::CachedPrefixTokens(
    const std::vector<uint64_t>& blocks) const {
  int64_t found = 0;
  for (const uint64_t block : blocks) {
    if (!m_cached_blocks.contains(block)) break;
    ++found;
  }
  return found * kBlockTokens;
}

void EngineModel::StorePrefix(const std::vector<uint64_t>& blocks) {
  for (const uint64_t block : blocks) {
    if (!m_cached_blocks.contains(block)) AddEvent(true, block);
    m_cached_blocks[block] = m_next_arrival_order;
  }
  const auto limit =
      static_cast<size_t>(m_options.prefix_cache_tokens / kBlockTokens);
  if (m_cached_blocks.size() <= limit) return;
  // Evicts the least recently used blocks, a tenth of the limit beyond the
  // excess, so that not every insertion evicts.
  std::vector<std::pair<uint64_t, uint64_t>> by_use;
  for (const auto& [block, used] : m_cached_blocks) {
    by_use.emplace_back(used, block);
  }
  std::sort(by_use.begin(), by_use.end());
  const size_t excess = m_cached_blocks.size() - limit + limit / 10;
  for (size_t i = 0; i < std::min(excess, by_use.size()); ++i) {
    m_cached_blocks.erase(by_use[i].second);
    AddEvent(false, by_use[i].second);
  }
}

void EngineModel::AddEvent(bool stored, uint64_t block) {
  constexpr uint64_t kPercent = 100;
  const uint64_t sequence = ++m_event_sequence;
  if (m_random.UniformBelow(kPercent) <
      static_cast<uint64_t>(m_options.event_loss_percent)) {
    return;
  }
  m_events.push_back(
      {sequence, stored, block, m_clock->Now() + m_options.event_lag});
  if (m_events.size() > kMaxCacheEvents) m_events.pop_front();
}

}  // namespace burdockhill::standins

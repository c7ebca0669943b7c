#include "burdockhill/src/routing/engine_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhill {

namespace {

// A single agent is asked if its engine has this multiple of the needed memory
// free.
constexpr int kAmpleMemoryFactor = 2;
// Agents to which a request is offered at a time.
constexpr size_t kMaxAsked = 2;
// The stated waits of this many engines stand for those of engines that report
// none.
constexpr size_t kMinStatedWaits = 2;
// Rates until an engine has measured one, in tokens a second.
constexpr double kDefaultPromptRate = 40000.0;
constexpr double kDefaultOutputRate = 1000.0;

// Samples have at least this size: among a few engines, a good choice matters
// more than spreading.
constexpr size_t kMinSampleSize = 9;

// All entries see the same reports, which are some 100 ms old: if each took the
// best engine of all, they would all send their requests to one engine until
// its next report.
size_t SampleSize(size_t count) {
  return std::clamp(
      static_cast<size_t>(std::ceil(std::sqrt(static_cast<double>(count)))),
      std::min(count, kMinSampleSize), count);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

void EnginePlacement::EstimateUnknownWaits(std::vector<Choice>* choices) {
  Duration sum(0);
  int known = 0;
  size_t stated = 0;
  Tokens most_spare_refused;
  for (const Choice& choice : *choices) {
    if (!choice.grant.is_known || choice.grant.wait == Duration(0)) continue;
    sum += choice.grant.wait;
    ++known;
    if (!choice.grant.is_stated) continue;
    ++stated;
    most_spare_refused = std::max(most_spare_refused, choice.spare_memory);
  }
  if (stated < kMinStatedWaits) return;
  for (Choice& choice : *choices) {
    const bool is_unknown = !choice.grant.is_known;
    // One that reports more free memory than those that refused may have room.
    if (!is_unknown || choice.spare_memory > most_spare_refused) continue;
    choice.grant.wait = sum / known;
    choice.grant.is_known = true;
  }
}

double EnginePlacement::MeanRate(
    EngineRole role,
    const std::vector<const RegisteredUpstream*>& engines) const {
  double sum = 0;
  int count = 0;
  for (const RegisteredUpstream* engine : engines) {
    const EngineOutlook* outlook = m_outlooks.Find(engine->name);
    if (outlook == nullptr || outlook->RateOf(role) <= 0) continue;
    sum += outlook->RateOf(role);
    ++count;
  }
  if (count > 0) return sum / count;
  return role == EngineRole::kPrefill ? kDefaultPromptRate : kDefaultOutputRate;
}

EnginePlacement::Choice EnginePlacement::Assess(
    const RegisteredUpstream& upstream, const EngineDemand& demand,
    const PlacementPath& path, double mean_rate, TimePoint now) const {
  static const EngineOutlook kNothingKnown;
  const EngineOutlook* found = m_outlooks.Find(upstream.name);
  const EngineOutlook& outlook = found == nullptr ? kNothingKnown : *found;
  const double own_rate = outlook.RateOf(demand.role);
  const double rate = own_rate > 0 ? own_rate : mean_rate;
  Choice choice;
  choice.upstream = &upstream;
  choice.grant = outlook.Expect(demand, rate, now);
  choice.spare_memory = outlook.SpareMemory();
  choice.misses_target = choice.grant.wait > demand.target_left;
  choice.sample_key = rate;
  const Distance from_entry = m_zones.Between(path.entry, upstream.zone);
  std::optional<Duration> kv_time;
  for (const ZoneName& zone : path.kv_ends) {
    const Duration time = KvTransferTime(path.limits, demand.prompt,
                                         m_zones.Between(zone, upstream.zone)) +
                          OneWayDelay(m_zones.Between(zone, upstream.zone));
    kv_time = std::min(kv_time.value_or(time), time);
  }
  choice.first_token = choice.grant.wait + 2 * OneWayDelay(from_entry) +
                       TransferTime(path.request_bytes, from_entry) +
                       kv_time.value_or(Duration(0));
  if (demand.role == EngineRole::kPrefill) {
    choice.first_token +=
        FromSeconds(static_cast<double>(demand.prompt.Value()) / rate);
    choice.completion = choice.first_token;
    return choice;
  }
  choice.completion =
      choice.first_token +
      FromSeconds(static_cast<double>(demand.expected_output.Value()) / rate);
  if (choice.grant.wait > Duration(0)) return choice;
  choice.completion += outlook.RiskOfWait(demand, rate);
  return choice;
}

bool EnginePlacement::IsBetter(const Choice& a, const Choice& b) {
  if (a.misses_target != b.misses_target) return b.misses_target;
  const Duration time_a = a.misses_target ? a.first_token : a.completion;
  const Duration time_b = b.misses_target ? b.first_token : b.completion;
  return time_a != time_b ? time_a < time_b
                          : a.upstream->name < b.upstream->name;
}

EnginePlacement::Ranking EnginePlacement::RankChoices(
    const EngineDemand& demand,
    const std::vector<const RegisteredUpstream*>& candidates,
    const PlacementPath& path, TimePoint now, Random* random) const {
  Ranking ranking;
  std::vector<Choice>& choices = ranking.choices;
  choices.reserve(candidates.size());
  const double mean_rate = MeanRate(demand.role, candidates);
  for (const RegisteredUpstream* upstream : candidates) {
    const EngineOutlook* outlook = m_outlooks.Find(upstream->name);
    if (outlook != nullptr && outlook->IsClosed(demand.role, now)) continue;
    choices.push_back(Assess(*upstream, demand, path, mean_rate, now));
    // Weighted sampling without replacement: the key of an engine of twice the
    // rate is half as large in the mean.
    Choice& choice = choices.back();
    choice.sample_key =
        -std::log(1 - random->UniformDouble()) / choice.sample_key;
  }
  ranking.sample_size = SampleSize(choices.size());
  std::sort(choices.begin(), choices.end(),
            [](const Choice& a, const Choice& b) {
              return a.sample_key < b.sample_key;
            });
  const auto sample_end =
      choices.begin() + static_cast<std::ptrdiff_t>(ranking.sample_size);
  std::sort(choices.begin(), sample_end, IsBetter);
  std::sort(sample_end, choices.end(), IsBetter);
  EstimateUnknownWaits(&choices);
  return ranking;
}

std::vector<UpstreamName> EnginePlacement::Rank(
    const EngineDemand& demand,
    const std::vector<const RegisteredUpstream*>& candidates,
    const PlacementPath& path, TimePoint now, Random* random) const {
  std::vector<UpstreamName> names;
  for (const Choice& choice :
       RankChoices(demand, candidates, path, now, random).choices) {
    names.push_back(choice.upstream->name);
  }
  return names;
}

const EnginePlacement::Choice* EnginePlacement::FindQueue(
    const EngineDemand& demand, const Ranking& ranking) {
  for (const Choice& choice : ranking.choices) {
    const bool in_time =
        !choice.grant.is_stated &&
        (!choice.grant.is_known || choice.grant.wait == Duration(0) ||
         choice.grant.wait < demand.max_wait);
    if (in_time) return &choice;
  }
  return nullptr;
}

std::vector<UpstreamName> EnginePlacement::FindRoom(const EngineDemand& demand,
                                                    const Ranking& ranking,
                                                    size_t asked) {
  std::vector<UpstreamName> found;
  const int64_t size = demand.Size().Value();
  for (const Choice& choice : ranking.choices) {
    if (asked + found.size() >= kMaxAsked) break;
    if (choice.grant.is_stated || choice.spare_memory.Value() < size) continue;
    found.push_back(choice.upstream->name);
    if (choice.spare_memory.Value() >= kAmpleMemoryFactor * size) break;
  }
  return found;
}

EnginePlacement::Plan EnginePlacement::Decide(
    const EngineDemand& demand,
    const std::vector<const RegisteredUpstream*>& candidates, size_t asked,
    const PlacementPath& path, TimePoint now, Random* random) const {
  const Ranking ranking = RankChoices(demand, candidates, path, now, random);
  Plan plan;
  for (const Choice& choice : ranking.choices) {
    const Duration wait = choice.grant.wait;
    plan.expected_in = std::min(plan.expected_in.value_or(wait), wait);
  }
  if (demand.role == EngineRole::kDecode) {
    plan.ask = FindRoom(demand, ranking, asked);
    plan.has_room = !plan.ask.empty();
  }
  if (plan.has_room || asked > 0) return plan;
  const Choice* queue = FindQueue(demand, ranking);
  if (queue == nullptr) return plan;
  plan.ask.push_back(queue->upstream->name);
  if (queue->grant.is_known || demand.role == EngineRole::kPrefill) return plan;
  // The wait there is unknown. Another engine may have room earlier.
  for (const Choice& choice : ranking.choices) {
    if (choice.grant.is_known || &choice == queue) continue;
    plan.ask.push_back(choice.upstream->name);
    break;
  }
  return plan;
}

}  // namespace burdockhill

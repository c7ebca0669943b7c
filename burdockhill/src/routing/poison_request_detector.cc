#include "burdockhill/src/routing/poison_request_detector.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace burdockhill {

namespace {

// Different upstreams that a request crashes before it is barred; the users
// require this limit.
constexpr size_t kCrashesToBar = 3;
// How long a crash may stay unconfirmed. A crashed upstream's registration
// lapses after three missed heartbeats, and the registry may report that late.
constexpr Duration kConfirmationTimeout = std::chrono::seconds(8);
// Time after the latest crash at which a request is admitted again and its
// crashes are forgotten.
constexpr Duration kCrashMaxAge = std::chrono::minutes(2);
// Most suspects kept at a time; an outage makes one of every open call. The
// oldest are dropped first.
constexpr size_t kMaxSuspects = 1000;

}  // namespace

RequestFingerprint FingerprintOf(std::string_view method, std::string_view host,
                                 std::string_view target,
                                 std::string_view body) {
  uint64_t hash = 0;
  for (const std::string_view part : {method, host, target, body}) {
    hash = XXH64(part.data(), part.size(), hash);
  }
  return RequestFingerprint(hash | 1);
}

void PoisonRequestDetector::RecordBrokenConnection(
    RequestFingerprint request, const UpstreamName& upstream, TimePoint now,
    std::vector<PromptPartName> parts) {
  if (m_suspects.size() >= kMaxSuspects) m_suspects.erase(m_suspects.begin());
  m_suspects.push_back({{request, upstream}, now, std::move(parts)});
}

void PoisonRequestDetector::ConfirmCrash(const Suspect& suspect,
                                         TimePoint now) {
  if (AddCrash(suspect.crash, now)) m_new_crashes.push_back(suspect.crash);
  if (suspect.parts.empty()) return;
  m_new_prompt_crashes.push_back(
      {suspect.parts, suspect.crash.upstream, suspect.broken_at});
}

void PoisonRequestDetector::RecordUnreachable(const UpstreamName& upstream,
                                              TimePoint now) {
  std::erase_if(m_suspects, [&](const Suspect& suspect) {
    if (suspect.crash.upstream != upstream) return false;
    ConfirmCrash(suspect, now);
    return true;
  });
}

void PoisonRequestDetector::RecordCompleteResponse(RequestFingerprint request) {
  std::erase_if(m_suspects, [&](const Suspect& suspect) {
    return suspect.crash.request == request;
  });
  m_counted.erase(request);
}

void PoisonRequestDetector::Tick(const UpstreamDirectory& directory,
                                 TimePoint now) {
  std::erase_if(m_suspects, [&](const Suspect& suspect) {
    if (now - suspect.broken_at > kConfirmationTimeout) return true;
    const RegisteredUpstream* upstream = directory.Find(suspect.crash.upstream);
    if (upstream != nullptr && !directory.IsSuperseded(*upstream)) return false;
    ConfirmCrash(suspect, now);
    return true;
  });
  std::erase_if(m_counted, [&](const auto& entry) {
    return now - entry.second.latest_at > kCrashMaxAge;
  });
}

bool PoisonRequestDetector::AddCrash(const UpstreamCrash& crash,
                                     TimePoint now) {
  CountedCrashes& counted = m_counted[crash.request];
  counted.latest_at = now;
  return counted.upstreams.insert(crash.upstream).second;
}

bool PoisonRequestDetector::IsBarred(RequestFingerprint request) const {
  const auto found = m_counted.find(request);
  return found != m_counted.end() &&
         found->second.upstreams.size() >= kCrashesToBar;
}

std::vector<UpstreamCrash> PoisonRequestDetector::DrainNewCrashes() {
  return std::exchange(m_new_crashes, {});
}

std::vector<PromptCrash> PoisonRequestDetector::DrainPromptCrashes() {
  return std::exchange(m_new_prompt_crashes, {});
}

std::vector<UpstreamCrash> PoisonRequestDetector::AllCrashes() const {
  std::vector<UpstreamCrash> all;
  for (const auto& [request, counted] : m_counted) {
    for (const UpstreamName& upstream : counted.upstreams) {
      all.push_back({request, upstream});
    }
  }
  return all;
}

}  // namespace burdockhill

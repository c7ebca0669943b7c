#include "burdockhill/src/routing/prompt_part_quarantine.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

constexpr size_t kCrashesToBlame = 3;
// Reports of one crash by several entries differ by the delay of the network.
// An upstream that crashes again has taken longer to restart.
constexpr Duration kSameCrashTime = std::chrono::seconds(1);
constexpr size_t kMaxCrashesPerPart = 16;
constexpr size_t kMaxPartsPerCrash = 256;
constexpr size_t kMaxParts = 4096;
// After the latest crash or refused prompt.
constexpr Duration kEvidenceLifetime = std::chrono::minutes(10);
// Longer than a crash may stay unconfirmed.
constexpr Duration kSoundAnswerLifetime = std::chrono::seconds(15);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

}  // namespace

bool PromptPartQuarantine::IsSameCrash(const Crash& a, const Crash& b) {
  const Duration distance = a.at > b.at ? a.at - b.at : b.at - a.at;
  return a.upstream == b.upstream && distance < kSameCrashTime;
}

bool PromptPartQuarantine::Covers(const Evidence& other, const Evidence& part) {
  return std::all_of(
      part.crashes.begin(), part.crashes.end(), [&](const Crash& crash) {
        return std::any_of(
            other.crashes.begin(), other.crashes.end(),
            [&](const Crash& known) { return IsSameCrash(crash, known); });
      });
}

void PromptPartQuarantine::RecordCrash(const PromptCrash& crash,
                                       TimePoint now) {
  const size_t count = std::min(crash.parts.size(), kMaxPartsPerCrash);
  for (size_t i = 0; i < count; ++i) {
    const PromptPartName& part = crash.parts[i];
    if (AddCrash(part, {crash.upstream, crash.at}, now)) {
      m_reports.push_back({part, crash.upstream, crash.at});
    }
  }
}

bool PromptPartQuarantine::AddCrash(const PromptPartName& part,
                                    const Crash& crash, TimePoint now) {
  if (const auto sound = m_sound.find(part);
      sound != m_sound.end() && sound->second.started_at > crash.at) {
    // The entry that reports this crash may not know of the answer.
    if (!std::exchange(sound->second.reported, true)) {
      m_reports.push_back({part, UpstreamName(), sound->second.started_at});
    }
    return false;
  }
  if (m_evidence.size() >= kMaxParts && !m_evidence.contains(part)) {
    DropOldestEvidence();
  }
  Evidence& evidence = m_evidence[part];
  const bool is_known = std::any_of(
      evidence.crashes.begin(), evidence.crashes.end(),
      [&](const Crash& known) { return IsSameCrash(crash, known); });
  if (is_known || evidence.crashes.size() >= kMaxCrashesPerPart) return false;
  evidence.crashes.push_back(crash);
  evidence.used_at = now;
  if (evidence.crashes.size() == kCrashesToBlame) m_has_new_blame = true;
  return true;
}

void PromptPartQuarantine::RecordSoundAnswer(
    const std::vector<PromptPartName>& parts, TimePoint started_at) {
  for (const PromptPartName& part : parts) {
    if (!Clear(part, started_at)) continue;
    MarkReported(part);
    m_reports.push_back({part, UpstreamName(), started_at});
  }
}

bool PromptPartQuarantine::Clear(const PromptPartName& part,
                                 TimePoint started_at) {
  const bool is_full = m_sound.size() >= kMaxParts && !m_sound.contains(part);
  if (!is_full) {
    SoundAnswer& sound = m_sound[part];
    if (started_at > sound.started_at) sound = {started_at, false};
  }
  const auto found = m_evidence.find(part);
  if (found == m_evidence.end()) return false;
  const size_t cleared =
      std::erase_if(found->second.crashes,
                    [&](const Crash& crash) { return crash.at < started_at; });
  if (found->second.crashes.empty()) m_evidence.erase(found);
  return cleared > 0;
}

bool PromptPartQuarantine::AddReport(const PromptPartReport& report,
                                     TimePoint now) {
  if (report.crashed_upstream.IsValid()) {
    return AddCrash(report.part, {report.crashed_upstream, report.at}, now);
  }
  if (!Clear(report.part, report.at)) return false;
  MarkReported(report.part);
  return true;
}

void PromptPartQuarantine::MarkReported(const PromptPartName& part) {
  const auto sound = m_sound.find(part);
  if (sound != m_sound.end()) sound->second.reported = true;
}

bool PromptPartQuarantine::MustRefuse(const std::vector<PromptPartName>& parts,
                                      TimePoint now) {
  if (m_evidence.empty()) return false;
  bool refuse = false;
  for (const PromptPartName& part : parts) {
    const auto found = m_evidence.find(part);
    if (found == m_evidence.end() ||
        found->second.crashes.size() < kCrashesToBlame ||
        IsExplainedByOthers(found->second, parts)) {
      continue;
    }
    found->second.used_at = now;
    refuse = true;
  }
  return refuse;
}

bool PromptPartQuarantine::IsExplainedByOthers(
    const Evidence& evidence, const std::vector<PromptPartName>& parts) const {
  return std::any_of(m_evidence.begin(), m_evidence.end(), [&](const auto& e) {
    return std::find(parts.begin(), parts.end(), e.first) == parts.end() &&
           Covers(e.second, evidence);
  });
}

bool PromptPartQuarantine::TakeNewBlame() {
  return std::exchange(m_has_new_blame, false);
}

void PromptPartQuarantine::DropOldestEvidence() {
  m_evidence.erase(std::min_element(
      m_evidence.begin(), m_evidence.end(), [](const auto& a, const auto& b) {
        return a.second.used_at < b.second.used_at;
      }));
}

void PromptPartQuarantine::Tick(TimePoint now) {
  if (now < m_next_expiry) return;
  m_next_expiry = now + kExpiryInterval;
  std::erase_if(m_evidence, [&](const auto& entry) {
    return now - entry.second.used_at > kEvidenceLifetime;
  });
  std::erase_if(m_sound, [&](const auto& entry) {
    return now - entry.second.started_at > kSoundAnswerLifetime;
  });
}

std::vector<PromptPartReport> PromptPartQuarantine::DrainReports() {
  return std::exchange(m_reports, {});
}

std::vector<PromptPartReport> PromptPartQuarantine::AllCrashes() const {
  std::vector<PromptPartReport> all;
  for (const auto& [part, evidence] : m_evidence) {
    for (const Crash& crash : evidence.crashes) {
      all.push_back({part, crash.upstream, crash.at});
    }
  }
  return all;
}

bool PromptPartQuarantine::IsBlamed(const PromptPartName& part) const {
  const auto found = m_evidence.find(part);
  return found != m_evidence.end() &&
         found->second.crashes.size() >= kCrashesToBlame;
}

}  // namespace burdockhill

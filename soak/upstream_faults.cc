// How Upstreams begins and ends its faults.

#include <algorithm>
#include <iostream>
#include <limits>
#include <string>

#include "soak/upstreams.h"

namespace burdockhill::soak {

namespace {

constexpr Duration kPause = std::chrono::milliseconds(2000);
constexpr Duration kMinSilence = std::chrono::milliseconds(700);
constexpr uint64_t kMaxMoreSilenceMs = 600;
constexpr Duration kMinEndless = std::chrono::milliseconds(1000);
constexpr uint64_t kMaxMoreEndlessMs = 1500;
constexpr uint64_t kEndlessPerStore = 5;
constexpr Duration kMoreSilence = std::chrono::milliseconds(1500);
constexpr Duration kLostAnswersTime = std::chrono::milliseconds(5000);
constexpr uint64_t kMaxHeadsToCut = 4;
constexpr uint64_t kMaxMalformed = 3;
constexpr uint64_t kMalformedWays = 1000;

}  // namespace

// Has an upstream state a limit until the load ends.
void Upstreams::LimitUpstream() {
  const size_t index =
      m_random.UniformBelow(m_engines.size() + m_plain_services.size());
  const bool plain = index >= m_engines.size();
  emulation::RequestRate& rate =
      plain ? m_plain_services[index - m_engines.size()]->Rate()
            : m_engines[index].fake->Rate();
  if (rate.Limit().has_value()) return;
  rate.SetLimit((plain ? 2.0 : 0.5) * (1 + m_random.UniformDouble()));
  m_limited.push_back({&rate, *rate.Limit(), m_environment.clock->Now(), {}});
}

void Upstreams::LiftLimits() {
  for (Limited& limited : m_limited) {
    limited.rate->SetLimit(std::nullopt);
    limited.until = m_environment.clock->Now();
  }
}

// Has the last plain service leave, or pause, unless it does already.
void Upstreams::MakeStatement(bool leaves) {
  const TimePoint now = m_environment.clock->Now();
  if (!m_statements.empty() && now < m_statements.back().until) return;
  const TimePoint until = leaves ? TimePoint::max() : now + kPause;
  m_statements.push_back({leaves, now, until});
  if (leaves) {
    StatingService().SetStatesLeaving(true);
  } else {
    StatingService().PauseUntil(until);
  }
}

// A new process takes the place of one that leaves.
void Upstreams::EndLeaving() {
  if (m_statements.empty() || !m_statements.back().leaves) return;
  Statement& statement = m_statements.back();
  statement.until = std::min(statement.until, m_environment.clock->Now());
  StatingService().SetStatesLeaving(false);
  RegisterPlain(static_cast<int>(m_plain_services.size()) - 1, "ready");
}

// With the budget, of half of the other upstreams too, and for longer; retries
// at plain services are many.
void Upstreams::Silence(FaultProxy* proxy, TimePoint until) {
  proxy->SilenceUntil(until);
  if (!m_environment.Plays("budget")) return;
  for (const auto& other : m_proxies) {
    if (m_random.UniformBelow(2) == 0) {
      other->SilenceUntil(until + kMoreSilence);
    }
  }
  // The plain services run each try for a while, and its answer is lost.
  for (size_t i = m_engines.size(); i < m_proxies.size(); ++i) {
    FaultProxy* plain = m_proxies[i].get();
    plain->CutHeads(std::numeric_limits<int>::max(), /*position=*/0.5,
                    /*reset=*/true);
    m_environment.queue->Schedule(kLostAnswersTime,
                                  [plain] { plain->CutHeads(0, 0, false); });
  }
}

// Returns false if the run plays no such fault, or it is another one's turn.
bool Upstreams::InjectFaultOfClass() {
  const bool is_engine = m_random.UniformBelow(2) == 0;
  FaultProxy& proxy =
      *m_proxies[is_engine ? m_random.UniformBelow(m_engines.size())
                           : m_random.UniformBelow(m_proxies.size())];
  const uint64_t number = m_random.UniformBelow(kMaxMoreSilenceMs);
  switch (m_random.UniformBelow(m_environment.is_calm ? 4 : 8)) {
    case 0:
      if (m_environment.is_calm) ChangeConfiguration();
      return m_environment.is_calm;
    case 1:
      if (m_environment.Plays("versions")) Release();
      return m_environment.Plays("versions");
    case 2:
      if (!m_environment.Plays("heads")) return false;
      proxy.CutHeads(static_cast<int>(1 + number % kMaxHeadsToCut),
                     m_random.UniformDouble(), number % 2 == 0);
      return true;
    case 3:
      if (!m_environment.Plays("silence")) return false;
      ++m_event_counts.silences;
      Silence(&proxy, m_environment.clock->Now() + kMinSilence +
                          std::chrono::milliseconds(number));
      return true;
    default:
      return false;
  }
}

void Upstreams::InjectFault() {
  if (m_environment.Plays("endless") &&
      m_environment.clock->Now() >= m_endless_until &&
      m_random.UniformBelow(2) == 0) {
    return BeginEndless();
  }
  if (m_environment.Plays("malformed") && m_random.UniformBelow(3) != 0) {
    FaultProxy& proxy = *m_proxies[m_random.UniformBelow(m_proxies.size())];
    return proxy.SendMalformed(
        static_cast<int>(1 + m_random.UniformBelow(kMaxMalformed)),
        m_random.UniformBelow(kMalformedWays));
  }
  if (InjectFaultOfClass() || m_environment.is_calm) return;
  FaultProxy& proxy = *m_proxies[m_random.UniformBelow(m_proxies.size())];
  switch (m_random.UniformBelow(22)) {
    case 0:
      return proxy.CloseAll(/*reset=*/true);
    case 9:
      return proxy.CloseAll(/*reset=*/false);
    case 1:
      return proxy.SetFault(FaultProxy::Fault::kDropAll);
    case 2:
      return proxy.SetFault(FaultProxy::Fault::kDropResponses);
    case 3:
      return m_store.SetOutage(Store::Outage::kSilent);
    case 4:
      return m_store.SetOutage(Store::Outage::kErrors);
    case 5:
      return m_store.DiscardHistory();
    case 6:
      return RegisterPlain(
          0, m_random.UniformBelow(2) == 0 ? "draining" : "ready");
    case 7:
      return proxy.SetDelay(
          std::chrono::milliseconds(m_random.UniformBelow(400)));
    case 8:
      return ChangeConfiguration();
    case 10:
      return m_store.SaveCopy();
    case 11:
      return RestoreStore();
    case 12:
      return LimitUpstream();
    case 13:
      return MakeStatement(/*leaves=*/m_random.UniformBelow(2) == 0);
    case 14:
      return proxy.SetRepeats(true);
    case 15:
      return WriteUnreadableEntry();
    default:
      return ClearFaults();
  }
}

// Entries that cannot be read stay in the store for good.
void Upstreams::WriteUnreadableEntry() {
  const uint64_t number = m_random.UniformBelow(10);
  m_store.PutUnreadable("servers", "a" + std::to_string(number), number);
  m_store.PutUnreadable("config", "odd", number);
}

void Upstreams::ClearFaults() {
  EndLeaving();
  for (const auto& proxy : m_proxies) {
    proxy->SetRepeats(false);
    proxy->SetFault(FaultProxy::Fault::kNone);
    proxy->SetDelay(Duration(0));
  }
  m_store.SetOutage(Store::Outage::kNone);
  RegisterPlain(0, "ready");
}

void Upstreams::EndFaults() {
  ClearFaults();
  EndEndless();
  for (const auto& proxy : m_proxies) {
    proxy->CutHeads(0, 0, false);
    proxy->SendMalformed(0, 0);
  }
  LiftLimits();
  WriteAll();
}

void Upstreams::BeginEndless() {
  const auto& answers = EndlessAnswers();
  const Duration duration =
      kMinEndless +
      std::chrono::milliseconds(m_random.UniformBelow(kMaxMoreEndlessMs));
  m_endless_until = m_environment.clock->Now() + duration;
  std::cout << "ENDLESS for " << duration.count() / 1000 << " ms:";
  const auto begin = [&](FaultProxy* proxy, const std::string& name) {
    const EndlessAnswer& answer =
        answers[m_random.UniformBelow(answers.size())];
    proxy->SendEndless(answer, m_endless_until);
    std::cout << " " << name << " " << answer.name;
  };
  if (m_random.UniformBelow(kEndlessPerStore) == 0) {
    begin(m_store_proxy.get(), "store");
  } else {
    const size_t first = m_random.UniformBelow(m_proxies.size());
    for (size_t i = 0; i < m_proxies.size(); ++i) {
      const bool is_engine = i < m_engines.size();
      if (i != first && m_random.UniformBelow(2) != 0) continue;
      begin(m_proxies[i].get(),
            is_engine ? "e" + std::to_string(i)
                      : "p" + std::to_string(i - m_engines.size()));
    }
  }
  std::cout << "\n";
  ++m_event_counts.endless;
}

void Upstreams::EndEndless() {
  for (const auto& proxy : m_proxies) proxy->EndEndless();
  if (m_store_proxy != nullptr) m_store_proxy->EndEndless();
}

}  // namespace burdockhill::soak

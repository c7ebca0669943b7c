#include "soak/checks.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace burdockhill::soak {

namespace {

// Time from the first statement of a limit until it must be kept, the time in
// which requests are counted, and what is allowed besides one and a half times
// the limit.
constexpr Duration kLimitSettleDelay = std::chrono::seconds(4);
constexpr Duration kLimitWindow = std::chrono::seconds(4);
constexpr double kLimitSlackFactor = 1.5;
constexpr int64_t kLimitSlackRequests = 5;
// An upstream that has stated to an entry that it leaves, or wants no requests,
// gets none from that entry after this. The second is lenient by two requests.
constexpr Duration kLeavingDelay = std::chrono::milliseconds(2500);
constexpr Duration kPauseDelay = std::chrono::milliseconds(500);
constexpr int kPauseSlackRequests = 2;
// Streams of two software versions that a run may have.
constexpr int kMaxMixedStreams = 2;
// Streams from which on the share that goes on is checked, and what it is of
// the share of new streams that begin.
constexpr size_t kMinTakenUpStreams = 12;
constexpr double kMinShareThatGoesOn = 0.5;
// A request that crosses the close of its connection may end so soon.
constexpr Duration kCrossingTime = std::chrono::milliseconds(250);
constexpr Duration kKeptCrossingTime = std::chrono::milliseconds(200);
// A stop may break off what still runs so late.
constexpr Duration kStopTimeForAnswers = std::chrono::seconds(5);
constexpr Duration kStopTime = std::chrono::seconds(7);
// What a service may get beyond the first arrival of each request.
constexpr Duration kBudgetWindow = std::chrono::seconds(10);
constexpr double kBudgetRatio = 0.2;
constexpr int kBudgetSlackOfEntry = 5;
constexpr int kBudgetSlack = 3;
// The daemons start first.
constexpr Duration kSteadyDelay = std::chrono::seconds(3);
constexpr Duration kSteadyWindow = std::chrono::seconds(1);

// Statuses that promise that the request has not run and never will.
bool IsPromise(int status) {
  return status == http::kUnavailable || status == 429 || status == 408 ||
         status == 421;
}

class Checks {
 public:
  Checks(const Environment& environment, const Signals& signals,
         const Callers& callers, const DaemonMemory& memory,
         Upstreams* upstreams)
      : m_environment(environment),
        m_signals(signals),
        m_callers(callers),
        m_memory(memory),
        m_upstreams(upstreams) {}

  // Prints the violations and a summary; returns the number of violations.
  int Run() {
    for (const bool plain : {false, true}) {
      for (const emulation::RequestRate* rate : m_upstreams->Rates(plain)) {
        for (const auto& arrival : rate->Arrivals()) {
          m_arrived.insert(arrival.request);
        }
      }
    }
    for (const auto& [id, caller] : m_callers.All()) CheckCaller(*caller);
    for (const auto& limited : m_upstreams->LimitedUpstreams()) {
      CheckLimit(limited);
    }
    for (const auto& statement : m_upstreams->Statements()) {
      CheckStatement(statement);
    }
    CheckBudget(/*plain=*/false);
    CheckBudget(/*plain=*/true);
    CheckMemory();
    CheckSteadyCallers();
    if (m_upstreams->HeldTokens() > 0 || m_upstreams->HeldHandles() > 0) {
      Report("KV cache memory is still held: " +
             std::to_string(m_upstreams->HeldTokens()) + " tokens, " +
             std::to_string(m_upstreams->HeldHandles()) + " handles");
    }
    if (m_mixed_streams > kMaxMixedStreams) {
      Report("ORDER: " + std::to_string(m_mixed_streams) +
             " streams hold events of two software versions");
    }
    if (m_taken_up_streams.streams.size() >= kMinTakenUpStreams &&
        m_taken_up_streams.Value() <
            kMinShareThatGoesOn * m_new_streams.Value()) {
      Report("LOST: of the streams that were taken up, " +
             m_taken_up_streams.Text() + " went on; of the new ones, " +
             m_new_streams.Text() + " began");
    }
    if (m_served_count * 4 < static_cast<int>(m_callers.All().size())) {
      Report("fewer than a quarter were served");
    }
    const Upstreams::Counts& counts = m_upstreams->EventCounts();
    std::cout << "seed " << m_environment.seed << ": " << m_callers.All().size()
              << " requests, " << m_served_count << " served, "
              << m_upstreams->LimitedUpstreams().size() << " limits, "
              << m_upstreams->Statements().size() << " statements, "
              << counts.restores << " restores, " << counts.releases
              << " releases, " << counts.silences << " silences, "
              << counts.endless << " times without end (" << m_steady_seconds
              << " seconds of steady callers), at most " << m_memory.WorstMb()
              << " MB, " << m_upstreams->CutHeadCount() << " cut heads, "
              << m_upstreams->MalformedCount() << " malformed answers, "
              << m_take_ups << " take-ups (" << m_taken_up_streams.Text()
              << " undisturbed streams went on; " << m_new_streams.Text()
              << " new ones began), " << m_late_answers << " of "
              << m_late_requests << " late requests answered, "
              << m_kept_requests << " on kept connections (" << m_kept_crossings
              << " crossed the close), " << m_retries.str() << m_mixed_streams
              << " mixed, " << m_violations << " violations\n";
    return m_violations;
  }

 private:
  // Streams, of which some begin or go on.
  struct Share {
    std::map<std::string, bool> streams;
    void Count(const std::string& stream, bool succeeded) {
      streams[stream] = streams[stream] || succeeded;
    }
    double Value() const {
      const auto succeeded =
          std::count_if(streams.begin(), streams.end(),
                        [](const auto& stream) { return stream.second; });
      return streams.empty() ? 0
                             : static_cast<double>(succeeded) /
                                   static_cast<double>(streams.size());
    }
    std::string Text() const {
      return std::to_string(std::lround(Value() * 100)) + "% of " +
             std::to_string(streams.size());
    }
  };

  void Report(const std::string& text) {
    ++m_violations;
    std::cout << "VIOLATION " << text << "\n";
  }

  void Report(const Caller& caller, const std::string& violation) {
    Report(caller.id + " " + kPaths[static_cast<int>(caller.kind)] + ": " +
           violation + " (status " + std::to_string(caller.status) + ", runs " +
           std::to_string(m_upstreams->RunsOf(caller.id)) + ", " +
           EntryName(caller.entry) + ")");
  }

  void CheckCaller(const Caller& caller) {
    const int runs = m_upstreams->RunsOf(caller.id);
    const bool at_most_once = caller.kind == CallKind::kNonIdempotent ||
                              caller.kind == CallKind::kStream;
    if (at_most_once && runs > 1) Report(caller, "executed more than once");
    if (caller.status == http::kOk && !caller.IsPlain()) CheckStream(caller);
    if (caller.is_malformed) Report(caller, "got a malformed answer");
    if (caller.cancelled) return;
    if (m_signals.Last(EntryName(caller.entry), caller.sent_at) == "TERM") {
      ++m_late_requests;
      if (caller.responses > 0) ++m_late_answers;
    }
    if (caller.responses > 1) Report(caller, "answered more than once");
    if (at_most_once && IsPromise(caller.status) && runs > 0) {
      Report(caller, "reported as not executed, but was executed");
    }
    if (caller.status / 100 == 2 && caller.ended) CheckSuccess(caller);
    if (!caller.HasEnded()) Report(caller, "never answered");
    if (caller.failed && !caller.is_broken_off && !WasKilled(caller.entry)) {
      CheckPlannedStop(caller);
    }
    if (caller.on_kept_connection) CheckKeptConnection(caller);
    if (caller.is_after_faults && !caller.IsWhole()) {
      Report(caller,
             caller.IsPlain()
                 ? "newest configuration is not in force after all faults ended"
                 : "no stream after all faults ended");
    }
    if (caller.kind == CallKind::kResumableStream) CountShares(caller);
  }

  void CheckSuccess(const Caller& caller) {
    ++m_served_count;
    if (!caller.id_matches || !caller.sealed) Report(caller, "wrong id/seal");
    const std::string body = "answer to " + caller.id + " " +
                             caller.RequestBody() +
                             std::string(caller.answer_padding, 'x');
    if (caller.IsPlain() && caller.body != body) {
      Report(caller, "response body is wrong");
    }
  }

  // Also of answers that were broken off.
  void CheckStream(const Caller& caller) {
    const Caller::Events events = caller.ReadEvents();
    const int64_t last = caller.events_before + events.count;
    if (!events.in_order || last > kStreamEvents ||
        (caller.ended && (last < kStreamEvents || events.ends_in_event))) {
      Report(caller, "stream events are missing, repeated or out of order");
      std::cout << caller.body.substr(0, 600) << "\n";
    }
    std::set<std::string> versions = caller.versions_before;
    versions.insert(events.versions.begin(), events.versions.end());
    if (versions.size() < 2 || caller.versions_before.size() > 1) return;
    ++m_mixed_streams;
    std::cout << "ORDER " << caller.id << " by " << EntryName(caller.entry)
              << (events.versions.size() > 1 ? ", within the answer" : "")
              << (caller.origin.empty() ? "" : ", resumes " + caller.origin)
              << ", after event " << caller.events_before << "\n";
  }

  // Of entries that only had planned stops.
  void CheckPlannedStop(const Caller& caller) {
    if (caller.IsPlain()) {
      if (m_upstreams->RunsOf(caller.id) > 0) {
        Report(caller,
               "executed, and cut off by an entry that only had planned stops");
      } else if (caller.was_sent &&
                 caller.ended_at - caller.sent_at > kCrossingTime) {
        Report(caller,
               "read, and cut off by an entry that only had planned "
               "stops");
      }
      return;
    }
    // With these faults alone, all engines are sound.
    const bool engines_are_sound =
        m_environment.is_calm && !m_environment.Plays("versions") &&
        !m_environment.Plays("heads") && !m_environment.Plays("endless") &&
        !m_environment.Plays("malformed");
    const bool late_in_stop = m_signals.Got(
        EntryName(caller.entry), "TERM", caller.ended_at - kStopTime,
        caller.ended_at - kStopTimeForAnswers);
    if (engines_are_sound && caller.status == http::kOk && !late_in_stop) {
      Report(caller, "stream of a sound engine was broken off");
    }
  }

  // Also of entries that were paused.
  void CheckKeptConnection(const Caller& caller) {
    ++m_kept_requests;
    if (!caller.failed || (caller.responses > 0 && !caller.IsPlain()) ||
        m_signals.Got(EntryName(caller.entry), "KILL",
                      caller.sent_at - kCrossingTime, caller.ended_at)) {
      return;
    }
    if (m_arrived.contains(caller.id)) {
      Report(caller, "passed on to an upstream, and no whole answer");
    } else if (caller.ended_at - caller.sent_at > kKeptCrossingTime) {
      Report(caller, "sent whole, and neither answered nor refused");
    } else {
      ++m_kept_crossings;
    }
  }

  void CountShares(const Caller& caller) {
    const bool goes_on = caller.ReadEvents().count > 0;
    if (caller.try_number > 1 && caller.events_before > 0) ++m_take_ups;
    if (!caller.HasEnded() || WasDisturbed(EntryName(caller.entry),
                                           caller.sent_at, caller.ended_at)) {
      return;
    }
    if (caller.events_before == 0) {
      return m_new_streams.Count(caller.first_try, goes_on);
    }
    const auto serving =
        std::count_if(caller.serving_engines.begin(),
                      caller.serving_engines.end(), [&](int engine) {
                        // The engines go on while their agents restart.
                        return m_environment.Plays("kill-agents") ||
                               !WasDisturbed(AgentName(engine), caller.sent_at,
                                             caller.ended_at);
                      });
    if (serving >= 2 && !WereAllDaemonsKilled(caller)) {
      m_taken_up_streams.Count(caller.origin, goes_on);
    }
  }

  // Since the stream began: no process is left that has seen it.
  bool WereAllDaemonsKilled(const Caller& caller) {
    const TimePoint began = m_callers.Find(caller.origin)->sent_at;
    const auto was_killed = [&](const std::string& name) {
      return m_signals.Got(name, "KILL", began, caller.sent_at);
    };
    for (int i = 0; i < m_environment.engines; ++i) {
      if (!was_killed(AgentName(i))) return false;
    }
    for (int i = 0; i < m_environment.entries; ++i) {
      if (!was_killed(EntryName(i))) return false;
    }
    return true;
  }

  // Of entries that ran all the time and always reached the service.
  void CheckStatement(const Upstreams::Statement& statement) {
    if (m_upstreams->StatingServiceHadFault()) return;
    std::map<int, TimePoint> told_at;
    std::map<int, int> late;
    for (const auto& arrival :
         m_upstreams->StatingService().Rate().Arrivals()) {
      const Caller* caller = m_callers.Find(arrival.request);
      if (caller == nullptr || arrival.at < statement.since ||
          arrival.at >= statement.until ||
          m_signals.EverGot(EntryName(caller->entry), "KILL STOP TERM")) {
        continue;
      }
      const TimePoint told =
          told_at.try_emplace(caller->entry, arrival.at).first->second;
      const Duration delay = statement.leaves ? kLeavingDelay : kPauseDelay;
      if (arrival.at - told > delay) ++late[caller->entry];
    }
    for (const auto& [entry, requests] : late) {
      if (!statement.leaves && requests <= kPauseSlackRequests) continue;
      Report(std::string("an upstream that had stated that it ") +
             (statement.leaves ? "leaves" : "pauses") + " got " +
             std::to_string(requests) + " requests from " + EntryName(entry));
    }
  }

  // What a service got, in the order of time.
  emulation::RetryLedger CountArrivals(bool plain) {
    std::vector<emulation::RequestRate::Arrival> arrivals;
    for (const emulation::RequestRate* rate : m_upstreams->Rates(plain)) {
      arrivals.insert(arrivals.end(), rate->Arrivals().begin(),
                      rate->Arrivals().end());
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    std::vector<TimePoint> sent;
    for (const auto& [id, caller] : m_callers.All()) {
      if (caller->IsPlain() == plain) sent.push_back(caller->sent_at);
    }
    std::sort(sent.begin(), sent.end());
    emulation::RetryLedger ledger;
    for (const TimePoint at : sent) ledger.CountRequest(at);
    for (const auto& arrival : arrivals) {
      if (arrival.computes_prompt) {
        ledger.CountPrefill(arrival.request, arrival.at);
      } else {
        ledger.CountArrival(arrival.request, arrival.at);
      }
    }
    return ledger;
  }

  void CheckBudget(bool plain) {
    const emulation::RetryLedger ledger = CountArrivals(plain);
    if (ledger.RetryCount() == 0) return;
    const double excess = ledger.WorstExcess(kBudgetWindow, kBudgetRatio);
    const int slack =
        kBudgetSlackOfEntry * m_environment.entries + kBudgetSlack;
    std::ostringstream text;
    text << ledger.RetryCount() << " retries at the "
         << (plain ? "plain services" : "engines") << " (" << excess
         << " beyond the share in a window, of " << slack << ")";
    m_retries << text.str() << ", ";
    if (excess > slack && m_environment.Plays("budget")) {
      Report("BUDGET: " + text.str());
    }
  }

  void CheckMemory() {
    if (m_memory.MostKb().empty()) Report("MEMORY: no daemon was found");
    for (const auto& [daemon, kb] : m_memory.MostKb()) {
      if (kb >> 10 < m_memory.LimitMb()) continue;
      Report("MEMORY: " + daemon + " had " + std::to_string(kb >> 10) + " MB");
    }
  }

  // Each second has an answer, unless all entries were disturbed.
  void CheckSteadyCallers() {
    TimePoint last_sent = TimePoint::min();
    TimePoint from = TimePoint::max();
    std::vector<TimePoint> answers;
    for (const auto& [id, caller] : m_callers.All()) {
      if (!caller->is_steady) continue;
      from = std::min(from, caller->sent_at + kSteadyDelay);
      last_sent = std::max(last_sent, caller->sent_at);
      if (caller->IsWhole()) answers.push_back(caller->ended_at);
    }
    for (; from + kSteadyWindow <= last_sent; from += kSteadyWindow) {
      const TimePoint to = from + kSteadyWindow;
      bool is_checked = false;
      for (int i = 0; i < m_environment.entries; ++i) {
        is_checked = is_checked || !WasDisturbed(EntryName(i), from, to);
      }
      if (!is_checked) continue;
      ++m_steady_seconds;
      if (std::none_of(answers.begin(), answers.end(),
                       [&](TimePoint at) { return at >= from && at < to; })) {
        Report("NEIGHBOURS: no answer of a sound upstream in a second");
      }
    }
  }

  // Requests by way of entries that were killed or paused do not count.
  void CheckLimit(const Upstreams::Limited& limited) {
    const auto counts = [&](const emulation::RequestRate::Arrival& arrival) {
      const Caller* caller = m_callers.Find(arrival.request);
      return caller == nullptr || !WasKilled(caller->entry);
    };
    const int64_t most = limited.rate->MostInWindow(
        kLimitWindow, limited.since + kLimitSettleDelay, limited.until, counts);
    const double window = std::chrono::duration<double>(kLimitWindow).count();
    if (static_cast<double>(most) <=
        kLimitSlackFactor * limited.limit * window + kLimitSlackRequests) {
      return;
    }
    Report("an upstream that states " + std::to_string(limited.limit) +
           " requests a second got " + std::to_string(most) + " in 4 s");
  }

  bool WasKilled(int entry) const {
    return m_signals.EverGot(EntryName(entry), "KILL STOP");
  }
  bool WasDisturbed(const std::string& daemon, TimePoint from,
                    TimePoint to) const {
    return m_signals.Got(daemon, "KILL STOP CONT TERM START",
                         from - kUndisturbedTime, to);
  }

  const Environment& m_environment;
  const Signals& m_signals;
  const Callers& m_callers;
  const DaemonMemory& m_memory;
  Upstreams* m_upstreams;
  std::set<std::string> m_arrived;  // Requests that upstreams have seen.
  Share m_new_streams;
  Share m_taken_up_streams;
  int m_take_ups = 0;
  int m_late_requests = 0;  // That were sent in planned stops.
  int m_late_answers = 0;
  std::ostringstream m_retries;
  int m_kept_requests = 0;
  int m_kept_crossings = 0;
  int m_mixed_streams = 0;
  int m_served_count = 0;
  int m_steady_seconds = 0;  // That were checked.
  int m_violations = 0;
};

}  // namespace

int CheckResults(const Environment& environment, const Signals& signals,
                 const Callers& callers, const DaemonMemory& memory,
                 Upstreams* upstreams) {
  return Checks(environment, signals, callers, memory, upstreams).Run();
}

}  // namespace burdockhill::soak

#include "soak/callers.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "soak/malformed.h"

namespace burdockhill::soak {

namespace {

constexpr Duration kCallerDeadline = std::chrono::milliseconds(6000);
// Some answers of plain services are larger than a socket takes, and are read
// with a pause in the middle.
constexpr uint64_t kRequestsPerLargeAnswer = 25;
constexpr size_t kLargeAnswerBytes = 7'000'000;
constexpr Duration kReadingPauseStart = std::chrono::milliseconds(45);
constexpr uint64_t kMaxReadingPauseMs = 2000;
constexpr uint64_t kRequestsPerUpload = 6;  // With class malformed.
constexpr size_t kMinUploadBytes = 1'000'000;
constexpr uint64_t kMaxMoreUploadBytes = 2'000'000;
constexpr uint64_t kRequestsPerCancelled = 12;
// Streams that are taken up.
constexpr uint64_t kStreamsPerBroken = 4;
constexpr uint64_t kMinBreakMs = 300;
constexpr uint64_t kMaxMoreBreakMs = 900;
constexpr int kMaxTries = 3;
constexpr Duration kMinTimeForTry = std::chrono::milliseconds(1000);
constexpr uint64_t kMaxTryDelayMs = 300;
// Some callers come back when entries that were killed are bound to go on.
constexpr Duration kLongTryDelay = std::chrono::milliseconds(4500);
constexpr Duration kStreamDeadline = std::chrono::seconds(11);
// Connections that are kept open to each entry until its process is gone.
constexpr int kKeptConnections = 12;
constexpr int kLateUses = 3;  // Of each of them, in a planned stop.
constexpr Duration kKeepInterval = std::chrono::milliseconds(2500);
constexpr Duration kMaxIdleTime = std::chrono::seconds(12);
constexpr uint64_t kStopTimeMs = 6500;
// With class endless: calls that begin when upstreams do.
constexpr int kBurstCalls = 60;
constexpr double kSteadyRate = 10;

}  // namespace

bool Caller::OnResponseHead(http::CallId /*call*/, const http::Head& head) {
  ++responses;
  status = head.status;
  const std::string* name = head.headers.Find("X-Request-Id");
  id_matches = name != nullptr && *name == id;
  sealed = head.headers.Find("X-Response-Seal") != nullptr;
  is_malformed = head.headers.Find(kMalformedMark) != nullptr;
  const std::string* seconds = head.headers.Find("Retry-After");
  if (seconds != nullptr) {
    retry_after = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::strtod(seconds->c_str(), nullptr)));
  }
  return true;
}

void Caller::OnResponseEnd(http::CallId /*call*/) {
  ended = true;
  ended_at = m_clock->Now();
}

void Caller::OnCallFailed(http::CallId /*call*/, http::CallFailure reason) {
  failed = true;
  was_sent = reason != http::CallFailure::kNotSent;
  is_malformed = is_malformed || reason == http::CallFailure::kMalformed;
  ended_at = m_clock->Now();
}

Caller::Events Caller::ReadEvents() const {
  Events events;
  size_t at = 0;
  for (size_t end = body.find("\n\n"); end != std::string::npos;
       end = body.find("\n\n", at)) {
    ++events.count;
    std::istringstream rest(body.substr(at, end - at));
    std::string data;
    std::string version;
    std::getline(rest, data);
    const std::string id_line =
        "id: " + std::to_string(events_before + events.count);
    std::string request;
    if (data != id_line || !(rest >> data >> request >> version) ||
        data != "data:" || request != id || !rest.eof()) {
      events.in_order = false;
    }
    events.versions.insert(version);
    at = end + 2;
  }
  events.ends_in_event = at < body.size();
  return events;
}

Callers::Callers(const Environment& environment, const Upstreams& upstreams)
    : m_environment(environment),
      m_upstreams(upstreams),
      m_random(environment.seed + 1),
      m_pool(environment.sockets, environment.clock),
      m_idle_callers(environment, [this](int entry, bool on_kept) {
        return NextIdleRequest(entry, on_kept);
      }) {}

std::string Callers::NextId(const std::string& lane) {
  return lane.empty() ? "r" + std::to_string(m_requests++)
                      : "k" + std::to_string(m_kept_requests++);
}

uint64_t Callers::Choose(const std::string& text, uint64_t bound) const {
  uint64_t seed = m_environment.seed;
  for (const char c : text) seed = seed * 31 + static_cast<unsigned char>(c);
  return Random(seed).UniformBelow(bound);
}

const Caller* Callers::Find(const std::string& id) const {
  const auto it = m_callers.find(id);
  return it == m_callers.end() ? nullptr : it->second.get();
}

void Callers::SendDue(Duration elapsed) {
  const double due =
      std::chrono::duration<double>(elapsed).count() * m_environment.rate;
  for (; static_cast<double>(m_due_requests) < due; ++m_due_requests) {
    const auto kind = static_cast<CallKind>(m_random.UniformBelow(4));
    const uint64_t entry =
        m_random.UniformBelow(static_cast<uint64_t>(m_environment.entries));
    SendNew(kind, static_cast<int>(entry), "");
    MaybeCancelOne();
  }
  if (m_environment.Plays("late")) KeepConnections(elapsed);
  if (m_environment.Plays("idle-limits")) {
    m_idle_callers.SendDue(m_upstreams.IdleLimit());
  }
  if (m_environment.Plays("endless")) SendBesideEndless(elapsed);
}

void Callers::SendBesideEndless(Duration elapsed) {
  const double due =
      std::chrono::duration<double>(elapsed).count() * kSteadyRate;
  for (; m_steady_requests < due; ++m_steady_requests) {
    auto caller = std::make_unique<Caller>(
        CallKind::kIdempotent, "s" + std::to_string(m_steady_requests),
        m_environment.clock);
    caller->entry = m_steady_requests % m_environment.entries;
    caller->deadline = caller->sent_at + kCallerDeadline;
    caller->is_steady = true;
    Send(std::move(caller), "/steady/", "");
  }
  if (m_bursts == m_upstreams.EventCounts().endless) return;
  m_bursts = m_upstreams.EventCounts().endless;
  for (int i = 0; i < kBurstCalls; ++i) {
    SendNew(static_cast<CallKind>(i % 4), m_bursts % m_environment.entries, "");
  }
}

void Callers::SendNew(CallKind kind, int entry, const std::string& lane) {
  auto caller =
      std::make_unique<Caller>(kind, NextId(lane), m_environment.clock);
  caller->entry = entry;
  caller->first_try = caller->id;
  const bool is_taken_up =
      kind == CallKind::kResumableStream && m_environment.Plays("takeups");
  caller->deadline =
      caller->sent_at + (is_taken_up ? kStreamDeadline : kCallerDeadline);
  const bool is_large =
      caller->IsPlain() && lane.empty() &&
      Choose(caller->id + " large", kRequestsPerLargeAnswer) == 0;
  if (is_large) caller->answer_padding = kLargeAnswerBytes;
  if (caller->IsPlain() && m_environment.Plays("malformed") &&
      Choose(caller->id + " upload", kRequestsPerUpload) == 0) {
    caller->upload_padding =
        kMinUploadBytes + Choose(caller->id + " size", kMaxMoreUploadBytes);
  }
  Send(std::move(caller), kPaths[static_cast<int>(kind)], lane);
}

void Callers::AskAfterFaults() {
  for (int i = 0; i < m_environment.entries; ++i) {
    auto caller = std::make_unique<Caller>(CallKind::kIdempotent, NextId(""),
                                           m_environment.clock);
    caller->entry = i;
    caller->deadline = caller->sent_at + kCallerDeadline;
    caller->is_after_faults = true;
    Send(std::move(caller), m_upstreams.NewestPath(), "");
    if (!m_environment.Plays("endless")) continue;
    caller = std::make_unique<Caller>(CallKind::kStream, NextId(""),
                                      m_environment.clock);
    caller->entry = i;
    caller->deadline = caller->sent_at + kCallerDeadline;
    caller->is_after_faults = true;
    Send(std::move(caller), kPaths[static_cast<int>(CallKind::kStream)], "");
  }
}

std::string Callers::Format(const Caller& caller, const std::string& path) {
  std::string resumption;
  if (caller.events_before > 0) {
    resumption = "\r\nLast-Event-Id: " + std::to_string(caller.events_before) +
                 "\r\nResumes: " + caller.origin;
  }
  const Duration left = caller.deadline - caller.sent_at;
  const std::string body = caller.RequestBody();
  return "POST " + path +
         "x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + caller.id +
         "\r\nX-Token-Counts: 3000,2000\r\nX-Length-Hint: 1200"
         "\r\nX-True-Length: 1220\r\nX-Deadline-Ms: " +
         std::to_string(left.count() / 1000) + resumption +
         "\r\nX-Answer-Bytes: " + std::to_string(caller.answer_padding) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

IdleCallers::Request Callers::NextIdleRequest(int entry, bool on_kept) {
  const std::string id = "i" + std::to_string(m_idle_requests++);
  const auto kind = static_cast<CallKind>(Choose(id, 4));
  auto caller = std::make_unique<Caller>(kind, id, m_environment.clock);
  caller->entry = entry;
  caller->first_try = id;
  caller->on_kept_connection = on_kept;
  caller->deadline = caller->sent_at + kCallerDeadline;
  IdleCallers::Request request = {
      caller.get(), Format(*caller, kPaths[static_cast<int>(kind)])};
  m_callers[id] = std::move(caller);
  return request;
}

void Callers::Send(std::unique_ptr<Caller> caller, const std::string& path,
                   const std::string& lane) {
  http::CallPolicy policy;
  policy.lane = lane;
  if (!lane.empty()) policy.max_idle_time = kMaxIdleTime;
  // A further try uses a new connection.
  if (caller->try_number > 1) policy.lane = caller->id;
  caller->call =
      m_pool.Start(m_environment.Host(0, 11 + caller->entry) + ":8000",
                   Format(*caller, path), caller.get(), policy);
  if (caller->answer_padding > 0) PauseReading(caller->call);
  if (caller->kind == CallKind::kResumableStream &&
      m_environment.Plays("takeups")) {
    m_open_streams.push_back(caller.get());
    MaybeBreakOff(*caller);
  }
  m_callers[caller->id] = std::move(caller);
}

void Callers::PauseReading(http::CallId call) {
  const Duration pause =
      std::chrono::milliseconds(m_random.UniformBelow(kMaxReadingPauseMs));
  m_environment.queue->Schedule(
      kReadingPauseStart, [this, call] { m_pool.SetReading(call, false); });
  m_environment.queue->Schedule(kReadingPauseStart + pause, [this, call] {
    m_pool.SetReading(call, true);
  });
}

void Callers::MaybeCancelOne() {
  if (m_random.UniformBelow(kRequestsPerCancelled) != 0) return;
  const auto it =
      m_callers.find("r" + std::to_string(m_random.UniformBelow(m_requests)));
  if (it == m_callers.end() || it->second->HasEnded()) return;
  m_pool.Cancel(it->second->call);
  it->second->cancelled = true;
}

void Callers::MaybeBreakOff(const Caller& caller) {
  if (Choose(caller.id + " broken", kStreamsPerBroken) != 0) return;
  const uint64_t at_ms =
      kMinBreakMs + Choose(caller.id + " break", kMaxMoreBreakMs);
  m_environment.queue->Schedule(
      std::chrono::milliseconds(at_ms), [this, id = caller.id] {
        Caller& broken = *m_callers.at(id);
        if (broken.HasEnded()) return;
        m_pool.Cancel(broken.call);
        broken.is_broken_off = true;
        broken.OnCallFailed(broken.call, http::CallFailure::kBroken);
      });
}

void Callers::Tick() {
  m_pool.CheckTimeouts(m_environment.clock->Now());
  for (const Caller* caller : std::exchange(m_open_streams, {})) {
    if (!caller->HasEnded()) {
      m_open_streams.push_back(caller);
    } else if (!caller->cancelled && !caller->IsWhole()) {
      TakeUp(*caller);
    }
  }
}

void Callers::TakeUp(const Caller& caller) {
  const TimePoint now = m_environment.clock->Now();
  Caller::Events events = caller.ReadEvents();
  if (caller.try_number == kMaxTries ||
      caller.events_before + events.count >= kStreamEvents) {
    return;
  }
  const std::string id =
      caller.first_try + "-" + std::to_string(caller.try_number + 1);
  Duration delay = std::chrono::milliseconds(Choose(id, kMaxTryDelayMs));
  if (caller.try_number == 1 && Choose(id + " waits", 2) == 0) {
    delay += kLongTryDelay;
  }
  delay = std::max(delay,
                   std::min(caller.retry_after, (caller.deadline - now) / 3));
  if (caller.deadline - now - delay < kMinTimeForTry) return;
  events.versions.insert(caller.versions_before.begin(),
                         caller.versions_before.end());
  m_environment.queue->Schedule(delay, [this, &caller, id, events] {
    auto next = std::make_unique<Caller>(CallKind::kResumableStream, id,
                                         m_environment.clock);
    next->entry = static_cast<int>(
        Choose(id + " entry", static_cast<uint64_t>(m_environment.entries)));
    next->try_number = caller.try_number + 1;
    next->first_try = caller.first_try;
    next->origin = caller.events_before == 0 && events.count > 0
                       ? caller.id
                       : caller.origin;
    next->events_before = caller.events_before + events.count;
    next->versions_before = events.versions;
    next->deadline = caller.deadline;
    if (events.versions.size() == 1) {
      next->serving_engines = m_upstreams.ServingEngines(
          *events.versions.begin(), kUndisturbedTime);
    }
    Send(std::move(next), kPaths[static_cast<int>(CallKind::kResumableStream)],
         "");
  });
}

void Callers::KeepConnections(Duration elapsed) {
  if (elapsed - m_connections_kept_at < kKeepInterval) return;
  m_connections_kept_at = elapsed;
  for (int entry = 0; entry < m_environment.entries; ++entry) {
    const auto stopping = m_stopping_until.find(entry);
    if (stopping != m_stopping_until.end() &&
        m_environment.clock->Now() < stopping->second) {
      continue;
    }
    for (int i = 0; i < kKeptConnections; ++i) {
      SendNew(CallKind::kIdempotent, entry, "kept-" + std::to_string(i));
    }
  }
}

void Callers::OnStopSignal(const Signals::Signal& signal) {
  if (!m_environment.Plays("late") || signal.name != "TERM") return;
  for (int entry = 0; entry < m_environment.entries; ++entry) {
    if (signal.daemon != EntryName(entry)) continue;
    m_stopping_until[entry] =
        m_environment.clock->Now() + std::chrono::milliseconds(kStopTimeMs);
    for (int i = 0; i < kKeptConnections * kLateUses; ++i) {
      const std::string text =
          signal.daemon + std::to_string(i) + std::to_string(m_due_requests);
      const Duration delay =
          std::chrono::milliseconds(Choose(text, kStopTimeMs));
      const auto kind = static_cast<CallKind>(Choose(text + " kind", 4));
      m_environment.queue->Schedule(delay, [this, kind, entry, i] {
        SendNew(kind, entry, "kept-" + std::to_string(i % kKeptConnections));
      });
    }
  }
}

}  // namespace burdockhill::soak

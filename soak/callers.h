#ifndef BURDOCKHILL_SOAK_CALLERS_H_
#define BURDOCKHILL_SOAK_CALLERS_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/base/random.h"
#include "burdockhill/src/http/connection_pool.h"
#include "soak/environment.h"
#include "soak/idle_callers.h"
#include "soak/signals.h"
#include "soak/upstreams.h"

namespace burdockhill::soak {

enum class CallKind { kNonIdempotent, kIdempotent, kStream, kResumableStream };
constexpr const char* kPaths[] = {"/once/", "/safe/", "/stream/", "/resume/"};

// The events of the stream that every stream request asks for.
constexpr int64_t kStreamEvents = 20;

// One request, which is one try of a caller, and what was received.
class Caller : public http::CallEvents {
 public:
  // The whole events of an answer.
  struct Events {
    int64_t count = 0;
    // Whether they follow in order and belong to this request.
    bool in_order = true;
    bool ends_in_event = false;      // The rest belongs to no whole event.
    std::set<std::string> versions;  // Of the software that wrote them.
  };

  Caller(CallKind kind, std::string id, const Clock* clock)
      : kind(kind), id(std::move(id)), sent_at(clock->Now()), m_clock(clock) {}

  bool OnResponseHead(http::CallId call, const http::Head& head) override;
  size_t OnResponseBody(http::CallId /*call*/,
                        std::string_view bytes) override {
    body.append(bytes);
    return 0;  // The bounds are those of the daemons, not of this program.
  }
  void OnResponseEnd(http::CallId call) override;
  void OnCallFailed(http::CallId call, http::CallFailure reason) override;

  Events ReadEvents() const;
  // Of the request.
  std::string RequestBody() const {
    return "hi" + std::string(upload_padding, 'u');
  }
  bool HasEnded() const { return ended || failed || cancelled; }
  bool IsWhole() const { return ended && status == http::kOk; }
  bool IsPlain() const {
    return kind == CallKind::kNonIdempotent || kind == CallKind::kIdempotent;
  }

  CallKind kind;
  std::string id;
  int entry = 0;
  http::CallId call;
  int responses = 0;
  int status = 0;
  bool id_matches = false;
  bool sealed = false;
  bool ended = false;
  bool failed = false;
  bool was_sent = true;    // If it failed, on a connection that was open.
  bool cancelled = false;  // The caller has left and does not come again.
  // The caller's channel broke; the caller takes the stream up.
  bool is_broken_off = false;
  bool on_kept_connection = false;  // Of IdleCallers.
  bool is_after_faults = false;     // Sent after all faults have ended.
  bool is_steady = false;     // On the route that always has a sound upstream.
  bool is_malformed = false;  // By the mark, or as no HTTP.
  size_t answer_padding = 0;
  size_t upload_padding = 0;
  std::string body;
  Duration retry_after{0};
  TimePoint sent_at;
  TimePoint ended_at{};

  // Over the tries of one stream.
  int try_number = 1;
  std::string first_try;  // Its id.
  std::string origin;  // Id of the try that brought the first event, or empty.
  int64_t events_before = 0;              // Events of earlier tries.
  std::set<std::string> versions_before;  // Of these events.
  TimePoint deadline{};
  // Engines that could have gone on with it when it was sent.
  std::vector<int> serving_engines;

 private:
  const Clock* m_clock;
};

// Sends requests to the entries, and takes broken streams up.
class Callers {
 public:
  Callers(const Environment& environment, const Upstreams& upstreams);

  // Sends the requests that are due after this time of load.
  void SendDue(Duration elapsed);
  // Sends requests on kept connections of an entry that was asked to stop.
  void OnStopSignal(const Signals::Signal& signal);
  // Asks each entry for the route of the newest configuration, and with class
  // endless for a stream.
  void AskAfterFaults();
  void Tick();

  // By request id.
  const std::map<std::string, std::unique_ptr<Caller>>& All() const {
    return m_callers;
  }
  const Caller* Find(const std::string& id) const;

 private:
  static std::string Format(const Caller& caller, const std::string& path);
  // Of IdleCallers.
  IdleCallers::Request NextIdleRequest(int entry, bool on_kept);
  void Send(std::unique_ptr<Caller> caller, const std::string& path,
            const std::string& lane);
  void SendNew(CallKind kind, int entry, const std::string& lane);
  // While upstreams send without end.
  void SendBesideEndless(Duration elapsed);
  std::string NextId(const std::string& lane);
  void PauseReading(http::CallId call);
  void MaybeCancelOne();
  // Breaks the connection of some streams in the middle.
  void MaybeBreakOff(const Caller& caller);
  void TakeUp(const Caller& caller);
  void KeepConnections(Duration elapsed);
  // A number that depends on the seed, the text and nothing else.
  uint64_t Choose(const std::string& text, uint64_t bound) const;

  const Environment& m_environment;
  const Upstreams& m_upstreams;
  Random m_random;
  http::ConnectionPool m_pool;
  uint64_t m_requests = 0;  // Without further tries and those of lanes.
  uint64_t m_kept_requests = 0;
  uint64_t m_due_requests = 0;
  uint64_t m_idle_requests = 0;
  int m_steady_requests = 0;
  int m_bursts = 0;
  std::map<std::string, std::unique_ptr<Caller>> m_callers;
  std::vector<const Caller*> m_open_streams;  // That may be taken up.
  Duration m_connections_kept_at{0};
  std::map<int, TimePoint> m_stopping_until;  // Entries, which are not kept.
  IdleCallers m_idle_callers;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_CALLERS_H_

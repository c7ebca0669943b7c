#ifndef BURDOCKHILL_SRC_GATEWAY_STREAM_CALLS_H_
#define BURDOCKHILL_SRC_GATEWAY_STREAM_CALLS_H_

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/reservations.h"
#include "burdockhill/src/gateway/stream_origins.h"
#include "burdockhill/src/gateway/upstream_permits.h"
#include "burdockhill/src/http/sse_event_splitter.h"
#include "burdockhill/src/routing/stream_budget.h"
#include "burdockhill/src/routing/stream_call_count.h"

namespace burdockhill {

// Serves streams of model services. A stream first reserves memory on a decode
// engine, then has its prompt computed by a prefill engine, then decodes, and
// events are forwarded to the caller as they arrive. If a resumable stream
// breaks off, it continues on another engine after the last event that was
// forwarded. It then stays at engines of the software version that began it, as
// does a stream that a caller takes up again. KV cache is passed only between
// engines of one version.
//
// An engine may fall silent for a time and go on. While it is silent, another
// engine is prepared, and the one that sends first serves the stream from then
// on. Without another engine the stream stays where it is until its deadline.
class StreamCalls : public ReservationEvents,
                    private http::CallEvents,
                    private PermitEvents {
 public:
  StreamCalls(EntryBoard* board, Reservations* reservations,
              UpstreamPermits* permits, StreamOrigins* origins)
      : m_board(board),
        m_reservations(reservations),
        m_permits(permits),
        m_origins(origins) {}

  // Takes over a request and reserves memory for it. A stream that is taken up
  // goes on at the version of the request only.
  void Begin(RoutedRequest routed);
  // Returns false if the exchange belongs to another controller.
  bool OnCallerDisconnected(http::ExchangeId id);
  void OnOutputDrained(http::ExchangeId id);
  // Ends streams and calls that have timed out. Call once per iteration of the
  // event loop.
  void Tick();
  // Ends all streams in progress at this time at the latest.
  void LimitDeadlines(TimePoint latest);
  size_t InProgressCount() const { return m_streams.Size(); }
  // Ends the streams that wait for a reservation and must not reach an upstream
  // any more.
  void RefuseBarredStreams();

  void OnReserved(const AttemptId& attempt,
                  const UpstreamName& engine) override;
  void OnNotReserved(const AttemptId& attempt, ErrorKind kind,
                     Duration retry_after) override;

 private:
  enum class Phase {
    kAwaitingPauseEnd,  // All decode engines want no requests now.
    kReservingDecode,
    kAwaitingDecodePermit,  // For the engine that was just reserved.
    kReservingPrefill,
    kAwaitingPrefillPermit,
    kPrefilling,
    kAwaitingCallPermit,  // For a decode call without a permit so far.
    kDecoding
  };

  // A decode call whose engine has fallen silent, with the state of the stream
  // that belongs to it.
  struct SilentCall {
    http::CallId call;
    TimePoint call_started_at{};
    AttemptId decode_attempt;
    UpstreamName decode_engine;
    UpstreamName prefill_engine;
    int64_t engine_started_at_ms = 0;
    SoftwareVersion called_version;
    std::optional<KvLocation> kv_in_call;
    bool is_forwarding = false;
    http::Head response_head;
    std::string response_body;
    TimePoint last_event_at{};
    TimePoint answer_started_at{};
    bool answer_is_sound = false;
  };

  struct Stream {
    RoutedRequest routed;
    Phase phase = Phase::kReservingDecode;
    AttemptId decode_attempt;   // Reservation of decode memory.
    AttemptId prefill_attempt;  // Reservation of prefill capacity.
    UpstreamName decode_engine;
    UpstreamName prefill_engine;
    // Computed, and not yet passed to a decode engine.
    std::optional<KvLocation> kv;
    TimePoint paused_until{};  // In kAwaitingPauseEnd.
    PermitId permit;           // Valid while a permit is awaited.
    // The permit for the next decode call, if the engine needs one, is there.
    bool has_decode_permit = false;
    http::CallId call;
    TimePoint call_started_at{};
    SoftwareVersion called_version;  // Of the engine of the latest call.
    // Of the engine that began the stream; nullopt before one has.
    std::optional<SoftwareVersion> version;
    std::set<UpstreamName> excluded_decode_engines;
    std::set<UpstreamName> excluded_prefill_engines;
    std::optional<KvLocation> kv_in_call;  // Passed in the current decode call.
    StreamCallCount calls;
    int prefill_calls = 0;
    int decode_calls = 0;
    // Processes of decode engines that may have run the stream, apart from that
    // of the current call, by when they started.
    std::set<std::pair<UpstreamName, int64_t>> possible_runs;
    bool may_have_run = false;
    bool head_sent = false;      // To the caller.
    bool is_forwarding = false;  // The current response goes to the caller.
    http::SseEventSplitter events;
    http::Head response_head;
    std::string response_body;  // Of responses that are no event streams.
    TimePoint last_event_at{};
    // Since when the engine of the current decode call is silent, or since the
    // latest search for another one.
    TimePoint silent_since{};
    bool reading_paused = false;  // The caller has to read first.
    // Goes on if its engine speaks again before the next one.
    std::optional<SilentCall> silent_call;
    TimePoint answer_started_at{};  // First event of the current decode call.
    bool answer_is_sound = false;   // See PromptPartQuarantine.
    // Since when the caller waits for the first event, or for the next one
    // after the stream broke off.
    TimePoint caller_waiting_since{};
    // For the log only.
    TimePoint reserved_at{};
    TimePoint prefilled_at{};
    TimePoint first_event_at{};
    Duration longest_gap{0};
  };

  bool OnResponseHead(http::CallId id, const http::Head& head) override;
  size_t OnResponseBody(http::CallId id, std::string_view bytes) override;
  void OnResponseEnd(http::CallId id) override;
  void OnCallFailed(http::CallId id, http::CallFailure failure) override;

  void OnPermit(PermitId id) override;
  void OnNoPermit(PermitId id) override;

  Stream* FindStream(http::CallId id);
  Stream* TakePermitStream(PermitId id);
  // Waits in this phase for a permit to call the engine, for as long as the
  // stage allows. Returns false if the engine needs none.
  bool AwaitPermit(Stream* stream, const UpstreamName& engine, Phase phase,
                   StreamStage stage);
  // Whether another engine of the role of this one that fits the stream has no
  // rate limit.
  bool HasUnlimitedEngine(const Stream& stream, const UpstreamName& engine,
                          const std::set<UpstreamName>& excluded) const;
  // The version that engines of this role must have for the stream, see
  // FitsVersion. A prefill engine must have that of the decode engine.
  std::optional<SoftwareVersion> RequiredVersion(const Stream& stream,
                                                 EngineRole role) const;
  // Whether an engine of this role that fits the stream is in service.
  bool HasEngine(const Stream& stream, EngineRole role,
                 const std::set<UpstreamName>& excluded) const;
  // Whether an engine that is not excluded may go on with the stream.
  bool HasNextEngine(const Stream& stream) const {
    return !stream.version.has_value() ||
           HasEngine(stream, EngineRole::kDecode,
                     stream.excluded_decode_engines);
  }
  // Takes this many retries from the retry budget; false if it has fewer.
  bool PayForRetries(Stream* stream, int retries);
  // Ends the stream because the retry budget does not allow a further call.
  void FailUnpaid(Stream* stream);
  StageBudget BudgetFor(const Stream& stream, StreamStage stage) const;
  void ReserveDecodeEngine(Stream* stream);
  // Time until a decode engine that fits the stream and is not excluded may be
  // called; zero if one may be called now.
  Duration DecodePause(const Stream& stream,
                       const std::set<UpstreamName>& excluded) const;
  // Waits until the engines may be called, or refuses the stream if that is not
  // in time for it.
  void AwaitPauseEnd(Stream* stream, Duration pause, Duration max_wait);
  // Whether the engine, which may be nullptr, may be called.
  bool IsUsable(const RegisteredUpstream* engine) const;
  // Reserves capacity on a prefill engine, or on the decode engine for
  // computing the prompt there.
  void ReservePrefillEngine(Stream* stream);
  void StartPrefill(Stream* stream);
  void ReleasePrefill(Stream* stream);
  void StartDecode(Stream* stream);
  bool StartCall(Stream* stream, const RegisteredUpstream& upstream,
                 const UpstreamCall& call);
  // The answer of the current decode call shows that the prompt is sound.
  void RecordSoundAnswer(Stream* stream);
  // Ends the stream if it must not reach an upstream any more.
  bool RefuseIfBarred(Stream* stream);
  // One or more events have arrived; `first`: no event had before.
  void RecordEvent(Stream* stream, bool first);
  void OnPrefillEnd(Stream* stream);
  void OnPrefillFailed(Stream* stream, bool was_sent, std::string_view reason);
  void OnDecodeEnd(Stream* stream);
  // The decode engine did not run the request.
  void OnDecodeRejected(Stream* stream, std::string_view reason);
  // The decode engine could not fetch the prompt's KV cache.
  void OnKvLost(Stream* stream);
  // The decode engine failed while it ran the request.
  void OnDecodeInterrupted(Stream* stream, std::string_view reason);
  // The decode engine may have run the request, and its response is incomplete:
  // resumes the stream if possible.
  void OnDecodeBroken(Stream* stream, std::string_view reason);
  // The engine of the current decode call may have run the stream.
  static void RecordPossibleRun(Stream* stream);
  // Whether the route allows the stream one more engine. Those that have ended
  // do not count.
  bool HasAttemptLeft(const Stream& stream) const;
  // Whether the stream, which may be resumed, may go on at another engine.
  // Takes the next call from the retry budget.
  bool MayMoveOn(Stream* stream);
  // Whether the engine of the current decode call has sent no event for so long
  // that another one is prepared.
  bool IsSilent(const Stream& stream) const;
  // Whether the next engine has had the call for as long as both engines may.
  bool IsHandOverDue(const Stream& stream) const;
  // Prepares another engine while the call of the silent one goes on.
  void PrepareNextEngine(Stream* stream);
  static bool IsSilentCall(const Stream& stream, http::CallId id) {
    return stream.silent_call.has_value() && stream.silent_call->call == id;
  }
  // Gives up the next engine and goes on with the call of the silent one; false
  // if there is no such call.
  bool ReturnToSilentCall(Stream* stream);
  // The next engine serves the stream from now on.
  void ReplaceSilentCall(Stream* stream);
  // The silent engine has broken off.
  void OnSilentCallFailed(Stream* stream);
  void ReleaseSilentCall(Stream* stream);
  void ForwardHead(Stream* stream, const http::Head& head);
  // Releases the reservations, the KV cache and the call of the current
  // attempt.
  void ReleaseAttempt(Stream* stream);
  // Whether the decode engine may compute the prompt, and after what delay.
  LocalPrefill DecideLocalPrefill(const Stream& stream) const;
  // Ends the stream with a response that tells the caller to retry later, or,
  // if it may have run, as FailUnknown does.
  void FailOverloaded(Stream* stream, Duration retry_after,
                      std::string_view reason);
  // Ends a stream that may have run: with an error response, or, once its head
  // was sent, by aborting the connection.
  void FailUnknown(Stream* stream, ErrorKind kind, std::string_view reason);
  void FinishStream(Stream* stream);
  void LogStreamEnd(const Stream& stream) const;
  // Framing of the engine's latest response; "none" before there is one.
  static std::string ResponseFraming(const Stream& stream);
  int64_t LastEventId(const Stream& stream) const;

  EntryBoard* m_board;
  Reservations* m_reservations;
  UpstreamPermits* m_permits;
  StreamOrigins* m_origins;
  Table<http::ExchangeId, Stream> m_streams;
  Table<PermitId, http::ExchangeId> m_exchanges_by_permit;
  Table<http::CallId, http::ExchangeId> m_exchanges_by_call;
  Table<AttemptId, http::ExchangeId> m_exchanges_by_attempt;
  PrefillRateEstimator m_prefill_rate;
  // Receives the responses to releases of KV cache, which need no handling.
  class IgnoredResponses : public http::CallEvents {
    bool OnResponseHead(http::CallId, const http::Head&) override {
      return true;
    }
    size_t OnResponseBody(http::CallId, std::string_view) override { return 0; }
    void OnResponseEnd(http::CallId) override {}
    void OnCallFailed(http::CallId, http::CallFailure) override {}
  };
  IgnoredResponses m_ignored_responses;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_STREAM_CALLS_H_

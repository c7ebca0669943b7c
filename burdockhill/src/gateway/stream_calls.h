#ifndef BURDOCKHILL_SRC_GATEWAY_STREAM_CALLS_H_
#define BURDOCKHILL_SRC_GATEWAY_STREAM_CALLS_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/event_stream.h"
#include "burdockhill/src/gateway/reservations.h"
#include "burdockhill/src/routing/stream_budget.h"

namespace burdockhill {

// Serves streams of model services: memory on a decode engine first, then the
// prompt on a prefill engine, then the events, which are passed on as they
// come. A stream that may be resumed goes on at another engine after the last
// event that the caller has.
class StreamCalls : public ReservationEvents, private http::CallEvents {
 public:
  StreamCalls(EntryBoard* board, Reservations* reservations)
      : m_board(board), m_reservations(reservations) {}

  void Begin(RoutedRequest routed);
  // False if the exchange is not one of these.
  bool OnCallerGone(http::ExchangeId id);
  void OnCallerDrained(http::ExchangeId id);
  // Ends what has run out of time. Call once a turn of the loop.
  void Step();
  size_t Size() const { return m_streams.Size(); }

  void OnReserved(const AttemptId& attempt,
                  const UpstreamName& engine) override;
  void OnNotReserved(const AttemptId& attempt, ErrorKind kind,
                     Duration retry_after) override;

 private:
  enum class Phase { kReserving, kAwaitingTurn, kPrefilling, kDecoding };

  struct Stream {
    RoutedRequest routed;
    Phase phase = Phase::kReserving;
    AttemptId attempt;       // Memory on the decode engine.
    AttemptId prefill_turn;  // On the prefill engine.
    UpstreamName decode;
    UpstreamName prefill;
    std::optional<KvLocation> kv;  // Computed and not yet handed on.
    http::CallId call;
    TimePoint call_started{};
    std::set<UpstreamName> avoid_decode;
    std::set<UpstreamName> avoid_prefill;
    std::optional<KvLocation> kv_in_call;  // Named in the current decode call.
    int prefill_calls = 0;
    int decode_calls = 0;
    bool may_have_run = false;
    bool head_sent = false;  // To the caller.
    bool passing = false;    // The current answer goes to the caller.
    EventStream events;
    http::Head answer;
    std::string answer_body;  // Of answers that are not passed on as they come.
    TimePoint last_event_at{};
    TimePoint waiting_since{};  // The caller, for its first or its next event.
    // For the log of how the time was spent.
    TimePoint reserved_at{};
    TimePoint prefilled_at{};
    TimePoint first_event_at{};
    Duration longest_gap{0};
  };

  bool OnResponseHead(http::CallId id, const http::Head& head) override;
  void OnResponseBody(http::CallId id, std::string_view bytes) override;
  void OnResponseEnd(http::CallId id) override;
  void OnCallFailed(http::CallId id, http::CallFailure failure) override;

  Stream* Of(http::CallId id);
  void Reserve(Stream* stream);
  // Waits for a turn on a prefill engine, or does without one.
  void AskPrefill(Stream* stream);
  void StartPrefill(Stream* stream);
  void ReleaseTurn(Stream* stream);
  void StartDecode(Stream* stream);
  bool StartCall(Stream* stream, const RegisteredUpstream& upstream,
                 const UpstreamCall& call);
  void OnPrefillEnd(Stream* stream);
  void OnPrefillFailed(Stream* stream, bool was_sent, std::string_view reason);
  void OnDecodeEnd(Stream* stream);
  // The decode engine did not take the request, and did not run it.
  void OnDecodeRejected(Stream* stream, std::string_view reason);
  // The decode engine could not fetch the prompt's KV cache.
  void OnKvLost(Stream* stream);
  void OnDecodeBroken(Stream* stream, std::string_view reason);
  void PassHead(Stream* stream, const http::Head& head);
  // Gives back memory, KV cache and calls of the current try.
  void DropTry(Stream* stream);
  // Whether and when the decode engine may compute the prompt.
  LocalPrefill LocalPrefillOf(const Stream& stream) const;
  void Reject(Stream* stream, Duration retry_after, std::string_view reason);
  void FailUnknown(Stream* stream, ErrorKind kind, std::string_view reason);
  void Finish(Stream* stream);
  void LogEnd(const Stream& stream) const;
  int64_t LastEvent(const Stream& stream) const;

  EntryBoard* m_board;
  Reservations* m_reservations;
  Table<http::ExchangeId, Stream> m_streams;
  Table<http::CallId, http::ExchangeId> m_calls;
  Table<AttemptId, http::ExchangeId> m_attempts;
  PrefillRateEstimator m_prefill_rate;
  // Releases of KV cache whose answers nobody waits for.
  class IgnoredAnswers : public http::CallEvents {
    bool OnResponseHead(http::CallId, const http::Head&) override {
      return true;
    }
    void OnResponseBody(http::CallId, std::string_view) override {}
    void OnResponseEnd(http::CallId) override {}
    void OnCallFailed(http::CallId, http::CallFailure) override {}
  };
  IgnoredAnswers m_ignored;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_STREAM_CALLS_H_

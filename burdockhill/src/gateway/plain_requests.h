#ifndef BURDOCKHILL_SRC_GATEWAY_PLAIN_REQUESTS_H_
#define BURDOCKHILL_SRC_GATEWAY_PLAIN_REQUESTS_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/stream_origins.h"
#include "burdockhill/src/gateway/upstream_permits.h"
#include "burdockhill/src/http/sse_event_splitter.h"

namespace burdockhill {

// Forwards requests to upstreams of plain services: chooses an upstream,
// retries where that is safe, and returns complete responses only. Streams, and
// long responses that declare their length, are forwarded as they arrive; if
// the upstream's response breaks off, the connection to the caller is aborted.
// A stream that a caller takes up again goes on at the software version that
// began it.
class PlainRequests : private http::CallEvents,
                      private PermitEvents,
                      private BufferOwner {
 public:
  PlainRequests(EntryBoard* board, UpstreamPermits* permits,
                StreamOrigins* origins)
      : m_board(board), m_permits(permits), m_origins(origins) {}

  // Takes over a request and sends it to an upstream.
  void Begin(RoutedRequest routed);
  // Returns false if the exchange belongs to another controller.
  bool OnCallerDisconnected(http::ExchangeId id);
  void OnOutputDrained(http::ExchangeId id);
  // Ends requests that have timed out and calls that got no response in time.
  // Call once per iteration of the event loop.
  void Tick();
  // Ends all requests in progress at this time at the latest.
  void LimitDeadlines(TimePoint latest);
  size_t InProgressCount() const { return m_requests.Size(); }

 private:
  struct Request {
    RoutedRequest routed;
    http::CallId call;
    TimePoint call_started_at{};
    SoftwareVersion called_version;  // Of the upstream of the latest call.
    std::set<UpstreamName> tried_upstreams;
    PermitId permit;             // Valid while a permit is awaited.
    UpstreamName next_upstream;  // To be called with that permit.
    std::set<UpstreamName> exhausted_upstreams;  // Had no permit in time.
    // The next call is a retry that counts against the retry budget.
    bool needs_retry_budget = false;
    // The response of the last call is complete. It reports a failure, and is
    // forwarded if no other upstream can be called.
    bool has_failed_response = false;
    std::string retry_reason;  // Why the last call failed; empty at first.
    int possible_runs = 0;     // Calls that may have run the request.
    int failed_connects = 0;   // Connections that could not be established.
    TimePoint paused_until{};  // Not placed before; zero if not waiting.
    bool caller_is_gone = false;
    bool is_forwarding = false;  // The head was sent to the caller.
    // Of a stream whose body is an event stream.
    std::optional<http::SseEventSplitter> events;
    http::Head response_head;
    std::string response_body;
    BufferCharge failed_response_charge;  // While it waits for another call.
  };

  // How far a call that did not succeed may have got.
  enum class CallOutcome {
    kNotSent,   // No connection was established.
    kRejected,  // The upstream guarantees that it did not run the request.
    kMayHaveRun,
  };

  bool OnResponseHead(http::CallId id, const http::Head& head) override;
  size_t OnResponseBody(http::CallId id, std::string_view bytes) override;
  void OnResponseEnd(http::CallId id) override;
  void OnCallFailed(http::CallId id, http::CallFailure failure) override;

  // The failed response is given to the caller now.
  void OnBufferEvicted(BufferKey key) override;

  void OnPermit(PermitId id) override;
  void OnNoPermit(PermitId id) override;

  Request* FindRequest(http::CallId id);
  Request* TakePermitRequest(PermitId id);
  // Upstreams that fit the request, see FitsVersion.
  std::vector<const RegisteredUpstream*> FindUpstreams(
      const Request& request) const;
  // The best upstream that has not been tried and is below its limit of calls,
  // or nullptr.
  const RegisteredUpstream* ChooseUpstream(const Request& request) const;
  // Calls an upstream, once there is a permit if it needs one; ends the request
  // if none can be called.
  void Place(Request* request);
  // Time until an upstream may be called that has not been tried, if all of
  // them want no requests now. Zero if that is not in time for the request.
  Duration UsefulPause(const Request& request) const;
  // When a caller should come back that is refused; zero if that is not known.
  Duration RetryAfter(const Request& request);
  void StartPlacedCall(Request* request, const RegisteredUpstream* upstream);
  // Whether the process ends before a call that begins now normally would.
  bool IsTooLateToCall(const Request& request) const;
  // No upstream can be called.
  void EndUnplaced(Request* request);
  // Upstreams that ran the request have crashed while it waited for a permit.
  void EndBarred(Request* request);
  // Whether an upstream without a rate limit can be called.
  bool HasUnlimitedUpstream(const Request& request) const;
  // Longest wait for a permit.
  Duration MaxPermitWait(const Request& request) const;
  void StartCall(Request* request, const RegisteredUpstream* upstream);
  // Sends the request to another upstream if that is allowed, else ends it.
  void RetryOrGiveUp(Request* request, CallOutcome outcome,
                     std::string_view reason);
  // Ends the request with an error response, which depends on whether the
  // request may have run.
  void GiveUp(Request* request, std::string_view reason);
  // Whether another call is allowed, the retry budget aside.
  bool MayRetry(const Request& request, CallOutcome outcome) const;
  // Whether the request can be sent to another upstream now, if its call is
  // cancelled.
  bool HasNextUpstream(const Request& request) const;
  // Forwards the complete response to the caller and ends the request.
  void Deliver(Request* request);
  // Whether the response is too long to be kept until it is complete.
  static bool IsLong(const Request& request);
  // Sends the head to the caller. The body follows as it arrives.
  void StartForwarding(Request* request);
  // Bytes to the caller that may be queued before reading pauses.
  size_t MaxOutputBytes(const Request& request) const;
  // Forwards body bytes. Returns the bytes of an event that is not complete.
  size_t ForwardBody(Request* request, std::string_view bytes);
  // Keeps the response until another call has ended, or none can be made.
  void KeepFailedResponse(Request* request);
  // Whether the response, which has ended, has ended its stream too.
  static bool IsStreamComplete(const Request& request);
  void EndForwarding(Request* request);
  // Cancels the call and ends the request after the caller has disconnected.
  void Abandon(Request* request);
  // Aborts the caller's connection without a response: the caller disconnected,
  // or has already received part of a stream.
  void AbortExchange(const Request& request, std::string_view reason);
  void RecordCallEnd(Request* request, CallResult result);
  void RecordResponseTime(const RoutedRequest& routed);
  void FinishRequest(http::ExchangeId id);

  EntryBoard* m_board;
  UpstreamPermits* m_permits;
  StreamOrigins* m_origins;
  Table<http::ExchangeId, Request> m_requests;
  Table<PermitId, http::ExchangeId> m_exchanges_by_permit;
  Table<http::CallId, http::ExchangeId> m_exchanges_by_call;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_PLAIN_REQUESTS_H_

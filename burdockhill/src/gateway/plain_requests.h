#ifndef BURDOCKHILL_SRC_GATEWAY_PLAIN_REQUESTS_H_
#define BURDOCKHILL_SRC_GATEWAY_PLAIN_REQUESTS_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"

namespace burdockhill {

// Passes requests on to plain services: places, retries what may be repeated,
// and hands back whole answers only. Streams are handed back as they come, and
// cut off where their upstream's answer is.
class PlainRequests : private http::CallEvents {
 public:
  explicit PlainRequests(EntryBoard* board) : m_board(board) {}

  void Begin(RoutedRequest routed);
  // False if the exchange is not one of these.
  bool OnCallerGone(http::ExchangeId id);
  void OnCallerDrained(http::ExchangeId id);
  // Ends what has run out of time. Call once a turn of the loop.
  void Step();
  size_t Size() const { return m_requests.Size(); }

 private:
  struct Request {
    RoutedRequest routed;
    http::CallId call;
    TimePoint call_started{};
    std::set<UpstreamName> tried;
    int runs = 0;            // Upstreams that may have run the request.
    int refused_starts = 0;  // Connections that could not be made.
    std::optional<TimePoint> caller_gone_at;
    bool streaming = false;  // The caller has the head of the answer.
    http::Head answer;
    std::string answer_body;
  };

  // What is known of a call that brought no good answer.
  enum class LastCall {
    kNotSent,   // No connection.
    kRejected,  // The upstream states that it did not run it.
    kMayHaveRun,
  };

  bool OnResponseHead(http::CallId id, const http::Head& head) override;
  void OnResponseBody(http::CallId id, std::string_view bytes) override;
  void OnResponseEnd(http::CallId id) override;
  void OnCallFailed(http::CallId id, http::CallFailure failure) override;

  Request* Of(http::CallId id);
  // The best upstream that was not tried and has room, or nullptr.
  const RegisteredUpstream* Choose(const Request& request) const;
  void Send(Request* request, const RegisteredUpstream* upstream);
  // Ends the request or sends it to another upstream.
  void Retry(Request* request, LastCall last, std::string_view reason);
  // Refuses, or fails what may have run.
  void GiveUp(Request* request, std::string_view reason);
  bool MayRunAgain(const Request& request, LastCall last) const;
  bool IsBarred(const RoutedRequest& routed) const;
  void Deliver(Request* request);
  void StartStream(Request* request);
  void EndStream(Request* request);
  // Ends the call of a caller that has gone.
  void StopFor(Request* request);
  // Closes without an answer: the caller has gone, or has half of one.
  void DropCaller(const Request& request, std::string_view reason);
  void NoteEnd(Request* request, CallResult result);
  void NoteAnswerTime(const RoutedRequest& routed);
  void Finish(http::ExchangeId id);

  EntryBoard* m_board;
  Table<http::ExchangeId, Request> m_requests;
  Table<http::CallId, http::ExchangeId> m_calls;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_PLAIN_REQUESTS_H_

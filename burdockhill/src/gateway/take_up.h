#ifndef BURDOCKHILL_SRC_GATEWAY_TAKE_UP_H_
#define BURDOCKHILL_SRC_GATEWAY_TAKE_UP_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/stream_origins.h"

namespace burdockhill {

// Reasons of refusals, for the log.
inline constexpr std::string_view kNoUpstreamOfVersion =
    "no upstream of the stream's version";
inline constexpr std::string_view kServiceNotOnRoute =
    "the route no longer has the stream's service";

// Whether the caller takes up a stream that broke off, here or elsewhere.
bool IsTakeUp(const RoutedRequest& routed);
// The id of the attempt that brought the first event of the stream, or will
// bring it. That of a take-up is empty if the caller does not name it.
std::string StreamAttemptOf(const RoutedRequest& routed);
// The stream of the request, if upstreams of this service write it.
StreamKey StreamKeyOf(const RoutedRequest& routed, const ServiceName& service);

class TakeUpEvents {
 public:
  virtual ~TakeUpEvents() = default;
  // The stream goes on at the service and the version of the request.
  virtual void OnTakenUp(RoutedRequest routed) = 0;
};

// Requests with which callers take up a stream that broke off, here or at
// another entry. What upstreams of two software versions, or of two services,
// write does not fit together, so the stream goes on only at the version and
// the service that began it. Weights have no influence on that. Keeps the
// requests until the version is known, and refuses those that cannot go on.
class TakeUps : private OriginSearchEvents {
 public:
  TakeUps(EntryBoard* board, StreamOrigins* origins, TakeUpEvents* events)
      : m_board(board), m_origins(origins), m_events(events) {}

  // Takes over a take-up, finds out where the stream began, and passes it on or
  // refuses it.
  void Begin(RoutedRequest routed);
  // Returns false if the request is not kept here.
  bool OnCallerDisconnected(http::ExchangeId id);
  // Ends the searches of requests that have timed out. Call once per iteration
  // of the event loop.
  void Tick();
  // Refuses the requests that must not reach an upstream any more.
  void RefuseBarred();
  // Ends all searches at this time at the latest.
  void LimitDeadlines(TimePoint latest);
  size_t InProgressCount() const { return m_requests.Size(); }

 private:
  // One search for each service at which the stream may have begun.
  struct Request {
    RoutedRequest routed;
    std::map<OriginSearchId, ServiceName> searches;
    Duration retry_after{0};  // Longest of the searches that have ended.
  };

  void OnOriginFound(OriginSearchId id,
                     const SoftwareVersion& version) override;
  void OnOriginUnknown(OriginSearchId id, Duration retry_after) override;

  // Services of the route, also those that it may no longer use, so that a
  // refusal can say so.
  std::vector<ServiceName> SearchedServices(const RoutedRequest& routed) const;
  Request* FindRequest(OriginSearchId id);
  // Cancels the searches and gives up the request.
  RoutedRequest Remove(http::ExchangeId id);
  void Refuse(const RoutedRequest& routed, ErrorKind kind, Duration retry_after,
              std::string_view reason);
  void RefuseUnknown(const RoutedRequest& routed, Duration retry_after);
  bool IsServed(const ServiceName& service,
                const SoftwareVersion& version) const;

  EntryBoard* m_board;
  StreamOrigins* m_origins;
  TakeUpEvents* m_events;
  Table<http::ExchangeId, Request> m_requests;
  Table<OriginSearchId, http::ExchangeId> m_exchanges_by_search;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_TAKE_UP_H_

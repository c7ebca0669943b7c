#ifndef BURDOCKHILL_SRC_GATEWAY_TAKE_UP_H_
#define BURDOCKHILL_SRC_GATEWAY_TAKE_UP_H_

#include <optional>
#include <string>
#include <string_view>

#include "burdockhill/src/base/table.h"
#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/stream_origins.h"

namespace burdockhill {

// Reason of a refusal, for the log.
inline constexpr std::string_view kNoUpstreamOfVersion =
    "no upstream of the stream's version";

class TakeUpEvents {
 public:
  virtual ~TakeUpEvents() = default;
  // An upstream of this version began the stream, and another one serves.
  virtual void OnTakenUp(http::ExchangeId id,
                         const SoftwareVersion& version) = 0;
  // The stream cannot go on at present. `retry_after` is zero if it is not
  // known when it can.
  virtual void OnNotTakenUp(http::ExchangeId id, Duration retry_after,
                            std::string_view reason) = 0;
};

// Requests with which callers take up a stream that broke off, here or at
// another entry. What upstreams of two software versions write does not fit
// together, so the stream goes on only at the version that began it.
class TakeUps : private OriginSearchEvents {
 public:
  // Streams go on at upstreams of this role, or at any if it is nullopt.
  TakeUps(EntryBoard* board, StreamOrigins* origins,
          std::optional<EngineRole> role, TakeUpEvents* events)
      : m_board(board), m_origins(origins), m_role(role), m_events(events) {}

  static bool IsTakeUp(const RoutedRequest& routed);
  // The id of the attempt that brought the first event of the stream, or will
  // bring it. That of a take-up is empty if the caller does not name it.
  static std::string OriginOf(const RoutedRequest& routed);
  // Finds out which version began the stream. Exactly one event follows, maybe
  // before this call has returned, unless the search is cancelled.
  void Find(const RoutedRequest& routed);
  // Ignored if there is no search for the exchange.
  void Cancel(http::ExchangeId id);

  // Whether the upstream of the latest call is registered as another process by
  // now. That one may have answered already, so the version is not certain.
  bool HasRestarted(const RoutedRequest& routed,
                    const SoftwareVersion& version) const;
  // An upstream of this version has sent the first event of the answer. Call
  // before the caller gets it, so that the caller can take the stream up as
  // soon as it has one.
  void RecordFirstEvent(const RoutedRequest& routed,
                        const SoftwareVersion& version);

 private:
  struct Search {
    http::ExchangeId exchange;
    ServiceName service;
    std::string request;
    std::string attempt;  // That brought the first event.
    int64_t after_event = 0;
  };

  void OnOriginFound(OriginSearchId id,
                     const SoftwareVersion& version) override;
  void OnOriginUnknown(OriginSearchId id, Duration retry_after) override;

  // Ends a search; nullopt if it was cancelled.
  std::optional<Search> TakeSearch(OriginSearchId id);
  void RefuseUnknown(const Search& search, Duration retry_after);
  bool IsServed(const ServiceName& service,
                const SoftwareVersion& version) const;

  EntryBoard* m_board;
  StreamOrigins* m_origins;
  std::optional<EngineRole> m_role;
  TakeUpEvents* m_events;
  Table<OriginSearchId, Search> m_searches;
  Table<http::ExchangeId, OriginSearchId> m_searches_by_exchange;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_TAKE_UP_H_

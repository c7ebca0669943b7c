#include "burdockhill/src/gateway/take_up.h"

#include <algorithm>

namespace burdockhill {

bool TakeUps::IsTakeUp(const RoutedRequest& routed) {
  return routed.route.kind == RequestKind::kResumableStream &&
         routed.request.last_event_id.value_or(0) > 0;
}

std::string TakeUps::OriginOf(const RoutedRequest& routed) {
  return IsTakeUp(routed) ? routed.request.resumed_attempt.value_or("")
                          : routed.request.id;
}

void TakeUps::Find(const RoutedRequest& routed) {
  const InboundRequest& request = routed.request;
  const Search search{routed.exchange, routed.service, request.id,
                      OriginOf(routed), request.last_event_id.value_or(0)};
  // Each attempt has its own id, so one that names itself names no other.
  if (!request.resumed_attempt.has_value() || search.attempt == request.id) {
    return RefuseUnknown(search, Duration(0));
  }
  const OriginSearchId id =
      m_origins->Find({search.service, HashRequestId(search.attempt)}, this);
  m_searches.FindOrInsert(id) = search;
  m_searches_by_exchange.FindOrInsert(search.exchange) = id;
}

void TakeUps::Cancel(http::ExchangeId id) {
  const OriginSearchId* search = m_searches_by_exchange.Find(id);
  if (search == nullptr) return;
  m_origins->Cancel(*search);
  TakeSearch(*search);
}

std::optional<TakeUps::Search> TakeUps::TakeSearch(OriginSearchId id) {
  const Search* found = m_searches.Find(id);
  if (found == nullptr) return std::nullopt;
  Search search = *found;
  m_searches.Erase(id);
  m_searches_by_exchange.Erase(search.exchange);
  return search;
}

void TakeUps::OnOriginFound(OriginSearchId id, const SoftwareVersion& version) {
  const std::optional<Search> search = TakeSearch(id);
  if (!search.has_value()) return;
  const bool served = IsServed(search->service, version);
  m_board->log->Write("stream_taken_up",
                      {{"request", search->request},
                       {"stream", search->attempt},
                       {"version", version.Value()},
                       {"served", served},
                       {"after_event", search->after_event}});
  if (served) return m_events->OnTakenUp(search->exchange, version);
  m_events->OnNotTakenUp(search->exchange, Duration(0), kNoUpstreamOfVersion);
}

void TakeUps::OnOriginUnknown(OriginSearchId id, Duration retry_after) {
  const std::optional<Search> search = TakeSearch(id);
  if (search.has_value()) RefuseUnknown(*search, retry_after);
}

void TakeUps::RefuseUnknown(const Search& search, Duration retry_after) {
  m_board->log->Write(
      "stream_origin_unknown",
      {{"request", search.request},
       {"stream", search.attempt},
       {"after_event", search.after_event},
       {"retry_after_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(retry_after)
            .count()}});
  m_events->OnNotTakenUp(search.exchange, retry_after,
                         "the version that began the stream is unknown");
}

bool TakeUps::IsServed(const ServiceName& service,
                       const SoftwareVersion& version) const {
  const auto upstreams = m_board->upstreams.FindByService(service);
  return std::any_of(upstreams.begin(), upstreams.end(),
                     [&](const RegisteredUpstream* upstream) {
                       return !upstream->leaving &&
                              FitsVersion(*upstream, version) &&
                              (!m_role.has_value() || upstream->role == m_role);
                     });
}

bool TakeUps::HasRestarted(const RoutedRequest& routed,
                           const SoftwareVersion& version) const {
  const RegisteredUpstream* upstream =
      m_board->upstreams.Find(routed.last_upstream);
  return upstream != nullptr &&
         (upstream->started_at_ms != routed.last_upstream_started_at_ms ||
          (upstream->version.IsValid() &&
           !AreSameVersion(upstream->version, version)));
}

void TakeUps::RecordFirstEvent(const RoutedRequest& routed,
                               const SoftwareVersion& version) {
  const InboundRequest& request = routed.request;
  if (routed.route.kind != RequestKind::kResumableStream) return;
  if (!version.IsValid() || HasRestarted(routed, version)) return;
  const Duration passed = m_board->clock->Now() - routed.arrived_at;
  const Duration keep =
      request.caller_timeout.value_or(routed.route.timeout) - passed;
  m_origins->Record({routed.service, HashRequestId(OriginOf(routed))}, version,
                    std::max(keep, Duration(0)));
}

}  // namespace burdockhill

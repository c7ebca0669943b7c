#include "burdockhill/src/gateway/take_up.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// An entry that may lack the newest configuration has it by then.
constexpr Duration kStaleRetryAfter = std::chrono::seconds(1);

StreamOwner OwnerOf(const Route& route, const TeamName& team) {
  const std::string& name = route.name.Value();
  const uint64_t of_route = XXH64(name.data(), name.size(), 0);
  const std::string& text = team.Value();
  // 32 bits are sent to peers. Zero is not a valid owner.
  return StreamOwner((XXH64(text.data(), text.size(), of_route) >> 32) | 1);
}

}  // namespace

bool IsTakeUp(const RoutedRequest& routed) {
  return routed.route.kind == RequestKind::kResumableStream &&
         routed.request.last_event_id.value_or(0) > 0;
}

std::string StreamAttemptOf(const RoutedRequest& routed) {
  return IsTakeUp(routed) ? routed.request.resumed_attempt.value_or("")
                          : routed.request.id;
}

StreamKey StreamKeyOf(const RoutedRequest& routed, const ServiceName& service) {
  return {service, HashRequestId(StreamAttemptOf(routed)),
          OwnerOf(routed.route, routed.team)};
}

void TakeUps::Begin(RoutedRequest routed) {
  // Each attempt has its own id, so one that names itself names no other.
  if (!routed.request.resumed_attempt.has_value() ||
      StreamAttemptOf(routed) == routed.request.id) {
    return RefuseUnknown(routed, Duration(0));
  }
  const http::ExchangeId id = routed.exchange;
  Request& request = m_requests.FindOrInsert(id);
  request.routed = std::move(routed);
  for (const ServiceName& service : SearchedServices(request.routed)) {
    const OriginSearchId search =
        m_origins->Find(StreamKeyOf(request.routed, service), this);
    request.searches[search] = service;
    m_exchanges_by_search.FindOrInsert(search) = id;
  }
}

std::vector<ServiceName> TakeUps::SearchedServices(
    const RoutedRequest& routed) const {
  std::vector<ServiceName> services =
      m_board->routes.FormerServices(routed.route.name);
  for (const WeightedService& choice : routed.route.services) {
    services.push_back(choice.service);
  }
  std::sort(services.begin(), services.end());
  services.erase(std::unique(services.begin(), services.end()), services.end());
  return services;
}

TakeUps::Request* TakeUps::FindRequest(OriginSearchId id) {
  const http::ExchangeId* exchange = m_exchanges_by_search.Find(id);
  return exchange == nullptr ? nullptr : m_requests.Find(*exchange);
}

RoutedRequest TakeUps::Remove(http::ExchangeId id) {
  Request request = std::move(*m_requests.Find(id));
  m_requests.Erase(id);
  for (const auto& [search, service] : request.searches) {
    m_origins->Cancel(search);
    m_exchanges_by_search.Erase(search);
  }
  return std::move(request.routed);
}

bool TakeUps::OnCallerDisconnected(http::ExchangeId id) {
  if (m_requests.Find(id) == nullptr) return false;
  const RoutedRequest routed = Remove(id);
  m_board->log->Write(
      "caller_gone",
      {{"request", routed.request.id},
       {"after_event", routed.request.last_event_id.value_or(0)}});
  CutResponse(m_board, routed, "the caller has gone");
  return true;
}

void TakeUps::Tick() {
  const TimePoint now = m_board->clock->Now();
  const bool stopping = m_board->shutdown_deadline != TimePoint() &&
                        now >= m_board->shutdown_deadline;
  std::vector<http::ExchangeId> timed_out;
  for (const auto& [id, request] : m_requests) {
    if (stopping || now >= request.routed.deadline) timed_out.push_back(id);
  }
  for (const http::ExchangeId id : timed_out) {
    Refuse(Remove(id), ErrorKind::kOverloaded, Duration(0), "out of time");
  }
}

void TakeUps::RefuseBarred() {
  std::vector<http::ExchangeId> barred;
  for (const auto& [id, request] : m_requests) {
    if (IsBarred(m_board, request.routed)) barred.push_back(id);
  }
  for (const http::ExchangeId id : barred) {
    Refuse(Remove(id), ErrorKind::kBarred, Duration(0),
           "upstreams that ran it have crashed");
  }
}

void TakeUps::LimitDeadlines(TimePoint latest) {
  for (auto& [id, request] : m_requests) {
    request.routed.deadline = std::min(request.routed.deadline, latest);
  }
}

void TakeUps::OnOriginFound(OriginSearchId id, const SoftwareVersion& version) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  const ServiceName service = request->searches.at(id);
  RoutedRequest routed = Remove(request->routed.exchange);
  const bool allowed = RouteTable::IsAllowed(routed.route, service);
  const bool served = IsServed(service, version);
  m_board->log->Write(
      "stream_taken_up",
      {{"request", routed.request.id},
       {"stream", StreamAttemptOf(routed)},
       {"service", service.Value()},
       {"version", version.Value()},
       {"allowed", allowed},
       {"served", served},
       {"generation", static_cast<int64_t>(routed.generation.Value())},
       {"after_event", routed.request.last_event_id.value_or(0)}});
  routed.service = service;
  if (!allowed) {
    return Refuse(routed, ErrorKind::kNoUpstream, Duration(0),
                  kServiceNotOnRoute);
  }
  if (!served) {
    return Refuse(routed, ErrorKind::kNoUpstream, Duration(0),
                  kNoUpstreamOfVersion);
  }
  routed.stream_version = version;
  m_events->OnTakenUp(std::move(routed));
}

void TakeUps::OnOriginUnknown(OriginSearchId id, Duration retry_after) {
  Request* request = FindRequest(id);
  if (request == nullptr) return;
  request->searches.erase(id);
  m_exchanges_by_search.Erase(id);
  request->retry_after = std::max(request->retry_after, retry_after);
  if (!request->searches.empty()) return;
  const Duration longest = request->retry_after;
  RefuseUnknown(Remove(request->routed.exchange), longest);
}

void TakeUps::RefuseUnknown(const RoutedRequest& routed, Duration retry_after) {
  // The newest configuration may name the service that began the stream.
  const bool stale =
      m_board->freshness != nullptr && m_board->freshness->MayBeStale();
  if (stale) retry_after = std::max(retry_after, kStaleRetryAfter);
  std::string services;
  for (const ServiceName& service : SearchedServices(routed)) {
    services += (services.empty() ? "" : ",") + service.Value();
  }
  m_board->log->Write(
      "stream_origin_unknown",
      {{"request", routed.request.id},
       {"stream", StreamAttemptOf(routed)},
       {"services", services},
       {"generation", static_cast<int64_t>(routed.generation.Value())},
       {"stale", stale},
       {"after_event", routed.request.last_event_id.value_or(0)},
       {"retry_after_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(retry_after)
            .count()}});
  Refuse(routed, ErrorKind::kNoUpstream, retry_after,
         "the version that began the stream is unknown");
}

void TakeUps::Refuse(const RoutedRequest& routed, ErrorKind kind,
                     Duration retry_after, std::string_view reason) {
  // What callers have sent earns the service retries, also if it is refused.
  m_board->retry_budget.CountRequest(routed.service, routed.arrived_at);
  FailRequest(m_board, routed, kind, retry_after, reason);
}

bool TakeUps::IsServed(const ServiceName& service,
                       const SoftwareVersion& version) const {
  const std::optional<EngineRole> role = m_board->StreamRole(service);
  const auto upstreams = m_board->upstreams.FindByService(service);
  return std::any_of(upstreams.begin(), upstreams.end(),
                     [&](const RegisteredUpstream* upstream) {
                       return !upstream->leaving &&
                              FitsVersion(*upstream, version) &&
                              (!role.has_value() || upstream->role == role);
                     });
}

}  // namespace burdockhill

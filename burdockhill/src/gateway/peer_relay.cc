#include "burdockhill/src/gateway/peer_relay.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

constexpr Duration kOfferInterval = std::chrono::seconds(1);
// Within this time the store's watch usually delivers a new configuration.
constexpr Duration kStoreTime = std::chrono::milliseconds(700);
constexpr Duration kRequestInterval = std::chrono::milliseconds(500);

CrashNotice NoticeOf(const UpstreamCrash& crash) {
  return {crash.request.Value(), crash.upstream};
}

}  // namespace

PeerRelay::PeerRelay(const Options& options, const RouteTable* routes,
                     const UpstreamDirectory* upstreams,
                     PoisonRequestDetector* crashes, PeerLink* peers,
                     const Clock* clock, EventLog* log,
                     FeedEvents* configurations, FeedEvents* registrations)
    : m_options(options),
      m_routes(routes),
      m_upstreams(upstreams),
      m_crashes(crashes),
      m_peers(peers),
      m_clock(clock),
      m_log(log),
      m_configurations(configurations),
      m_registrations(registrations),
      m_started(clock->Now()) {
  for (const std::string& seed : m_options.seeds) {
    if (VmName(seed) == m_options.self) continue;
    m_peers->Connect(VmName(seed), seed + ":" + std::to_string(m_options.port));
  }
}

Generation PeerRelay::InForce() const {
  return m_routes->Configuration().generation;
}

void PeerRelay::KeepConfiguration(const FeedObject& object) {
  if (!object.deleted && object.revision >= m_configuration.revision) {
    m_configuration = object;
  }
}

void PeerRelay::KeepRegistrations(const std::vector<FeedObject>& objects,
                                  uint64_t revision) {
  m_objects.clear();
  m_revision = revision;
  for (const FeedObject& object : objects) KeepRegistration(object);
}

void PeerRelay::KeepRegistration(const FeedObject& object) {
  m_revision = std::max(m_revision, object.revision);
  if (object.deleted) {
    m_objects.erase(object.name);
  } else {
    m_objects[object.name] = {object.name, object.revision, object.content};
  }
}

void PeerRelay::Tick() {
  const TimePoint now = m_clock->Now();
  for (const UpstreamCrash& crash : m_crashes->DrainNewCrashes()) {
    m_log->Write("upstream_crashed",
                 {{"upstream", crash.upstream.Value()},
                  {"fingerprint", std::to_string(crash.request.Value())},
                  {"barred", m_crashes->IsBarred(crash.request)}});
    for (const VmName& vm : m_connected) m_peers->Send(vm, NoticeOf(crash));
  }
  if (now >= m_next_offer) {
    m_next_offer = now + kOfferInterval;
    for (const VmName& vm : m_connected) {
      m_peers->Send(vm, ConfigurationOffer{InForce(), true, ""});
    }
  }
  if (now < m_next_request) return;
  const bool behind = m_seen > InForce() && m_behind_since != TimePoint() &&
                      now - m_behind_since >= kStoreTime;
  const bool unlisted =
      !m_upstreams->HasList() && now - m_started >= kStoreTime;
  if (!behind && !unlisted) return;
  m_next_request = now + kRequestInterval;
  if (behind) {
    m_peers->Send(m_seen_at, ConfigurationOffer{InForce(), false, ""});
  }
  if (unlisted && !m_connected.empty()) {
    m_peers->Send(*m_connected.begin(), Registrations{true, 0, {}});
  }
}

void PeerRelay::OnPeerUp(const Hello& peer) {
  m_connected.insert(peer.vm);
  m_peers->Send(peer.vm, ConfigurationOffer{InForce(), true, ""});
  for (const UpstreamCrash& crash : m_crashes->AllCrashes()) {
    m_peers->Send(peer.vm, NoticeOf(crash));
  }
}

void PeerRelay::OnPeerDown(const VmName& vm) { m_connected.erase(vm); }

void PeerRelay::OnMessage(const VmName& from, const Message& message) {
  if (const auto* offer = std::get_if<ConfigurationOffer>(&message)) {
    TakeOffer(from, *offer);
  } else if (const auto* list = std::get_if<Registrations>(&message)) {
    TakeRegistrations(from, *list);
  } else if (const auto* notice = std::get_if<CrashNotice>(&message)) {
    TakeCrash(from, *notice);
  }
}

void PeerRelay::TakeCrash(const VmName& from, const CrashNotice& notice) {
  const UpstreamCrash crash{RequestFingerprint(notice.fingerprint),
                            notice.upstream};
  if (!m_crashes->AddCrash(crash, m_clock->Now())) return;
  for (const VmName& vm : m_connected) {
    if (vm != from) m_peers->Send(vm, notice);
  }
}

// An offer with `accepted` unset is a request: the sender has that generation
// and asks for a newer one.
void PeerRelay::TakeOffer(const VmName& from, const ConfigurationOffer& offer) {
  if (!offer.accepted) {
    if (InForce() > offer.generation && !m_configuration.content.empty()) {
      m_peers->Send(
          from, ConfigurationOffer{InForce(), true, m_configuration.content});
    }
    return;
  }
  if (offer.generation <= InForce()) return;
  if (!offer.content.empty()) {
    m_log->Write(
        "configuration_from_peer",
        {{"peer", from.Value()},
         {"generation", static_cast<int64_t>(offer.generation.Value())},
         {"had", static_cast<int64_t>(InForce().Value())}});
    m_configuration.name = m_options.configuration_name;
    m_configuration.content = offer.content;
    return m_configurations->OnChange(m_configuration);
  }
  if (offer.generation <= m_seen) return;
  m_seen = offer.generation;
  m_seen_at = from;
  m_behind_since = m_clock->Now();
}

void PeerRelay::TakeRegistrations(const VmName& from,
                                  const Registrations& message) {
  if (message.request) {
    if (!m_upstreams->HasList()) return;
    Registrations list;
    list.revision = m_revision;
    for (const auto& [name, object] : m_objects) list.objects.push_back(object);
    m_peers->Send(from, std::move(list));
    return;
  }
  if (m_upstreams->HasList()) return;
  m_log->Write("upstreams_from_peer",
               {{"peer", from.Value()},
                {"count", static_cast<int64_t>(message.objects.size())},
                {"revision", static_cast<int64_t>(message.revision)}});
  std::vector<FeedObject> objects;
  for (const RelayedObject& object : message.objects) {
    objects.push_back({object.name, object.revision, false, object.content});
  }
  KeepRegistrations(objects, message.revision);
  m_registrations->OnList(objects, message.revision);
}

}  // namespace burdockhill

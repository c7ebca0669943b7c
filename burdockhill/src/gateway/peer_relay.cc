#include "burdockhill/src/gateway/peer_relay.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

constexpr Duration kOfferInterval = std::chrono::seconds(1);
// Within this time the store's watch usually delivers a new configuration.
constexpr Duration kStoreGracePeriod = std::chrono::milliseconds(700);
constexpr Duration kRequestInterval = std::chrono::milliseconds(500);
// A seed that runs has sent its first offer by then: it does so as soon as it
// is connected.
constexpr Duration kFirstOfferWait = std::chrono::seconds(2);

CrashNotice ToNotice(const UpstreamCrash& crash) {
  return {crash.request.Value(), crash.upstream};
}

PromptPartNotice ToNotice(const PromptPartReport& report, TimePoint now) {
  return {report.part, report.crashed_upstream, now - report.at};
}

}  // namespace

PeerRelay::PeerRelay(const Options& options, const ObjectCodec* codec,
                     const RouteTable* routes,
                     const UpstreamDirectory* upstreams,
                     PoisonRequestDetector* poison_detector,
                     PromptPartQuarantine* prompt_parts, PeerLink* peers,
                     const Clock* clock, EventLog* log,
                     FeedEvents* configuration_events,
                     FeedEvents* registration_events)
    : m_options(options),
      m_codec(codec),
      m_routes(routes),
      m_upstreams(upstreams),
      m_poison_detector(poison_detector),
      m_prompt_parts(prompt_parts),
      m_peers(peers),
      m_clock(clock),
      m_log(log),
      m_configuration_events(configuration_events),
      m_registration_events(registration_events),
      m_started_at(clock->Now()) {
  for (const std::string& seed : m_options.seeds) {
    if (VmName(seed) == m_options.self) continue;
    m_awaits_first_offer = true;
    m_peers->Connect(VmName(seed), seed + ":" + std::to_string(m_options.port));
  }
}

Generation PeerRelay::CurrentGeneration() const {
  return m_routes->Configuration().generation;
}

void PeerRelay::ForwardConfiguration(const FeedObject& object,
                                     FeedEvents* next) {
  const Generation former = CurrentGeneration();
  FeedObject without_keys = m_codec->ReplaceKeysByDigests(object);
  next->OnChange(without_keys);
  if (CurrentGeneration() <= former) return;
  m_cached_configuration = std::move(without_keys);
  // Peers that the store does not reach know from now on that they are behind.
  m_next_offer_at = m_clock->Now();
}

bool PeerRelay::MayBeBehind() const {
  if (m_newest_peer_generation > CurrentGeneration()) return true;
  return m_awaits_first_offer &&
         m_clock->Now() - m_started_at < kFirstOfferWait;
}

void PeerRelay::SetRegistrations(const std::vector<FeedObject>& objects,
                                 StoreRevision revision) {
  m_objects.clear();
  m_registrations_revision = revision;
  for (const FeedObject& object : objects) {
    m_objects[object.name] = {object.name, object.revision, object.content};
  }
}

void PeerRelay::UpdateRegistration(const FeedObject& object) {
  m_registrations_revision =
      std::max(m_registrations_revision, object.revision);
  const auto known = m_objects.find(object.name);
  // A watch repeats changes that the later pages of the list already had.
  if (known != m_objects.end() && known->second.revision > object.revision) {
    return;
  }
  if (object.deleted) {
    m_objects.erase(object.name);
  } else {
    m_objects[object.name] = {object.name, object.revision, object.content};
  }
}

void PeerRelay::Tick() {
  const TimePoint now = m_clock->Now();
  for (const UpstreamCrash& crash : m_poison_detector->DrainNewCrashes()) {
    m_log->Write("upstream_crashed",
                 {{"upstream", crash.upstream.Value()},
                  {"fingerprint", std::to_string(crash.request.Value())},
                  {"barred", m_poison_detector->IsBarred(crash.request)}});
    for (const VmName& vm : m_entries) m_peers->Send(vm, ToNotice(crash));
  }
  SendPromptPartReports();
  if (now >= m_next_offer_at) {
    m_next_offer_at = now + kOfferInterval;
    for (const VmName& vm : m_entries) {
      m_peers->Send(vm, ConfigurationOffer{CurrentGeneration(), true, ""});
    }
  }
  RequestConfiguration(now);
  RequestRegistrations(now);
}

void PeerRelay::RequestConfiguration(TimePoint now) {
  const bool is_behind = m_newest_peer_generation > CurrentGeneration() &&
                         m_behind_since != TimePoint() &&
                         now - m_behind_since >= kStoreGracePeriod;
  if (!is_behind || now < m_next_configuration_request_at) return;
  m_next_configuration_request_at = now + kRequestInterval;
  m_peers->Send(m_newest_peer,
                ConfigurationOffer{CurrentGeneration(), false, ""});
}

void PeerRelay::RequestRegistrations(TimePoint now) {
  const bool needs_upstreams =
      !m_upstreams->HasList() && now - m_started_at >= kStoreGracePeriod;
  if (!needs_upstreams || m_entries.empty() ||
      now < m_next_registrations_request_at) {
    return;
  }
  m_next_registrations_request_at = now + kRequestInterval;
  m_peers->Send(*m_entries.begin(), Registrations{true, {}, {}});
}

void PeerRelay::OnPeerUp(const Hello& peer) {
  m_entries.insert(peer.vm);
  m_peers->Send(peer.vm, ConfigurationOffer{CurrentGeneration(), true, ""});
  for (const UpstreamCrash& crash : m_poison_detector->AllCrashes()) {
    m_peers->Send(peer.vm, ToNotice(crash));
  }
  const TimePoint now = m_clock->Now();
  for (const PromptPartReport& report : m_prompt_parts->AllCrashes()) {
    m_peers->Send(peer.vm, ToNotice(report, now));
  }
}

void PeerRelay::SendPromptPartReports() {
  const TimePoint now = m_clock->Now();
  for (const PromptPartReport& report : m_prompt_parts->DrainReports()) {
    m_log->Write(report.crashed_upstream.IsValid() ? "prompt_part_crashed"
                                                   : "prompt_part_cleared",
                 {{"part", report.part.Value()},
                  {"upstream", report.crashed_upstream.Value()},
                  {"blamed", m_prompt_parts->IsBlamed(report.part)}});
    for (const VmName& vm : m_entries) {
      m_peers->Send(vm, ToNotice(report, now));
    }
  }
}

void PeerRelay::HandlePromptPartNotice(const VmName& from,
                                       const PromptPartNotice& notice) {
  const TimePoint now = m_clock->Now();
  const PromptPartReport report{notice.part, notice.upstream, now - notice.age};
  if (!m_prompt_parts->AddReport(report, now)) return;
  for (const VmName& vm : m_entries) {
    if (vm != from) m_peers->Send(vm, notice);
  }
}

void PeerRelay::OnPeerDown(const VmName& vm) { m_entries.erase(vm); }

void PeerRelay::OnMessage(const VmName& from, const Message& message) {
  if (const auto* offer = std::get_if<ConfigurationOffer>(&message)) {
    HandleOffer(from, *offer);
  } else if (const auto* list = std::get_if<Registrations>(&message)) {
    HandleRegistrations(from, *list);
  } else if (const auto* notice = std::get_if<CrashNotice>(&message)) {
    HandleCrashNotice(from, *notice);
  } else if (const auto* part = std::get_if<PromptPartNotice>(&message)) {
    HandlePromptPartNotice(from, *part);
  }
}

void PeerRelay::HandleCrashNotice(const VmName& from,
                                  const CrashNotice& notice) {
  const UpstreamCrash crash{RequestFingerprint(notice.fingerprint),
                            notice.upstream};
  if (!m_poison_detector->AddCrash(crash, m_clock->Now())) return;
  for (const VmName& vm : m_entries) {
    if (vm != from) m_peers->Send(vm, notice);
  }
}

// An offer with `accepted` unset is a request: the sender has that generation
// and asks for a newer one.
void PeerRelay::HandleOffer(const VmName& from,
                            const ConfigurationOffer& offer) {
  if (!offer.accepted) {
    if (CurrentGeneration() > offer.generation &&
        !m_cached_configuration.content.empty()) {
      m_peers->Send(from, ConfigurationOffer{CurrentGeneration(), true,
                                             m_cached_configuration.content});
    }
    return;
  }
  m_awaits_first_offer = false;
  if (offer.generation <= CurrentGeneration()) return;
  if (!offer.content.empty()) {
    m_log->Write(
        "configuration_from_peer",
        {{"peer", from.Value()},
         {"generation", static_cast<int64_t>(offer.generation.Value())},
         {"had", static_cast<int64_t>(CurrentGeneration().Value())}});
    FeedObject object;
    object.name = m_options.configuration_name;
    object.content = offer.content;
    return ForwardConfiguration(object, m_configuration_events);
  }
  // If the peer that has the newest one is gone, another one is asked.
  const bool is_known = offer.generation <= m_newest_peer_generation;
  const bool can_be_asked = offer.generation < m_newest_peer_generation ||
                            m_entries.contains(m_newest_peer);
  if (is_known && can_be_asked) return;
  m_newest_peer_generation = offer.generation;
  m_newest_peer = from;
  m_behind_since = m_clock->Now();
}

void PeerRelay::HandleRegistrations(const VmName& from,
                                    const Registrations& message) {
  if (message.request) {
    if (!m_upstreams->HasList()) return;
    Registrations list;
    list.revision = m_registrations_revision;
    for (const auto& [name, object] : m_objects) list.objects.push_back(object);
    m_peers->Send(from, std::move(list));
    return;
  }
  if (m_upstreams->HasList()) return;
  m_log->Write("upstreams_from_peer",
               {{"peer", from.Value()},
                {"count", static_cast<int64_t>(message.objects.size())},
                {"revision", static_cast<int64_t>(message.revision.number)}});
  std::vector<FeedObject> objects;
  for (const RelayedObject& object : message.objects) {
    objects.push_back({object.name, object.revision, false, object.content});
  }
  SetRegistrations(objects, message.revision);
  m_registration_events->OnList(objects, message.revision);
}

}  // namespace burdockhill

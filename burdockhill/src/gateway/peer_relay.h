#ifndef BURDOCKHILL_SRC_GATEWAY_PEER_RELAY_H_
#define BURDOCKHILL_SRC_GATEWAY_PEER_RELAY_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/src/gateway/object_feed.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/poison_request_detector.h"
#include "burdockhill/src/routing/route_table.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Exchanges state between entries, so that an entry that the store refuses
// still gets the configuration and the registered upstreams.
//
// Each entry regularly sends the generation of its configuration to the entries
// that it is connected to: its seeds and those that have it as a seed. An entry
// with an older generation requests the newer configuration. An entry that has
// no list of upstreams requests one. The store has priority: requests are sent
// only after a grace period. Reports of requests and prompt parts that crash
// upstreams are flooded: each entry forwards a report that is new to it to all
// others. Configurations that are sent or kept hold digests of API keys only.
class PeerRelay : public PeerEvents {
 public:
  struct Options {
    VmName self;
    std::vector<std::string> seeds;  // IP numbers of other entries.
    uint16_t port = 0;               // On which entries listen for peers.
    std::string configuration_name;  // Name of the object in the store.
  };

  PeerRelay(const Options& options, const ObjectCodec* codec,
            const RouteTable* routes, const UpstreamDirectory* upstreams,
            PoisonRequestDetector* poison_detector,
            PromptPartQuarantine* prompt_parts, PeerLink* peers,
            const Clock* clock, EventLog* log, FeedEvents* configuration_events,
            FeedEvents* registration_events);

  // Replaces the API keys of a configuration by their digests, passes it on to
  // `next`, and caches it to answer requests of peers if it has come into
  // force. A store may also return older ones.
  void ForwardConfiguration(const FeedObject& object, FeedEvents* next);
  // Caches objects that were read from the store, to answer requests of peers.
  // The list is complete as of `revision`; some objects may be newer.
  void SetRegistrations(const std::vector<FeedObject>& objects,
                        StoreRevision revision);
  void UpdateRegistration(const FeedObject& object);

  // Sends offers and requests that are due. Call once per iteration of the
  // event loop.
  void Tick();

  size_t ConnectedEntries() const { return m_entries.size(); }
  // Whether another entry has a newer configuration in force, or none has said
  // yet which one it has although this process started just now. A store that
  // was restored from a copy may return an older one than the other entries
  // have.
  bool MayBeBehind() const;

  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

 private:
  void RequestConfiguration(TimePoint now);
  void RequestRegistrations(TimePoint now);
  void HandleOffer(const VmName& from, const ConfigurationOffer& offer);
  void HandleRegistrations(const VmName& from, const Registrations& message);
  void HandleCrashNotice(const VmName& from, const CrashNotice& notice);
  void HandlePromptPartNotice(const VmName& from,
                              const PromptPartNotice& notice);
  void SendPromptPartReports();
  Generation CurrentGeneration() const;

  Options m_options;
  const ObjectCodec* m_codec;
  const RouteTable* m_routes;
  const UpstreamDirectory* m_upstreams;
  PoisonRequestDetector* m_poison_detector;
  PromptPartQuarantine* m_prompt_parts;
  PeerLink* m_peers;
  const Clock* m_clock;
  EventLog* m_log;
  FeedEvents* m_configuration_events;
  FeedEvents* m_registration_events;

  std::set<VmName> m_entries;  // Connected ones.
  FeedObject m_cached_configuration;
  // Cached registrations by name.
  std::map<std::string, RelayedObject> m_objects;
  StoreRevision m_registrations_revision;
  Generation m_newest_peer_generation;  // Highest one that a peer has in force.
  VmName m_newest_peer;                 // That peer.
  TimePoint m_behind_since{};
  TimePoint m_next_offer_at{};
  TimePoint m_next_configuration_request_at{};
  TimePoint m_next_registrations_request_at{};
  TimePoint m_started_at{};
  bool m_awaits_first_offer = false;  // There are seeds, and no offer so far.
};

// Forwards the configurations of a feed to `next`, and caches the one in force
// in the relay.
class CachingConfigurationEvents : public FeedEvents {
 public:
  CachingConfigurationEvents(FeedEvents* next, PeerRelay* relay)
      : m_next(next), m_relay(relay) {}
  void OnList(const std::vector<FeedObject>& objects,
              StoreRevision /*revision*/) override {
    for (const FeedObject& object : objects) OnChange(object);
  }
  void OnChange(const FeedObject& object) override {
    m_relay->ForwardConfiguration(object, m_next);
  }
  void OnStoreCallFailed() override { m_next->OnStoreCallFailed(); }

 private:
  FeedEvents* m_next;
  PeerRelay* m_relay;
};

// Forwards the registrations of a feed to `next`, and caches those that are
// valid in the relay: another writer's entry may be as large as the store
// allows, and would take the place of the others in a message.
class CachingRegistrationEvents : public FeedEvents {
 public:
  CachingRegistrationEvents(FeedEvents* next, PeerRelay* relay,
                            const ObjectCodec* codec)
      : m_next(next), m_relay(relay), m_codec(codec) {}
  void OnList(const std::vector<FeedObject>& objects,
              StoreRevision revision) override {
    std::vector<FeedObject> valid;
    for (const FeedObject& object : objects) {
      if (IsValid(object)) valid.push_back(object);
    }
    m_relay->SetRegistrations(valid, revision);
    m_next->OnList(objects, revision);
  }
  void OnChange(const FeedObject& object) override {
    FeedObject cached = object;
    cached.deleted = object.deleted || !IsValid(object);
    m_relay->UpdateRegistration(cached);
    m_next->OnChange(object);
  }
  void OnStoreCallFailed() override { m_next->OnStoreCallFailed(); }

 private:
  bool IsValid(const FeedObject& object) const {
    return m_codec->DecodeUpstream(object).has_value();
  }

  FeedEvents* m_next;
  PeerRelay* m_relay;
  const ObjectCodec* m_codec;
};

// Dispatches events of peers to the handlers for agents and those for entries.
class PeerEventDispatcher : public PeerEvents {
 public:
  PeerEventDispatcher(std::vector<PeerEvents*> agents,
                      std::vector<PeerEvents*> entries)
      : m_agent_events(std::move(agents)), m_entry_events(std::move(entries)) {}
  void OnPeerUp(const Hello& peer) override {
    if (peer.role == Role::kEntry) m_entry_vms.insert(peer.vm);
    for (PeerEvents* handler : HandlersFor(peer.vm)) handler->OnPeerUp(peer);
  }
  void OnPeerDown(const VmName& vm) override {
    for (PeerEvents* handler : HandlersFor(vm)) handler->OnPeerDown(vm);
    m_entry_vms.erase(vm);
  }
  void OnMessage(const VmName& from, const Message& message) override {
    for (PeerEvents* handler : HandlersFor(from)) {
      handler->OnMessage(from, message);
    }
  }

 private:
  const std::vector<PeerEvents*>& HandlersFor(const VmName& vm) const {
    return m_entry_vms.contains(vm) ? m_entry_events : m_agent_events;
  }

  std::vector<PeerEvents*> m_agent_events;
  std::vector<PeerEvents*> m_entry_events;
  std::set<VmName> m_entry_vms;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_PEER_RELAY_H_

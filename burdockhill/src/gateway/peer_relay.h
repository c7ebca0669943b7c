#ifndef BURDOCKHILL_SRC_GATEWAY_PEER_RELAY_H_
#define BURDOCKHILL_SRC_GATEWAY_PEER_RELAY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/gateway/object_feed.h"
#include "burdockhill/src/peer/peer_link.h"
#include "burdockhill/src/routing/poison_request_detector.h"
#include "burdockhill/src/routing/route_table.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// Lets entries learn the configuration and the registered upstreams from each
// other while the store turns some of them away. Each entry tells a few others,
// its seeds, which configuration it has in force; whoever is behind asks for
// the newer one. An entry that starts without the store asks for the upstreams.
// News of requests that crash their upstreams is passed on by everyone who
// hears it first.
class PeerRelay : public PeerEvents {
 public:
  struct Options {
    VmName self;
    std::vector<std::string> seeds;  // IP numbers of other entries.
    uint16_t port = 0;               // Where entries listen for each other.
    std::string configuration_name;  // Of the store's configuration object.
  };

  PeerRelay(const Options& options, const RouteTable* routes,
            const UpstreamDirectory* upstreams, PoisonRequestDetector* crashes,
            PeerLink* peers, const Clock* clock, EventLog* log,
            FeedEvents* configurations, FeedEvents* registrations);

  // What the store's feeds have brought, to be passed on when asked for.
  void KeepConfiguration(const FeedObject& object);
  void KeepRegistrations(const std::vector<FeedObject>& objects,
                         uint64_t revision);
  void KeepRegistration(const FeedObject& object);

  // Call once a turn of the loop.
  void Step();

  size_t ConnectedEntries() const { return m_connected.size(); }

  void OnPeerUp(const Hello& peer) override;
  void OnPeerDown(const VmName& vm) override;
  void OnMessage(const VmName& from, const Message& message) override;

 private:
  void TakeOffer(const VmName& from, const ConfigurationOffer& offer);
  void TakeRegistrations(const VmName& from, const Registrations& message);
  void TakeCrash(const VmName& from, const CrashNotice& notice);
  Generation InForce() const;

  Options m_options;
  const RouteTable* m_routes;
  const UpstreamDirectory* m_upstreams;
  PoisonRequestDetector* m_crashes;
  PeerLink* m_peers;
  const Clock* m_clock;
  EventLog* m_log;
  FeedEvents* m_configurations;
  FeedEvents* m_registrations;

  std::set<VmName> m_connected;
  FeedObject m_configuration;
  std::map<std::string, RelayedObject> m_objects;
  uint64_t m_revision = 0;
  Generation m_seen;  // Highest generation that a peer has in force.
  VmName m_seen_at;
  TimePoint m_behind_since{};
  TimePoint m_next_offer{};
  TimePoint m_next_request{};
  TimePoint m_started{};
};

// Passes on to a feed's events, and keeps what went by for the relay.
class RelayedConfigurations : public FeedEvents {
 public:
  RelayedConfigurations(FeedEvents* next, PeerRelay* relay)
      : m_next(next), m_relay(relay) {}
  void OnList(const std::vector<FeedObject>& objects,
              uint64_t revision) override {
    for (const FeedObject& object : objects) m_relay->KeepConfiguration(object);
    m_next->OnList(objects, revision);
  }
  void OnChange(const FeedObject& object) override {
    m_relay->KeepConfiguration(object);
    m_next->OnChange(object);
  }
  void OnOutage() override { m_next->OnOutage(); }

 private:
  FeedEvents* m_next;
  PeerRelay* m_relay;
};

class RelayedRegistrations : public FeedEvents {
 public:
  RelayedRegistrations(FeedEvents* next, PeerRelay* relay)
      : m_next(next), m_relay(relay) {}
  void OnList(const std::vector<FeedObject>& objects,
              uint64_t revision) override {
    m_relay->KeepRegistrations(objects, revision);
    m_next->OnList(objects, revision);
  }
  void OnChange(const FeedObject& object) override {
    m_relay->KeepRegistration(object);
    m_next->OnChange(object);
  }
  void OnOutage() override { m_next->OnOutage(); }

 private:
  FeedEvents* m_next;
  PeerRelay* m_relay;
};

// Hands peers' messages to the relay or to the reservations, by their role.
class EntryPeers : public PeerEvents {
 public:
  EntryPeers(PeerEvents* agents, PeerEvents* entries)
      : m_agents(agents), m_entries(entries) {}
  void OnPeerUp(const Hello& peer) override {
    if (peer.role == Role::kEntry) m_entry_names.insert(peer.vm);
    Of(peer.vm)->OnPeerUp(peer);
  }
  void OnPeerDown(const VmName& vm) override {
    Of(vm)->OnPeerDown(vm);
    m_entry_names.erase(vm);
  }
  void OnMessage(const VmName& from, const Message& message) override {
    Of(from)->OnMessage(from, message);
  }

 private:
  PeerEvents* Of(const VmName& vm) const {
    return m_entry_names.contains(vm) ? m_entries : m_agents;
  }

  PeerEvents* m_agents;
  PeerEvents* m_entries;
  std::set<VmName> m_entry_names;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_PEER_RELAY_H_

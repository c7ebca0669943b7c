#ifndef BURDOCKHILL_SRC_GATEWAY_SETTINGS_H_
#define BURDOCKHILL_SRC_GATEWAY_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/resources/field_error.h"
#include "burdockhill/src/routing/retry_budget.h"
#include "burdockhill/src/teams/limit_tolerance.h"

namespace burdockhill {

// Settings of one process in a deployment with a registry. Addresses are
// "IP number:port".
struct GatewaySettings {
  Role role = Role::kEntry;
  VmName vm;  // IP number of the VM, which identifies it to peers.
  ZoneName zone;
  RegionName region;
  std::string store;       // Address of the registry and configuration store.
  std::string peers;       // Address on which this process listens for peers.
  uint16_t peer_port = 0;  // On which all entries and agents listen for peers.
  std::string peer_key;    // Shared secret of all peers.
  // Bytes that the process may use; the platform ends it when it uses more.
  size_t memory = size_t{110} << 20;
  // Connections that may be open before callers' are closed for new ones; zero
  // for seven eighths of the limit of open files.
  size_t max_connections = 0;
  // Time from a stop signal to the end of the process.
  Duration stop_time = std::chrono::seconds(8);

  // Entry only.
  std::string callers;    // Address on which callers' requests are accepted.
  std::string readiness;  // Address for health checks of the load balancer.
  std::string metrics;    // Address for metrics; optional.
  RetryBudget::Limits retry_limits;
  // What teams may use above their limits.
  LimitTolerance limit_tolerance;
  std::vector<std::string> seeds;  // IP numbers of entries to connect to.
  // Time after the registration of an upstream as leaving in which it may still
  // get new requests.
  Duration drain_time = std::chrono::milliseconds(500);

  // Agent only.
  std::string engine;  // Address of the engine on this VM.

  // Whether the others connect to this entry. Few are.
  bool IsSeed() const;

  // What the process may keep of requests, responses and messages. The rest of
  // its memory is for its own state, for copies that are being made, and for
  // buffers of the operating system.
  size_t MaxBufferedBytes() const { return memory / kBufferDivisor; }

 private:
  static constexpr size_t kBufferDivisor = 4;
};

// Whether the text is in the form of GatewaySettings rather than Settings.
bool AreGatewaySettings(const std::string& text);

// Parses JSON with comments. On failure returns nullopt and appends to `errors`
// each fault with its line.
std::optional<GatewaySettings> ParseGatewaySettings(const std::string& text,
                                                    FieldErrors* errors);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_SETTINGS_H_

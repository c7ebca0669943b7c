#ifndef BURDOCKHILL_SRC_RESOURCES_SETTINGS_H_
#define BURDOCKHILL_SRC_RESOURCES_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/resources/field_error.h"

namespace burdockhill {

// One engine, or the plain service, of an agent's upstream.
struct BackEnd {
  EngineName name;
  std::string address;  // "IP number:port".
};

// Start-up settings of one process. Addresses are "IP number:port".
struct Settings {
  Role role = Role::kEntry;
  VmName vm;
  ZoneName zone;
  RegionName region;
  std::string platform;   // The platform's object store.
  std::string peers;      // Where it listens for peers.
  std::string operators;  // Where it serves the operators' API.
  std::string peer_key;   // Secret shared by all processes.

  // Entry only.
  std::string callers;  // Where it listens for callers.

  // Agent only.
  UpstreamName upstream;
  ServiceName service;
  bool serves_plain = false;  // Serves a plain service, not a model.
  std::vector<BackEnd> back_ends;

  // How long a shutdown waits for requests in flight.
  Duration drain_limit = std::chrono::seconds(120);
};

// Parses JSON that may have comments. Adds errors with their lines and returns
// nullopt if a field is missing, invalid or unknown.
std::optional<Settings> ParseSettings(const std::string& text,
                                      FieldErrors* errors);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_SETTINGS_H_

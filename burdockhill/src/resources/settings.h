#ifndef BURDOCKHILL_SRC_RESOURCES_SETTINGS_H_
#define BURDOCKHILL_SRC_RESOURCES_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/resources/field_error.h"

namespace burdockhill {

// One engine, or the plain service, that an agent stands in front of.
struct BackEnd {
  EngineName name;
  std::string address;  // "host:port".
};

// What one process is told when it starts. Addresses are "host:port".
struct Settings {
  Role role = Role::kEntry;
  VmName vm;
  ZoneName zone;
  RegionName region;
  std::string platform;   // The platform's object store.
  std::string peers;      // Where peers connect.
  std::string operators;  // Health, metrics and status.
  std::string peer_key;   // Shared by all processes.

  // Entry only.
  std::string callers;  // Where callers connect.

  // Agent only.
  UpstreamName upstream;
  ServiceName service;
  bool plain = false;
  std::vector<BackEnd> back_ends;

  // How long a stop waits for requests in flight.
  Duration drain_limit = std::chrono::seconds(120);
};

// Reads JSON with comments. Adds errors, with lines, and returns nullopt when
// anything is missing, wrong or unknown.
std::optional<Settings> ParseSettings(const std::string& text,
                                      FieldErrors* errors);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_SETTINGS_H_

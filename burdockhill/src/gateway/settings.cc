#include "burdockhill/src/gateway/settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/resources/field_reader.h"

namespace burdockhill {

namespace {

using internal::FieldReader;
using internal::Presence;

constexpr size_t kMinPeerKeyBytes = 16;
constexpr int64_t kMaxPort = 65535;
constexpr int64_t kPercent = 100;
constexpr int64_t kMinMemoryMb = 32;
constexpr int64_t kMaxMemoryMb = 1 << 20;
constexpr int kBitsPerMb = 20;
constexpr int64_t kMinLimitWindowMs = 100;
constexpr int64_t kMaxLimitWindowMs = 3'600'000;
constexpr double kMaxLimitSlack = 1e12;
constexpr int64_t kMinConnections = 32;
constexpr int64_t kMaxConnections = 1 << 24;

void ReadAddress(FieldReader* reader, const char* name, Presence presence,
                 std::string* target) {
  reader->Read(name, presence, target);
  if (!target->empty() && !ParseAddress(*target).has_value()) {
    reader->AddError(name, "must be \"IP number:port\"");
  }
}

// Reads a fraction from 0 to 1.
void ReadShare(FieldReader* reader, const char* name, double* share) {
  const nlohmann::json* field = reader->RawField(name, Presence::kOptional);
  if (field == nullptr) return;
  if (field->is_number() && *field >= 0 && *field <= 1) {
    *share = field->get<double>();
  } else {
    reader->AddError(name, "must be a number from 0 to 1");
  }
}

// Reads what teams may use above their limits.
void ReadTolerance(FieldReader* reader, LimitTolerance* tolerance) {
  auto window = static_cast<int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(tolerance->window)
          .count());
  reader->Read("limit_window_ms", Presence::kOptional, kMinLimitWindowMs,
               kMaxLimitWindowMs, &window);
  tolerance->window = std::chrono::milliseconds(window);
  ReadShare(reader, "limit_overage", &tolerance->overage);
  const nlohmann::json* slack =
      reader->RawField("limit_slack", Presence::kOptional);
  if (slack == nullptr) return;
  if (slack->is_number() && *slack >= 0 && *slack <= kMaxLimitSlack) {
    tolerance->slack = slack->get<double>();
  } else {
    reader->AddError("limit_slack", "must be a number from 0 to 1e12");
  }
}

// Reads addresses of entries and keeps only their IP numbers.
void ReadSeeds(FieldReader* reader, std::vector<std::string>* seeds) {
  std::vector<std::string> addresses;
  reader->Read("seeds", Presence::kOptional, &addresses);
  for (const std::string& text : addresses) {
    const std::optional<Address> address = ParseAddress(text);
    if (address.has_value()) {
      seeds->push_back(address->host);
    } else {
      reader->AddError("seeds", "must be a list of \"IP number:port\"");
    }
  }
}

}  // namespace

bool GatewaySettings::IsSeed() const {
  return std::find(seeds.begin(), seeds.end(), vm.Value()) != seeds.end();
}

bool AreGatewaySettings(const std::string& text) {
  const auto document = nlohmann::json::parse(text, nullptr, false, true);
  return document.is_object() && document.contains("store");
}

std::optional<GatewaySettings> ParseGatewaySettings(const std::string& text,
                                                    FieldErrors* errors) {
  nlohmann::json document;
  if (!internal::ParseJson(text, &document, errors)) return std::nullopt;
  GatewaySettings out;
  FieldReader reader(document, "", errors);
  size_t role = 0;
  reader.ReadChoice("role", Presence::kRequired, {"entry", "agent"}, &role);
  out.role = static_cast<Role>(role);
  reader.Read("vm", Presence::kRequired, &out.vm);
  reader.Read("zone", Presence::kRequired, &out.zone);
  reader.Read("region", Presence::kRequired, &out.region);
  ReadAddress(&reader, "store", Presence::kRequired, &out.store);
  ReadAddress(&reader, "peers", Presence::kRequired, &out.peers);
  int64_t port = 0;
  reader.Read("peer_port", Presence::kRequired, 1, kMaxPort, &port);
  out.peer_port = static_cast<uint16_t>(port);
  reader.Read("peer_key", Presence::kRequired, &out.peer_key);
  if (out.peer_key.size() < kMinPeerKeyBytes) {
    reader.AddError("peer_key", "must have at least 16 characters");
  }
  auto memory_mb = static_cast<int64_t>(out.memory >> kBitsPerMb);
  reader.Read("memory_mb", Presence::kOptional, kMinMemoryMb, kMaxMemoryMb,
              &memory_mb);
  out.memory = static_cast<size_t>(memory_mb) << kBitsPerMb;
  int64_t max_connections = 0;
  reader.Read("max_connections", Presence::kOptional, kMinConnections,
              kMaxConnections, &max_connections);
  out.max_connections = static_cast<size_t>(max_connections);
  reader.ReadMilliseconds("stop_time_ms", Presence::kOptional, &out.stop_time);
  ReadAddress(&reader, "metrics", Presence::kOptional, &out.metrics);
  if (out.role == Role::kEntry) {
    ReadAddress(&reader, "callers", Presence::kRequired, &out.callers);
    ReadAddress(&reader, "readiness", Presence::kRequired, &out.readiness);
    ReadSeeds(&reader, &out.seeds);
    int64_t percent = kPercent / 5;
    reader.Read("retry_percent", Presence::kOptional, 0, kPercent, &percent);
    out.retry_limits.ratio = static_cast<double>(percent) / kPercent;
    ReadShare(&reader, "retry_ratio", &out.retry_limits.ratio);
    reader.ReadMilliseconds("retry_window_ms", Presence::kOptional,
                            &out.retry_limits.window);
    ReadTolerance(&reader, &out.limit_tolerance);
    reader.ReadMilliseconds("drain_time_ms", Presence::kOptional,
                            &out.drain_time);
  } else {
    ReadAddress(&reader, "engine", Presence::kRequired, &out.engine);
  }
  reader.RejectUnknownFields();
  internal::AddLineNumbers(text, errors);
  if (!errors->empty()) return std::nullopt;
  return out;
}

}  // namespace burdockhill

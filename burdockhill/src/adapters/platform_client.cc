#include "burdockhill/src/adapters/platform_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "burdockhill/src/resources/json_text.h"
#include "burdockhill/src/resources/untrusted_json.h"

namespace burdockhill {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kCallTimeout{5};
// Longer than kWatchWaitMs, for which the platform may hold a watch.
constexpr std::chrono::seconds kWatchTimeout{40};
constexpr int kWatchWaitMs = 30'000;
// Of one response, which may list all objects of the store.
constexpr size_t kMaxResponseBytes = size_t{4} << 20;
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;

std::string ObjectPath(const ResourceKey& key) {
  return "/v1/objects/" + key.kind + "/" + key.name;
}

StoreStatus ToStoreStatus(CallEnd end, int http_status) {
  if (end != CallEnd::kComplete) return StoreStatus::kUnavailable;
  if (http_status == kHttpOk) return StoreStatus::kOk;
  if (http_status == kHttpNotFound) return StoreStatus::kNotFound;
  if (http_status == kHttpConflict) return StoreStatus::kConflict;
  if (http_status == kHttpGone) return StoreStatus::kHistoryGone;
  return StoreStatus::kUnavailable;
}

StoredObject ParseObject(const json& item) {
  StoredObject object;
  object.key = {item.at("kind").get<std::string>(),
                item.at("name").get<std::string>()};
  object.version = item.at("version").get<uint64_t>();
  object.value = item.value("value", "");
  object.deleted = item.value("deleted", false);
  return object;
}

ListedVm ParseVm(const json& item) {
  ListedVm vm;
  vm.name = VmName(item.at("name").get<std::string>());
  vm.role = item.at("role") == "agent" ? Role::kAgent : Role::kEntry;
  vm.peer_address = item.at("peers").get<std::string>();
  vm.operators_address = item.value("operators", "");
  vm.zone = ZoneName(item.at("zone").get<std::string>());
  vm.region = RegionName(item.at("region").get<std::string>());
  vm.leaving = item.value("leaving", false);
  return vm;
}

// Parses the body of a successful response with `read`. Returns kUnavailable
// for a malformed body, as if there had been no response.
template <typename T>
StoreStatus ParseResponse(StoreStatus status, const std::string& body, T* value,
                          const std::function<T(const json&)>& read) {
  if (status != StoreStatus::kOk) return status;
  const json document = ParseUntrustedJson(body);
  try {
    *value = read(document);
  } catch (const json::exception&) {
    return StoreStatus::kUnavailable;
  }
  return StoreStatus::kOk;
}

// Reads the elements of the array `name` of a response, each by itself. Returns
// nullopt if the response is not whole or has no such array.
template <typename T>
std::optional<std::vector<T>> ReadEntries(const std::string& body,
                                          const char* name,
                                          T (*read)(const json&),
                                          const PlatformClient::Warn& warn) {
  if (!IsWholeJsonObject(body)) return std::nullopt;
  const auto elements = JsonElements(JsonMember(body, name).value_or(""));
  if (!elements.has_value()) return std::nullopt;
  std::vector<T> entries;
  for (const std::string_view element : *elements) {
    try {
      entries.push_back(read(ParseUntrustedJson(element)));
    } catch (const json::exception& error) {
      warn("An entry of \"" + std::string(name) +
           "\" cannot be read and is left out: " + error.what());
    }
  }
  return entries;
}

uint64_t ParseVersion(const json& document) {
  return document.at("version").get<uint64_t>();
}

}  // namespace

void PlatformClient::Get(const ResourceKey& key, GetDone done) {
  SendRequest(
      "GET", ObjectPath(key), "",
      [done = std::move(done)](StoreStatus status, const std::string& body) {
        StoredObject object;
        status =
            ParseResponse<StoredObject>(status, body, &object, ParseObject);
        done(status, object);
      });
}

void PlatformClient::Put(const ResourceKey& key, const std::string& value,
                         uint64_t expected_version, PutDone done) {
  SendRequest(
      "PUT", ObjectPath(key) + "?expected=" + std::to_string(expected_version),
      value,
      [done = std::move(done)](StoreStatus status, const std::string& body) {
        uint64_t version = 0;
        status = ParseResponse<uint64_t>(status, body, &version, ParseVersion);
        done(status, version);
      });
}

void PlatformClient::Delete(const ResourceKey& key, uint64_t expected_version,
                            PutDone done) {
  SendRequest(
      "DELETE",
      ObjectPath(key) + "?expected=" + std::to_string(expected_version), "",
      [done = std::move(done)](StoreStatus status, const std::string& body) {
        uint64_t version = 0;
        status = ParseResponse<uint64_t>(status, body, &version, ParseVersion);
        done(status, version);
      });
}

void PlatformClient::Watch(const std::vector<std::string>& kinds,
                           uint64_t since, WatchDone done) {
  std::string joined;
  for (const std::string& kind : kinds) {
    joined += (joined.empty() ? "" : ",") + kind;
  }
  SendRequest(
      "GET",
      "/v1/watch?kinds=" + joined + "&since=" + std::to_string(since) +
          "&wait_ms=" + std::to_string(kWatchWaitMs),
      "",
      [done = std::move(done), warn = m_warn](StoreStatus status,
                                              const std::string& body) {
        uint64_t revision = 0;
        const json number =
            ParseUntrustedJson(JsonMember(body, "revision").value_or(""));
        if (number.is_number_unsigned()) revision = number.get<uint64_t>();
        std::optional<std::vector<StoredObject>> objects;
        if (status == StoreStatus::kOk) {
          objects = ReadEntries(body, "objects", &ParseObject, warn);
          const bool valid = objects.has_value() && number.is_number_unsigned();
          if (!valid) status = StoreStatus::kUnavailable;
        }
        done(status, objects.value_or(std::vector<StoredObject>()), revision);
      });
}

void PlatformClient::ListVms(ListDone done) {
  SendRequest("GET", "/v1/vms", "",
              [done = std::move(done), warn = m_warn](StoreStatus status,
                                                      const std::string& body) {
                std::optional<std::vector<ListedVm>> vms;
                if (status == StoreStatus::kOk) {
                  vms = ReadEntries(body, "vms", &ParseVm, warn);
                  if (!vms.has_value()) status = StoreStatus::kUnavailable;
                }
                done(status, vms.value_or(std::vector<ListedVm>()));
              });
}

void PlatformClient::SendRequest(
    const std::string& method, const std::string& path, const std::string& body,
    std::function<void(StoreStatus, const std::string& body)> done) {
  ++m_call_count;
  ClientRequest request;
  request.address = m_platform;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout =
      path.starts_with("/v1/watch") ? kWatchTimeout : kCallTimeout;
  request.max_kept_bytes = kMaxResponseBytes;
  FetchResponse(m_client, std::move(request),
                [done = std::move(done)](CallEnd end, int status,
                                         const std::string& answer) {
                  done(ToStoreStatus(end, status), answer);
                });
}

}  // namespace burdockhill

#include "standins/platform_model.h"

#include <algorithm>

namespace burdockhill::standins {

StoreStatus PlatformModel::Get(const ResourceKey& key,
                               StoredObject* object) const {
  const auto found = m_objects.find(key);
  if (found == m_objects.end() || found->second.deleted) {
    return StoreStatus::kNotFound;
  }
  *object = found->second;
  return StoreStatus::kOk;
}

StoreStatus PlatformModel::Put(const ResourceKey& key, const std::string& value,
                               uint64_t expected_version, uint64_t* version) {
  const auto found = m_objects.find(key);
  const bool exists = found != m_objects.end() && !found->second.deleted;
  const uint64_t current = exists ? found->second.version : 0;
  if (current != expected_version) return StoreStatus::kConflict;
  *version = ++m_revision;
  m_objects[key] = {key, *version, value, false};
  return StoreStatus::kOk;
}

StoreStatus PlatformModel::Delete(const ResourceKey& key,
                                  uint64_t expected_version,
                                  uint64_t* version) {
  const auto found = m_objects.find(key);
  if (found == m_objects.end() || found->second.deleted) {
    return StoreStatus::kNotFound;
  }
  if (expected_version != 0 && found->second.version != expected_version) {
    return StoreStatus::kConflict;
  }
  *version = ++m_revision;
  found->second = {key, *version, {}, true};
  return StoreStatus::kOk;
}

std::vector<StoredObject> PlatformModel::ChangesSince(
    const std::vector<std::string>& kinds, uint64_t since) const {
  std::vector<StoredObject> changes;
  for (const auto& [key, object] : m_objects) {
    const bool wanted =
        std::find(kinds.begin(), kinds.end(), key.kind) != kinds.end();
    if (!wanted || object.version <= since) continue;
    if (since == 0 && object.deleted) continue;
    changes.push_back(object);
  }
  return changes;
}

}  // namespace burdockhill::standins

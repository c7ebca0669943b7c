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
  object->version = InEra(object->version);
  return StoreStatus::kOk;
}

StoreStatus PlatformModel::Put(const ResourceKey& key, const std::string& value,
                               uint64_t expected_version, uint64_t* version) {
  const auto found = m_objects.find(key);
  const bool exists = found != m_objects.end() && !found->second.deleted;
  const uint64_t current = exists ? found->second.version : 0;
  if (InEra(current) != expected_version) return StoreStatus::kConflict;
  m_objects[key] = {key, ++m_revision, value, false};
  *version = InEra(m_revision);
  return StoreStatus::kOk;
}

StoreStatus PlatformModel::Delete(const ResourceKey& key,
                                  uint64_t expected_version,
                                  uint64_t* version) {
  const auto found = m_objects.find(key);
  if (found == m_objects.end() || found->second.deleted) {
    return StoreStatus::kNotFound;
  }
  if (expected_version != 0 &&
      InEra(found->second.version) != expected_version) {
    return StoreStatus::kConflict;
  }
  found->second = {key, ++m_revision, {}, true};
  *version = InEra(m_revision);
  return StoreStatus::kOk;
}

std::vector<StoredObject> PlatformModel::ChangesSince(
    const std::vector<std::string>& kinds, uint64_t since) const {
  std::vector<StoredObject> changes;
  for (const auto& [key, object] : m_objects) {
    const bool wanted =
        std::find(kinds.begin(), kinds.end(), key.kind) != kinds.end();
    if (!wanted || InEra(object.version) <= since) continue;
    if (since == 0 && object.deleted) continue;
    changes.push_back(object);
    changes.back().version = InEra(object.version);
  }
  return changes;
}

bool PlatformModel::HasHistorySince(uint64_t since) const {
  return since == 0 || since >> kEraShift == m_era;
}

void PlatformModel::Restore(const PlatformModel& copy) {
  const uint64_t era = m_era + 1;
  *this = copy;
  m_era = era;
}

}  // namespace burdockhill::standins

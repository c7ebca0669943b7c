#ifndef BURDOCKHILL_STANDINS_PLATFORM_MODEL_H_
#define BURDOCKHILL_STANDINS_PLATFORM_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "burdockhill/store.h"

namespace burdockhill::standins {

// The platform's object store in memory, without I/O: versions from one rising
// sequence, conditional updates, and the changes since a revision.
class PlatformModel {
 public:
  StoreStatus Get(const ResourceKey& key, StoredObject* object) const;
  StoreStatus Put(const ResourceKey& key, const std::string& value,
                  uint64_t expected_version, uint64_t* version);
  StoreStatus Delete(const ResourceKey& key, uint64_t expected_version,
                     uint64_t* version);

  // Objects of `kinds` changed after `since`; all that exist for `since` 0.
  std::vector<StoredObject> ChangesSince(const std::vector<std::string>& kinds,
                                         uint64_t since) const;

  uint64_t Revision() const { return m_revision; }

 private:
  std::map<ResourceKey, StoredObject> m_objects;  // Deleted ones included.
  uint64_t m_revision = 0;
};

}  // namespace burdockhill::standins

#endif  // BURDOCKHILL_STANDINS_PLATFORM_MODEL_H_

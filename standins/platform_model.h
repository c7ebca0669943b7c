#ifndef BURDOCKHILL_STANDINS_PLATFORM_MODEL_H_
#define BURDOCKHILL_STANDINS_PLATFORM_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "burdockhill/store.h"

namespace burdockhill::standins {

// In-memory model of the platform's object store, without I/O. Each write takes
// the next store-wide revision as the version of its object; updates are
// conditional on the current version (0 if the object does not exist).
//
// A store that is restored from a copy counts on from the copy, and begins an
// era, which forms the upper bits of all versions and revisions.
class PlatformModel {
 public:
  StoreStatus Get(const ResourceKey& key, StoredObject* object) const;
  StoreStatus Put(const ResourceKey& key, const std::string& value,
                  uint64_t expected_version, uint64_t* version);
  StoreStatus Delete(const ResourceKey& key, uint64_t expected_version,
                     uint64_t* version);

  // Objects of `kinds` written or deleted after revision `since`. With `since`
  // 0, all existing objects, without deleted ones.
  std::vector<StoredObject> ChangesSince(const std::vector<std::string>& kinds,
                                         uint64_t since) const;

  // Whether the changes since this revision are known.
  bool HasHistorySince(uint64_t since) const;

  uint64_t Revision() const { return InEra(m_revision); }

  // Goes back to an earlier copy of this model.
  void Restore(const PlatformModel& copy);

 private:
  static constexpr int kEraShift = 40;
  uint64_t InEra(uint64_t number) const {
    return number == 0 ? 0 : (m_era << kEraShift) + number;
  }

  uint64_t m_era = 0;
  // Versions without the era.
  std::map<ResourceKey, StoredObject> m_objects;  // With tombstones.
  uint64_t m_revision = 0;
};

}  // namespace burdockhill::standins

#endif  // BURDOCKHILL_STANDINS_PLATFORM_MODEL_H_

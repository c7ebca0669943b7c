#ifndef BURDOCKHILL_SRC_STORE_OBJECT_STORE_H_
#define BURDOCKHILL_SRC_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/peer/message.h"
#include "burdockhill/src/resources/resource.h"

namespace burdockhill {

// Largest value that the platform's store accepts.
inline constexpr size_t kMaxObjectBytes = size_t{1} << 20;

// An object of the store. The versions of all objects come from one increasing
// sequence, the revision of the store. A store that was restored from a copy
// gives out higher ones than before, also to the objects of the copy.
struct StoredObject {
  ResourceKey key;
  uint64_t version = 0;
  std::string value;
  bool deleted = false;
};

enum class StoreStatus {
  kOk,
  kConflict,  // The object does not have the expected version.
  kNotFound,
  kHistoryGone,  // The changes since that revision are not known.
  kUnavailable,  // No valid response. A write may have been applied.
};

// A VM as the platform's list shows it; the list may be out of date.
struct ListedVm {
  VmName name;
  Role role = Role::kEntry;
  std::string peer_address;
  std::string operators_address;
  ZoneName zone;
  RegionName region;
  bool leaving = false;
};

// Asynchronous access to the platform. Each callback is called exactly once,
// and only after the function that it was passed to has returned.
class ObjectStore {
 public:
  using GetDone = std::function<void(StoreStatus, const StoredObject&)>;
  using PutDone = std::function<void(StoreStatus, uint64_t version)>;
  using WatchDone =
      std::function<void(StoreStatus, const std::vector<StoredObject>& changes,
                         uint64_t revision)>;
  using ListDone =
      std::function<void(StoreStatus, const std::vector<ListedVm>&)>;

  virtual ~ObjectStore() = default;
  virtual void Get(const ResourceKey& key, GetDone done) = 0;
  // Writes the object if it has `expected_version`; 0 means that it must not
  // exist.
  virtual void Put(const ResourceKey& key, const std::string& value,
                   uint64_t expected_version, PutDone done) = 0;
  // Deletes the object if it has `expected_version`; 0 deletes any version.
  virtual void Delete(const ResourceKey& key, uint64_t expected_version,
                      PutDone done) = 0;
  // Waits up to half a minute for changes of objects of `kinds` after revision
  // `since`. With `since` 0, returns all objects without waiting. Fails with
  // kHistoryGone if the store was restored from a copy since.
  virtual void Watch(const std::vector<std::string>& kinds, uint64_t since,
                     WatchDone done) = 0;
  virtual void ListVms(ListDone done) = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_STORE_OBJECT_STORE_H_

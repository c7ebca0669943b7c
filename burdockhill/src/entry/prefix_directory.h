#ifndef BURDOCKHILL_SRC_ENTRY_PREFIX_DIRECTORY_H_
#define BURDOCKHILL_SRC_ENTRY_PREFIX_DIRECTORY_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

// Where prompts that start alike were last computed, and how many of their
// tokens the engine really found in its cache. Bounded; the least recently
// used entry is forgotten first.
class PrefixDirectory {
 public:
  // Tokens of `prompt` that `vm` is expected to have in its cache.
  Tokens ExpectedReuse(const ServiceName& service, const std::string& prompt,
                       const VmName& vm) const;

  // Notes that `vm` has computed `prompt`.
  void Record(const ServiceName& service, const std::string& prompt,
              const VmName& vm);

  // Corrects the directory by what the engine says it reused.
  void Correct(const ServiceName& service, const std::string& prompt,
               const VmName& vm, Tokens reused);

 private:
  struct Entry {
    uint64_t hash;
    VmName vm;
    int64_t tokens;
  };

  std::list<Entry> m_recent;  // Most recently used first.
  std::unordered_map<uint64_t, std::list<Entry>::iterator> m_by_hash;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_PREFIX_DIRECTORY_H_

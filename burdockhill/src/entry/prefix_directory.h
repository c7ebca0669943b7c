#ifndef BURDOCKHILL_SRC_ENTRY_PREFIX_DIRECTORY_H_
#define BURDOCKHILL_SRC_ENTRY_PREFIX_DIRECTORY_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"

namespace burdockhill {

// Maps prompt prefixes to the VM that last computed them, to predict prefix
// cache hits. Bounded; the least recently recorded prefix is evicted first.
class PrefixDirectory {
 public:
  // Prompt tokens that `vm` is expected to have in its prefix cache.
  Tokens ExpectedReuse(const ServiceName& service, const std::string& prompt,
                       const VmName& vm) const;

  // Records that `vm` has computed `prompt`.
  void Record(const ServiceName& service, const std::string& prompt,
              const VmName& vm);

  // Removes the prefixes of `prompt` that are longer than the `reused` tokens
  // that the engine reports as found in its cache.
  void RemoveUncached(const ServiceName& service, const std::string& prompt,
                      const VmName& vm, Tokens reused);

 private:
  struct Prefix {
    uint64_t hash;
    VmName vm;
    int64_t tokens;
  };

  std::list<Prefix> m_by_recency;  // Most recently recorded first.
  std::unordered_map<uint64_t, std::list<Prefix>::iterator> m_by_hash;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ENTRY_PREFIX_DIRECTORY_H_

#ifndef BURDOCKHILL_SRC_BASE_TABLE_H_
#define BURDOCKHILL_SRC_BASE_TABLE_H_

#include <cstddef>
#include <unordered_map>
#include <utility>

namespace burdockhill {

// Owns objects and finds them by id. Objects do not move in memory: a pointer
// from Find stays valid until that object is erased. Code that holds on to an
// object across calls stores its id, as the object may be erased in between.
template <typename Id, typename Object>
class Table {
 public:
  // Returns the object with `id`, or nullptr.
  Object* Find(const Id& id) {
    const auto found = m_objects.find(id);
    return found == m_objects.end() ? nullptr : &found->second;
  }
  const Object* Find(const Id& id) const {
    const auto found = m_objects.find(id);
    return found == m_objects.end() ? nullptr : &found->second;
  }

  // Returns the object with `id`; if there is none, constructs one from
  // `arguments`.
  template <typename... Arguments>
  Object& FindOrInsert(const Id& id, Arguments&&... arguments) {
    return m_objects.try_emplace(id, std::forward<Arguments>(arguments)...)
        .first->second;
  }

  // Takes `id` by value, as a reference could point into the erased object.
  void Erase(Id id) { m_objects.erase(id); }
  void Clear() { m_objects.clear(); }
  size_t Size() const { return m_objects.size(); }

  auto begin() { return m_objects.begin(); }
  auto end() { return m_objects.end(); }
  auto begin() const { return m_objects.begin(); }
  auto end() const { return m_objects.end(); }

 private:
  std::unordered_map<Id, Object> m_objects;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_TABLE_H_

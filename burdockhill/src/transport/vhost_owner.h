#ifndef BURDOCKHILL_SRC_TRANSPORT_VHOST_OWNER_H_
#define BURDOCKHILL_SRC_TRANSPORT_VHOST_OWNER_H_

#include <libwebsockets.h>

#include <unordered_set>

namespace burdockhill::internal {

// Base of objects that own a vhost and are its user pointer. libwebsockets may
// call back for connections of a destroyed vhost until the context is destroyed
// too; this class tells whether the owner still exists.
template <typename Owner>
class VhostOwner {
 public:
  VhostOwner(const VhostOwner&) = delete;
  VhostOwner& operator=(const VhostOwner&) = delete;

  // Returns the owner of the connection's vhost, or nullptr if it was
  // destroyed.
  static Owner* FindOwner(lws* wsi) {
    lws_vhost* vhost = lws_get_vhost(wsi);
    if (vhost == nullptr) return nullptr;
    auto* owner = static_cast<Owner*>(lws_vhost_user(vhost));
    return LiveOwners().contains(owner) ? owner : nullptr;
  }

 protected:
  VhostOwner() { LiveOwners().insert(this); }
  ~VhostOwner() { LiveOwners().erase(this); }

 private:
  static std::unordered_set<const VhostOwner*>& LiveOwners() {
    static thread_local std::unordered_set<const VhostOwner*> owners;
    return owners;
  }
};

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_TRANSPORT_VHOST_OWNER_H_

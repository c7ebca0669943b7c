#ifndef BURDOCKHILL_SRC_TRANSPORT_VHOST_OWNER_H_
#define BURDOCKHILL_SRC_TRANSPORT_VHOST_OWNER_H_

#include <libwebsockets.h>

#include <unordered_set>

namespace burdockhill::internal {

// Base of the objects that a vhost's user pointer leads to. libwebsockets goes
// on calling back for connections of a vhost after that was destroyed, until
// the context is; an owner that is gone by then is not called.
template <typename Owner>
class VhostOwner {
 public:
  VhostOwner(const VhostOwner&) = delete;
  VhostOwner& operator=(const VhostOwner&) = delete;

  // The living owner of the connection's vhost, or nullptr.
  static Owner* Of(lws* wsi) {
    lws_vhost* vhost = lws_get_vhost(wsi);
    if (vhost == nullptr) return nullptr;
    void* user = lws_vhost_user(vhost);
    return Living().contains(user) ? static_cast<Owner*>(user) : nullptr;
  }

 protected:
  VhostOwner() { Living().insert(static_cast<Owner*>(this)); }
  ~VhostOwner() { Living().erase(static_cast<Owner*>(this)); }

 private:
  static std::unordered_set<void*>& Living() {
    static thread_local std::unordered_set<void*> living;
    return living;
  }
};

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_TRANSPORT_VHOST_OWNER_H_

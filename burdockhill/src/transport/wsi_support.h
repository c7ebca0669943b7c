#ifndef BURDOCKHILL_SRC_TRANSPORT_WSI_SUPPORT_H_
#define BURDOCKHILL_SRC_TRANSPORT_WSI_SUPPORT_H_

#include <libwebsockets.h>

#include <cstdint>

namespace burdockhill::internal {

// libwebsockets stores one user pointer per connection. An id is stored in it
// instead of an address, as a connection may outlive the object that it belongs
// to.
template <typename Id>
void* ToOpaque(Id id) {
  return reinterpret_cast<void*>(  // NOLINT(performance-no-int-to-ptr)
      static_cast<uintptr_t>(id.Value()));
}

template <typename Id>
Id FromOpaque(lws* wsi) {
  return Id(reinterpret_cast<uintptr_t>(lws_get_opaque_user_data(wsi)));
}

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_TRANSPORT_WSI_SUPPORT_H_

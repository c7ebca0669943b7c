#ifndef BURDOCKHILL_SRC_TRANSPORT_OPAQUE_ID_H_
#define BURDOCKHILL_SRC_TRANSPORT_OPAQUE_ID_H_

#include <libwebsockets.h>

#include <cstdint>

namespace burdockhill::internal {

// libwebsockets keeps one pointer for each connection. It carries an id there,
// so that a connection that outlives its object is harmless.
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

#endif  // BURDOCKHILL_SRC_TRANSPORT_OPAQUE_ID_H_

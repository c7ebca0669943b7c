#ifndef BURDOCKHILL_SRC_TRANSPORT_WSI_SUPPORT_H_
#define BURDOCKHILL_SRC_TRANSPORT_WSI_SUPPORT_H_

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

// Whether data may be written outside of the library's writeable callback: the
// socket has room and nothing of an earlier write is left over.
inline bool CanWriteNow(lws* wsi) {
  return lws_partial_buffered(wsi) == 0 && lws_send_pipe_choked(wsi) == 0;
}

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_TRANSPORT_WSI_SUPPORT_H_

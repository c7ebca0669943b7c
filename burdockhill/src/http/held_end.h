#ifndef BURDOCKHILL_SRC_HTTP_HELD_END_H_
#define BURDOCKHILL_SRC_HTTP_HELD_END_H_

#include <cstddef>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/http/message_reader.h"

namespace burdockhill::http {

// The end of a response without a length, which is held back if the response
// has begun before the server had taken the whole request. A server that closes
// a connection without having read the request resets it: the end of the input
// comes first, and the reset, which shows that the response is not complete,
// only after it. A server that merely closes its sending side reads on.
//
// "Taken" is what the remote host has acknowledged. Its process may not have
// read it, and reset the connection later, so the end is held back for a short
// time more. That cannot be told from an orderly end if the host had
// acknowledged the whole request before the response.
class HeldEnd {
 public:
  enum class State {
    kHeld,
    kOver,      // The response is complete.
    kTimedOut,  // For too long, the server has taken nothing.
  };

  // Whether the end of the response that is read is that of the input.
  static bool Applies(const MessageReader& reader);

  // The head of a response was read. `untaken_bytes` of its request were sent,
  // or are still to be, and have not been acknowledged.
  void BeginResponse(size_t untaken_bytes) { m_is_early = untaken_bytes > 0; }
  // The input has ended. Returns whether the end is held back.
  bool Begin(size_t untaken_bytes, TimePoint now);
  bool HasBegun() const { return m_has_begun; }
  // Requires that the end is held back.
  State Check(size_t untaken_bytes, TimePoint now);

 private:
  bool m_is_early = false;
  bool m_has_begun = false;
  size_t m_untaken_bytes = 0;
  TimePoint m_changed_at{};  // When the server has last taken something.
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_HELD_END_H_

#include "burdockhill/src/gateway/stream_origin_recorder.h"

#include <algorithm>

#include "burdockhill/src/gateway/take_up.h"

namespace burdockhill {

bool HasRestarted(const EntryBoard& board, const RoutedRequest& routed,
                  const SoftwareVersion& version) {
  const RegisteredUpstream* upstream =
      board.upstreams.Find(routed.last_upstream);
  return upstream != nullptr &&
         (upstream->started_at_ms != routed.last_upstream_started_at_ms ||
          (upstream->version.IsValid() &&
           !AreSameVersion(upstream->version, version)));
}

void RecordFirstEvent(const EntryBoard& board, const RoutedRequest& routed,
                      const SoftwareVersion& version, StreamOrigins* origins) {
  if (routed.route.kind != RequestKind::kResumableStream) return;
  if (!version.IsValid() || HasRestarted(board, routed, version)) return;
  const Duration passed = board.clock->Now() - routed.arrived_at;
  const Duration keep =
      routed.request.caller_timeout.value_or(routed.route.timeout) - passed;
  origins->Record(StreamKeyOf(routed, routed.service), version,
                  std::max(keep, Duration(0)));
}

}  // namespace burdockhill

#ifndef BURDOCKHILL_SRC_GATEWAY_STREAM_ORIGIN_RECORDER_H_
#define BURDOCKHILL_SRC_GATEWAY_STREAM_ORIGIN_RECORDER_H_

#include "burdockhill/src/gateway/entry_board.h"
#include "burdockhill/src/gateway/stream_origins.h"

namespace burdockhill {

// Whether the upstream of the latest call is registered as another process by
// now. That one may have answered already, so the version is not certain.
bool HasRestarted(const EntryBoard& board, const RoutedRequest& routed,
                  const SoftwareVersion& version);

// An upstream of this version has sent the first event of the answer. Call
// before the caller gets it, so that the caller can take the stream up as soon
// as it has one.
void RecordFirstEvent(const EntryBoard& board, const RoutedRequest& routed,
                      const SoftwareVersion& version, StreamOrigins* origins);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_STREAM_ORIGIN_RECORDER_H_

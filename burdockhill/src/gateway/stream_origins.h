#ifndef BURDOCKHILL_SRC_GATEWAY_STREAM_ORIGINS_H_
#define BURDOCKHILL_SRC_GATEWAY_STREAM_ORIGINS_H_

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/routing/stream_origin_memory.h"

namespace burdockhill {

// One search for the origin of a stream.
using OriginSearchId = NumericId<struct OriginSearchIdTag>;

class OriginSearchEvents {
 public:
  virtual ~OriginSearchEvents() = default;
  // The first event was written by an upstream of this version.
  virtual void OnOriginFound(OriginSearchId id,
                             const SoftwareVersion& version) = 0;
  // No process that could be asked knows the stream. One that could not be
  // asked may know it after `retry_after`, which is zero if all were asked.
  virtual void OnOriginUnknown(OriginSearchId id, Duration retry_after) = 0;
};

// Which version of an upstream's software began a stream. The knowledge
// outlives the entries.
class StreamOrigins {
 public:
  virtual ~StreamOrigins() = default;
  // The upstream of this version, which is known, has written the first event.
  // A caller may take the stream up again until `keep` has passed. May be
  // repeated, which extends the time.
  virtual void Record(const StreamKey& stream, const SoftwareVersion& version,
                      Duration keep) = 0;
  // Starts a search. Exactly one event follows after this call has returned,
  // within some hundred milliseconds, unless the search is cancelled before.
  virtual OriginSearchId Find(const StreamKey& stream,
                              OriginSearchEvents* events) = 0;
  // Ignored if the search has ended.
  virtual void Cancel(OriginSearchId id) = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_STREAM_ORIGINS_H_

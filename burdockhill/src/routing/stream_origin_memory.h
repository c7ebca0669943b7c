#ifndef BURDOCKHILL_SRC_ROUTING_STREAM_ORIGIN_MEMORY_H_
#define BURDOCKHILL_SRC_ROUTING_STREAM_ORIGIN_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"

namespace burdockhill {

// The caller attempt that brought the first event of a stream, see
// HashRequestId. It names the stream when a caller takes it up again. Another
// route or team does not go on with the stream, whatever attempt it names.
struct StreamKey {
  ServiceName service;
  RequestId attempt;
  StreamOwner owner{};
  bool IsValid() const { return service.IsValid() && attempt.IsValid(); }
  auto operator<=>(const StreamKey&) const = default;
};

// Ranks processes for a stream. Does not depend on its owner, which processes
// of the former software do not know.
uint64_t HashStream(const StreamKey& stream);

// Streams that are kept at most, and for how long at most.
inline constexpr size_t kMaxStreamOrigins = 65536;
inline constexpr Duration kMaxOriginKeep = std::chrono::minutes(10);
// Longer names of services and versions are not kept.
inline constexpr size_t kMaxOriginNameBytes = 256;

// Which version of an upstream's software began each of the latest streams. A
// stream that is recorded with two versions is unknown until it ends, since
// nothing tells which of them is right.
//
// Processes of the former software neither record owners nor ask for them. What
// is recorded without one is found by every owner, and a question without one
// finds the streams of all owners.
class StreamOriginMemory {
 public:
  struct Origin {
    SoftwareVersion version;
    TimePoint until{};
  };

  enum class RecordResult {
    kInvalid,  // And thus ignored.
    kKnown,    // Nothing that other holders would have to be told.
    kChanged,  // New, to be kept for longer, or recorded with a second version.
  };

  explicit StreamOriginMemory(size_t max_streams = kMaxStreamOrigins)
      : m_max_streams(max_streams) {}

  // Keeps the version for this time; never shortens the time of an earlier
  // record. If there are too many streams, those that end first are dropped.
  RecordResult Record(const StreamKey& stream, const SoftwareVersion& version,
                      Duration keep, TimePoint now);
  // Nullopt if the stream is unknown, or was recorded with two versions.
  std::optional<Origin> Find(const StreamKey& stream, TimePoint now) const;
  // Whether the stream was recorded with two versions.
  bool IsAmbiguous(const StreamKey& stream, TimePoint now) const;
  // Whether exactly this stream was recorded, also with two versions.
  bool Contains(const StreamKey& stream) const;
  // Until when the stream is kept, also if it was recorded with two versions.
  std::optional<TimePoint> Until(const StreamKey& stream) const;
  // Drops the streams whose time has passed.
  void Expire(TimePoint now);

  size_t Size() const { return m_origins.size(); }
  // Streams that were dropped before their time had passed.
  uint64_t EvictedCount() const { return m_evicted_count; }

 private:
  // The service as a hash, so that many streams do not each hold its name.
  struct Id {
    uint64_t hash = 0;
    RequestId attempt;
    StreamOwner owner{};
    auto operator<=>(const Id&) const = default;
  };
  static Id IdOf(const StreamKey& stream);
  // What was recorded of the stream, as far as it is kept at this time.
  std::vector<Origin> Candidates(const StreamKey& stream, TimePoint now) const;

  size_t m_max_streams;
  // An invalid version means that the stream was recorded with two.
  std::map<Id, Origin> m_origins;
  std::set<std::pair<TimePoint, Id>> m_by_end;
  uint64_t m_evicted_count = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ROUTING_STREAM_ORIGIN_MEMORY_H_

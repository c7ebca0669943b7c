#ifndef BURDOCKHILL_EMULATION_STREAM_ORIGINS_FAKE_H_
#define BURDOCKHILL_EMULATION_STREAM_ORIGINS_FAKE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "burdockhill/gateway.h"

namespace burdockhill::emulation {

// Keeps the origins of streams in memory without an end, and answers searches
// in Deliver. What is known without an owner is known to all owners.
class StreamOriginsFake : public StreamOrigins {
 public:
  struct Recorded {
    StreamKey stream;
    SoftwareVersion version;
    Duration keep{0};
  };

  void Record(const StreamKey& stream, const SoftwareVersion& version,
              Duration keep) override {
    records.push_back({stream, version, keep});
    known[stream] = version;
    if (on_record) on_record();
  }
  OriginSearchId Find(const StreamKey& stream,
                      OriginSearchEvents* events) override {
    const OriginSearchId id(++m_last_id);
    searches[id] = {stream, events};
    return id;
  }
  void Cancel(OriginSearchId id) override { searches.erase(id); }

  void Deliver() {
    while (!is_silent && !searches.empty()) {
      const auto [id, search] = *searches.begin();
      searches.erase(id);
      StreamKey without_owner = search.first;
      without_owner.owner = StreamOwner();
      auto found = known.find(search.first);
      if (found == known.end()) found = known.find(without_owner);
      if (found == known.end()) {
        search.second->OnOriginUnknown(id, retry_after);
      } else {
        search.second->OnOriginFound(id, found->second);
      }
    }
  }

  std::vector<Recorded> records;
  std::function<void()> on_record;
  std::map<StreamKey, SoftwareVersion> known;
  Duration retry_after{0};  // Stated for unknown streams.
  bool is_silent = false;   // Searches are not answered.
  std::map<OriginSearchId, std::pair<StreamKey, OriginSearchEvents*>> searches;

 private:
  uint64_t m_last_id = 0;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_STREAM_ORIGINS_FAKE_H_

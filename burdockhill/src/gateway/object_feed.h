#ifndef BURDOCKHILL_SRC_GATEWAY_OBJECT_FEED_H_
#define BURDOCKHILL_SRC_GATEWAY_OBJECT_FEED_H_

#include <string>
#include <vector>

#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/base/random.h"
#include "burdockhill/src/gateway/codecs.h"
#include "burdockhill/src/http/connection_pool.h"

namespace burdockhill {

class FeedEvents {
 public:
  virtual ~FeedEvents() = default;
  // All objects of the kind as of `revision`.
  virtual void OnList(const std::vector<FeedObject>& objects,
                      uint64_t revision) = 0;
  virtual void OnChange(const FeedObject& object) = 0;
  // A call failed or was refused.
  virtual void OnOutage() = 0;
};

// Follows one kind of object in the store: a list, then one waiting watch at a
// time, and a new list when the store has forgotten the history in between.
// Where age is harmless, it only lists now and then, from the store's cache.
class ObjectFeed : private http::CallEvents {
 public:
  struct Options {
    std::string name;     // For the log.
    std::string address;  // "host:port" of the store.
    // How long the store holds a watch. Also bounds how long a connection that
    // has gone silent stays unnoticed.
    Duration watch_wait = std::chrono::milliseconds(4500);
    // From a watch that brought changes to the next one, so that changes which
    // come together cost one call.
    Duration pause = std::chrono::milliseconds(200);
    // If set, lists this often, from the cache, and never watches. Long lists
    // are read more seldom.
    Duration list_interval{0};
  };

  ObjectFeed(const Options& options, const FeedCodec* codec,
             http::ConnectionPool* pool, const Clock* clock, Random* random,
             EventLog* log, FeedEvents* events);

  // Starts what is due. Call once a turn of the loop.
  void Step();

 private:
  enum class State { kIdle, kListing, kWatching };

  bool OnResponseHead(http::CallId id, const http::Head& head) override;
  void OnResponseBody(http::CallId id, std::string_view bytes) override;
  void OnResponseEnd(http::CallId id) override;
  void OnCallFailed(http::CallId id, http::CallFailure failure) override;

  void Start();
  void StartAfter(Duration delay);
  bool OnlyLists() const { return m_options.list_interval > Duration(0); }
  void TakeListPage(FeedPage page);
  void TakeWatchPage(const FeedPage& page);
  // Tries again later, from a list if the history is gone.
  void Fail(const char* reason, int status);

  Options m_options;
  const FeedCodec* m_codec;
  http::ConnectionPool* m_pool;
  const Clock* m_clock;
  Random* m_random;
  EventLog* m_log;
  FeedEvents* m_events;

  State m_state = State::kIdle;
  http::CallId m_call;
  TimePoint m_answer_by{};
  TimePoint m_next_start{};
  int m_failures = 0;
  uint64_t m_revision = 0;  // Zero: a list is needed.
  bool m_has_listed = false;
  std::string m_list_after;
  std::vector<FeedObject> m_listed;
  int m_status = 0;
  std::string m_body;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_OBJECT_FEED_H_

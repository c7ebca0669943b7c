#ifndef BURDOCKHILL_SRC_GATEWAY_OBJECT_FEED_H_
#define BURDOCKHILL_SRC_GATEWAY_OBJECT_FEED_H_

#include <string>
#include <vector>

#include "burdockhill/src/base/event_log.h"
#include "burdockhill/src/base/random.h"
#include "burdockhill/src/gateway/codecs.h"
#include "burdockhill/src/http/connection_pool.h"

namespace burdockhill {

// Receives the objects of one kind.
class FeedEvents {
 public:
  virtual ~FeedEvents() = default;
  // The complete list of objects as of `revision`. Some may be newer.
  virtual void OnList(const std::vector<FeedObject>& objects,
                      StoreRevision revision) = 0;
  // One object was written or deleted.
  virtual void OnChange(const FeedObject& object) = 0;
  // A call to the store failed or was refused. The feed retries by itself.
  virtual void OnStoreCallFailed() = 0;
};

// Follows one kind of object in the store by list and watch: it lists all
// objects once, then long-polls for changes, and lists again if the store no
// longer has the history since the last revision. Users that tolerate stale
// data set `list_interval` and poll the store's cached list instead.
//
// The pages of a list are read one after the other and each is as of its own
// revision. The list as a whole is as of the earliest one, from which the watch
// begins, so that a change between two pages is not missed.
//
// A store that was restored from a copy has lost what was written since, and
// gives out the same revisions again. The feed recognizes this by the era that
// each response names, and lists again. Responses of an earlier era are
// ignored.
//
// Failed calls are repeated with jittered exponential backoff.
class ObjectFeed : private http::CallEvents {
 public:
  struct Options {
    std::string name;     // For the log.
    std::string address;  // "host:port" of the store.
    // How long the store holds a watch call without changes. Also bounds the
    // time until a dead connection is noticed.
    Duration watch_timeout = std::chrono::milliseconds(4500);
    // Delay of the next watch after one that returned changes, so that a burst
    // of changes takes few calls.
    Duration watch_delay = std::chrono::milliseconds(200);
    // If not zero, lists at this interval and never watches. Only the first
    // list bypasses the store's cache. The interval grows with the length of
    // the list.
    Duration list_interval{0};
  };

  ObjectFeed(const Options& options, const FeedCodec* codec,
             http::ConnectionPool* pool, const Clock* clock, Random* random,
             EventLog* log, FeedEvents* events);

  // Times out the current call and starts the next one when it is due. Call
  // once per iteration of the event loop.
  void Tick();

  // Whether a change may have been missed: the history from the last revision
  // on is not being watched, since nothing was listed yet, the latest call has
  // failed or has no answer in time, or the process stood still. A watch
  // without any answer is noticed only at its timeout. Always true for a feed
  // that only lists.
  bool MayBeStale() const;

 private:
  enum class State { kIdle, kListing, kWatching };

  bool OnResponseHead(http::CallId id, const http::Head& head) override;
  size_t OnResponseBody(http::CallId id, std::string_view bytes) override;
  void OnResponseEnd(http::CallId id) override;
  void OnCallFailed(http::CallId id, http::CallFailure failure) override;

  void StartCall();
  void ScheduleCall(Duration delay);
  // Forgets what was listed and the revision to watch from.
  void ForgetRevision();
  // Takes note of the era that a response names. Returns false if the response
  // cannot be used, and another call was started or scheduled.
  bool CheckEra();
  bool IsListOnly() const { return m_options.list_interval > Duration(0); }
  void SetEra(FeedPage* page) const;
  // Whether the page can be the answer to the current call. Answers of the
  // store name no call, so a late copy of an earlier one may come instead.
  bool AnswersCall(const FeedPage& page) const;
  void HandleListPage(FeedPage page);
  void HandleWatchPage(const FeedPage& page);
  // Handles a failed call: logs the first one, reports it, and schedules the
  // next call after a backoff delay.
  void BackOff(std::string_view reason, int status);

  Options m_options;
  const FeedCodec* m_codec;
  http::ConnectionPool* m_pool;
  const Clock* m_clock;
  Random* m_random;
  EventLog* m_log;
  FeedEvents* m_events;

  State m_state = State::kIdle;
  http::CallId m_call;
  TimePoint m_call_deadline{};
  TimePoint m_next_call_at{};
  TimePoint m_ticked_at{};
  int m_consecutive_failures = 0;
  uint64_t m_revision = 0;  // Last one seen; zero if a list is needed.
  bool m_has_listed = false;
  uint64_t m_era = 0;           // Of the store; zero if unknown.
  uint64_t m_response_era = 0;  // Named by the current response.
  TimePoint m_cache_usable_at{};
  std::string m_list_cursor;  // Name of the last object listed so far.
  std::vector<FeedObject> m_listed_objects;
  size_t m_listed_bytes = 0;       // Of the pages so far.
  uint64_t m_listed_revision = 0;  // The earliest of the pages so far.
  int m_status = 0;
  std::string m_body;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_OBJECT_FEED_H_

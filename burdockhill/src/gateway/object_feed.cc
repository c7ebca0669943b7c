#include "burdockhill/src/gateway/object_feed.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// HTTP status of the store for a watch from a revision it no longer has.
constexpr int kHistoryGone = 410;
// Time for the store to answer under load, in addition to the time for which
// it holds a watch.
constexpr Duration kAnswerTime = std::chrono::milliseconds(1000);
constexpr Duration kFirstRetry = std::chrono::milliseconds(150);
constexpr Duration kLongestRetry = std::chrono::milliseconds(1200);
constexpr int kMaxDoublings = 3;
// An object is about 250 bytes, so a process that only lists reads at most
// 25 kB/s, independent of the number of objects.
constexpr Duration kListTimePerObject = std::chrono::milliseconds(10);

}  // namespace

ObjectFeed::ObjectFeed(const Options& options, const FeedCodec* codec,
                       http::ConnectionPool* pool, const Clock* clock,
                       Random* random, EventLog* log, FeedEvents* events)
    : m_options(options),
      m_codec(codec),
      m_pool(pool),
      m_clock(clock),
      m_random(random),
      m_log(log),
      m_events(events) {}

void ObjectFeed::Step() {
  const TimePoint now = m_clock->Now();
  if (m_call.IsValid() && now > m_answer_by) {
    m_pool->Cancel(m_call);
    Fail("timeout", 0);
  }
  if (!m_call.IsValid() && now >= m_next_start) Start();
}

void ObjectFeed::StartAfter(Duration delay) {
  m_next_start = m_clock->Now() + delay;
}

void ObjectFeed::Start() {
  const bool list = m_revision == 0;
  m_state = list ? State::kListing : State::kWatching;
  m_status = 0;
  m_body.clear();
  std::string request =
      list ? m_codec->EncodeList(m_list_after, OnlyLists() && m_has_listed)
           : m_codec->EncodeWatch(m_revision, m_options.watch_wait);
  m_call = m_pool->Start(m_options.address, std::move(request), this, {});
  const Duration wait = list ? Duration(0) : m_options.watch_wait;
  m_answer_by = m_clock->Now() + wait + kAnswerTime;
  if (!m_call.IsValid()) Fail("no socket", 0);
}

bool ObjectFeed::OnResponseHead(http::CallId /*id*/, const http::Head& head) {
  m_status = head.status;
  return true;
}

void ObjectFeed::OnResponseBody(http::CallId /*id*/, std::string_view bytes) {
  m_body.append(bytes);
}

void ObjectFeed::OnCallFailed(http::CallId /*id*/,
                              http::CallFailure /*failure*/) {
  Fail("connection failed", 0);
}

void ObjectFeed::OnResponseEnd(http::CallId /*id*/) {
  m_call = http::CallId();
  if (m_status == kHistoryGone) {
    m_log->Write("store_history_gone",
                 {{"kind", m_options.name},
                  {"revision", static_cast<int64_t>(m_revision)}});
    m_revision = 0;
    m_list_after.clear();
    m_listed.clear();
    return Start();
  }
  if (m_status != http::kOk) return Fail("refused", m_status);
  std::optional<FeedPage> page = m_codec->DecodePage(m_body);
  m_body.clear();
  if (!page.has_value()) return Fail("answer cannot be decoded", m_status);
  if (m_failures > 0) {
    m_log->Write("store_regained", {{"kind", m_options.name},
                                    {"failed_calls", int64_t{m_failures}}});
    m_failures = 0;
  }
  if (m_state == State::kListing) {
    TakeListPage(std::move(*page));
  } else {
    TakeWatchPage(*page);
  }
}

void ObjectFeed::TakeListPage(FeedPage page) {
  for (FeedObject& object : page.objects) {
    m_list_after = std::max(m_list_after, object.name);
    m_listed.push_back(std::move(object));
  }
  if (page.has_more && !page.objects.empty()) return Start();
  m_list_after.clear();
  m_has_listed = true;
  const auto count = static_cast<int64_t>(m_listed.size());
  m_events->OnList(std::exchange(m_listed, {}), page.revision);
  if (OnlyLists()) {
    return StartAfter(m_random->Jitter(
        std::max(m_options.list_interval, count * kListTimePerObject)));
  }
  m_revision = page.revision;
  Start();
}

void ObjectFeed::TakeWatchPage(const FeedPage& page) {
  m_revision = std::max(m_revision, page.revision);
  for (const FeedObject& object : page.objects) m_events->OnChange(object);
  if (page.objects.empty()) return Start();
  StartAfter(m_options.pause);
}

void ObjectFeed::Fail(const char* reason, int status) {
  m_call = http::CallId();
  m_list_after.clear();
  m_listed.clear();
  if (m_failures == 0) {
    m_log->Write("store_lost", {{"kind", m_options.name},
                                {"reason", std::string(reason)},
                                {"status", int64_t{status}}});
  }
  const Duration delay = std::min(
      kLongestRetry, kFirstRetry * (1 << std::min(m_failures, kMaxDoublings)));
  ++m_failures;
  m_next_start = m_clock->Now() + m_random->Jitter(delay);
  m_events->OnOutage();
}

}  // namespace burdockhill

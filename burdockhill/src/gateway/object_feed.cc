#include "burdockhill/src/gateway/object_feed.h"

#include <algorithm>
#include <utility>

namespace burdockhill {

namespace {

// HTTP status of the store for a watch from a revision it no longer has.
constexpr int kHistoryGoneStatus = 410;
// Time for the store to answer under load, in addition to the time for which
// it holds a watch.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(1000);
// The store's pages are about 1 MB.
constexpr size_t kMaxPageBytes = size_t{4} << 20;
// Of all pages of a list.
constexpr size_t kMaxListBytes = size_t{8} << 20;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(1200);
constexpr int kMaxBackoffDoublings = 3;
// Wait of the first watch after a failure. It shows whether the store was
// restored meanwhile, which a watch without changes would show only at its end.
constexpr Duration kCheckWait = std::chrono::milliseconds(1);
// The cache of the store may be some seconds old, and thus from before the
// store was restored.
constexpr Duration kMaxCacheAge = std::chrono::seconds(10);
// An object is about 250 bytes, so a process that only lists reads at most
// 25 kB/s, independent of the number of objects.
constexpr Duration kListIntervalPerObject = std::chrono::milliseconds(10);
// A process whose event loop stood still for longer may have an answer of the
// store that it has not read yet. The loop turns every 20 ms.
constexpr Duration kStandstill = std::chrono::milliseconds(500);

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

bool ObjectFeed::MayBeStale() const {
  const TimePoint now = m_clock->Now();
  return m_revision == 0 || m_consecutive_failures > 0 ||
         (m_call.IsValid() && now > m_call_deadline) ||
         now - m_ticked_at > kStandstill;
}

void ObjectFeed::Tick() {
  const TimePoint now = m_clock->Now();
  m_ticked_at = now;
  if (m_call.IsValid() && now > m_call_deadline) {
    m_pool->Cancel(m_call);
    BackOff("timeout", 0);
  }
  if (!m_call.IsValid() && now >= m_next_call_at) StartCall();
}

void ObjectFeed::ScheduleCall(Duration delay) {
  m_next_call_at = m_clock->Now() + delay;
}

void ObjectFeed::StartCall() {
  const bool list = m_revision == 0;
  m_state = list ? State::kListing : State::kWatching;
  m_status = 0;
  m_response_era = 0;
  std::string().swap(m_body);
  const Duration wait = list                         ? Duration(0)
                        : m_consecutive_failures > 0 ? kCheckWait
                                                     : m_options.watch_timeout;
  const bool use_cache =
      IsListOnly() && m_has_listed && m_clock->Now() >= m_cache_usable_at;
  std::string request = list ? m_codec->EncodeList(m_list_cursor, use_cache)
                             : m_codec->EncodeWatch(m_revision, wait);
  http::CallPolicy policy;
  policy.lane = m_options.name;
  // A late copy of an earlier answer could be taken for the start of a list.
  const bool begins_list = list && m_list_cursor.empty();
  policy.allows_reuse = !begins_list && m_consecutive_failures == 0;
  policy.max_kept_bytes = kMaxPageBytes;
  m_call = m_pool->Start(m_options.address, std::move(request), this, policy);
  m_call_deadline = m_clock->Now() + wait + kResponseTimeout;
  if (!m_call.IsValid()) BackOff("no socket", 0);
}

bool ObjectFeed::OnResponseHead(http::CallId /*id*/, const http::Head& head) {
  m_status = head.status;
  m_response_era = m_codec->DecodeEra(head);
  return true;
}

size_t ObjectFeed::OnResponseBody(http::CallId /*id*/, std::string_view bytes) {
  m_body.append(bytes);
  return m_body.size();
}

void ObjectFeed::OnCallFailed(http::CallId /*id*/, http::CallFailure failure) {
  BackOff(DescribeFailure(failure), m_status);
}

void ObjectFeed::ForgetRevision() {
  m_revision = 0;
  m_list_cursor.clear();
  m_listed_objects.clear();
}

bool ObjectFeed::CheckEra() {
  if (m_response_era == 0 || m_response_era == m_era) return true;
  if (m_response_era < m_era) {
    BackOff("answer of an earlier era", m_status);
    return false;
  }
  const uint64_t former = std::exchange(m_era, m_response_era);
  const bool knows_nothing =
      m_revision == 0 && m_list_cursor.empty() && !m_has_listed;
  if (knows_nothing) return true;
  m_log->Write("store_restored",
               {{"kind", m_options.name},
                {"era", static_cast<int64_t>(m_era)},
                {"former_era", static_cast<int64_t>(former)},
                {"revision", static_cast<int64_t>(m_revision)}});
  m_cache_usable_at = m_clock->Now() + kMaxCacheAge;
  ForgetRevision();
  if (m_status != http::kOk) return true;
  StartCall();
  return false;
}

void ObjectFeed::OnResponseEnd(http::CallId /*id*/) {
  m_call = http::CallId();
  if (!CheckEra()) return;
  if (m_status == kHistoryGoneStatus) {
    m_log->Write("store_history_gone",
                 {{"kind", m_options.name},
                  {"revision", static_cast<int64_t>(m_revision)}});
    ForgetRevision();
    return StartCall();
  }
  if (m_status != http::kOk) return BackOff("refused", m_status);
  const size_t page_bytes = m_body.size();
  std::optional<FeedPage> page = m_codec->DecodePage(std::exchange(m_body, {}));
  if (page.has_value()) SetEra(&*page);
  if (!page.has_value()) return BackOff("answer cannot be decoded", m_status);
  if (!AnswersCall(*page)) {
    BackOff("answer to another call", m_status);
    return ForgetRevision();
  }
  if (m_consecutive_failures > 0) {
    m_log->Write("store_regained",
                 {{"kind", m_options.name},
                  {"failed_calls", int64_t{m_consecutive_failures}}});
    m_consecutive_failures = 0;
  }
  if (page->unnamed_objects > 0) {
    m_log->Write("objects_skipped",
                 {{"kind", m_options.name},
                  {"count", static_cast<int64_t>(page->unnamed_objects)}});
  }
  if (m_state == State::kListing) {
    m_listed_bytes = m_list_cursor.empty() ? 0 : m_listed_bytes;
    m_listed_bytes += page_bytes;
    if (m_listed_bytes > kMaxListBytes) {
      return BackOff("list is too long", m_status);
    }
    HandleListPage(std::move(*page));
  } else {
    HandleWatchPage(*page);
  }
}

void ObjectFeed::SetEra(FeedPage* page) const {
  page->revision.era = m_era;
  for (FeedObject& object : page->objects) object.revision.era = m_era;
}

bool ObjectFeed::AnswersCall(const FeedPage& page) const {
  if (m_state == State::kWatching) {
    return !page.is_list && page.revision.number >= m_revision;
  }
  return page.is_list && std::all_of(page.objects.begin(), page.objects.end(),
                                     [&](const FeedObject& object) {
                                       return object.name > m_list_cursor;
                                     });
}

void ObjectFeed::HandleListPage(FeedPage page) {
  const bool is_first = m_list_cursor.empty();
  m_listed_revision = is_first
                          ? page.revision.number
                          : std::min(m_listed_revision, page.revision.number);
  for (FeedObject& object : page.objects) {
    m_list_cursor = std::max(m_list_cursor, object.name);
    m_listed_objects.push_back(std::move(object));
  }
  if (page.has_more) {
    if (page.objects.empty()) return BackOff("page without names", m_status);
    return StartCall();
  }
  m_list_cursor.clear();
  m_has_listed = true;
  const auto count = static_cast<int64_t>(m_listed_objects.size());
  m_events->OnList(std::exchange(m_listed_objects, {}),
                   StoreRevision{m_era, m_listed_revision});
  if (IsListOnly()) {
    return ScheduleCall(m_random->Jitter(
        std::max(m_options.list_interval, count * kListIntervalPerObject)));
  }
  m_revision = m_listed_revision;
  StartCall();
}

void ObjectFeed::HandleWatchPage(const FeedPage& page) {
  m_revision = std::max(m_revision, page.revision.number);
  for (const FeedObject& object : page.objects) m_events->OnChange(object);
  if (page.objects.empty()) return StartCall();
  ScheduleCall(m_options.watch_delay);
}

void ObjectFeed::BackOff(std::string_view reason, int status) {
  m_call = http::CallId();
  std::string().swap(m_body);
  m_list_cursor.clear();
  m_listed_objects.clear();
  if (m_consecutive_failures == 0) {
    m_log->Write("store_lost", {{"kind", m_options.name},
                                {"reason", std::string(reason)},
                                {"status", int64_t{status}}});
  }
  const Duration delay = std::min(
      kMaxBackoff, kInitialBackoff * (1 << std::min(m_consecutive_failures,
                                                    kMaxBackoffDoublings)));
  ++m_consecutive_failures;
  m_next_call_at = m_clock->Now() + m_random->Jitter(delay);
  m_events->OnStoreCallFailed();
}

}  // namespace burdockhill

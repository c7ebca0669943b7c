// Module http: splitting of event streams.

#include <CppUTest/TestHarness.h>

#include <string>

#include "burdockhill/http.h"

using namespace burdockhill::http;  // NOLINT(google-build-using-namespace)

TEST_GROUP(SseEventSplitter){};

TEST(SseEventSplitter, SplitsAtEventBoundariesForAnyReadSizes) {
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
  for (size_t step = 1; step <= text.size(); ++step) {
    SseEventSplitter events;
    std::string complete_events;
    for (size_t at = 0; at < text.size(); at += step) {
      const std::string piece = text.substr(at, step);
      complete_events += events.Append(piece);
    }
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                 complete_events.c_str());
    LONGS_EQUAL(2, *events.LastEventId());
    STRCMP_EQUAL("id: 3\nda", events.DrainPartial().c_str());
  }
}

TEST(SseEventSplitter, AnyLineEndAndAnyReadSizeGivesTheSameEvents) {
  for (const std::string line_end : {"\n", "\r\n", "\r"}) {
    std::string event = ": note";
    event.append(line_end).append("id: 7").append(line_end);
    event.append("data: a").append(line_end).append(line_end);
    const std::string text = event + event;
    for (size_t step = 1; step <= text.size(); ++step) {
      SseEventSplitter events;
      std::string complete_events;
      for (size_t at = 0; at < text.size(); at += step) {
        complete_events += events.Append(text.substr(at, step));
      }
      STRCMP_EQUAL(text.c_str(), complete_events.c_str());
      LONGS_EQUAL(2, events.Count());
      LONGS_EQUAL(7, *events.LastEventId());
      CHECK(events.EndsStream(BodyFraming::kConnection));
    }
  }
}

TEST(SseEventSplitter, NoFramingEndsAStreamInsideAnEvent) {
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const size_t first_event = text.find("\n\n") + 2;
  for (size_t size = 0; size <= text.size(); ++size) {
    SseEventSplitter events;
    events.Append(text.substr(0, size));
    const bool between = size == first_event || size == text.size();
    CHECK_EQUAL(between, events.EndsStream(BodyFraming::kConnection));
    for (const auto framing : {BodyFraming::kLength, BodyFraming::kChunked}) {
      CHECK_EQUAL(between || size == 0, events.EndsStream(framing));
    }
  }
}

TEST(SseEventSplitter, CommentsAreNoEvents) {
  SseEventSplitter events;
  STRCMP_EQUAL(": wait\n\n", events.Append(": wait\n\n: wa").c_str());
  LONGS_EQUAL(0, events.Count());
  CHECK_FALSE(events.EndsStream(BodyFraming::kChunked));
  events.Append("it\n");
  CHECK(events.EndsStream(BodyFraming::kChunked));
  CHECK_FALSE(events.EndsStream(BodyFraming::kConnection));
}

TEST(SseEventSplitter, AResumedResponseStartsWithAWholeEvent) {
  SseEventSplitter events;
  events.Append("id: 1\ndata: a\n\nid: 2\nda");
  events.BeginResponse();
  CHECK_FALSE(events.EndsStream(BodyFraming::kConnection));
  STRCMP_EQUAL("id: 2\ndata: b\n\n",
               events.Append("id: 2\ndata: b\n\n").c_str());
  CHECK(events.EndsStream(BodyFraming::kConnection));
}

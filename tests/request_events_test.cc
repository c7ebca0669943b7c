// How burdockhillctl explain-log finds the events of a request in a log.

#include "burdockhill/src/ctl/request_events.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

using burdockhill::FindRequestEvents;

TEST_GROUP(FindRequestEvents){};

TEST(FindRequestEvents, ReturnsOnlyLinesOfTheRequest) {
  std::istringstream log(
      "12.1 vm-1 {\"event\":\"stream_placed\",\"process\":\"10.0.0.1\","
      "\"at_us\":5000,\"request\":\"abc\",\"engine\":\"e1\"}\n"
      "torn {\"event\":\"request_failed\",\"request\":\"abc\"\n"
      "{\"event\":\"stream_placed\",\"process\":\"10.0.0.1\",\"at_us\":5100,"
      "\"request\":\"abcd\"}\n"
      "{\"event\":\"request_failed\",\"process\":\"10.0.0.1\",\"at_us\":9000,"
      "\"request\":\"abc\",\"status\":503}\n");
  const auto rows = FindRequestEvents(&log, "abc");
  LONGS_EQUAL(2, rows.size());
  STRCMP_EQUAL("stream_placed", rows[0][2].c_str());
  STRCMP_EQUAL("engine=e1", rows[0][3].c_str());
  STRCMP_EQUAL("4 ms", rows[1][1].c_str());
  STRCMP_EQUAL("status=503", rows[1][3].c_str());
}

TEST(FindRequestEvents, UnknownRequestHasNoEvents) {
  std::istringstream log("{\"event\":\"started\"}\n");
  CHECK(FindRequestEvents(&log, "abc").empty());
}

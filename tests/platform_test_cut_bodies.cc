// Platform adapter: answers whose bodies were broken off.

#include <CppUTest/TestHarness.h>

#include <string>

#include "platform/platform.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

constexpr char kWatchPage[] =
    R"({"asOf":17,"events":[{"deleted":true,"object":)"
    R"({"metadata":{"name":"u","revision":17}}}]})";
constexpr char kListPage[] =
    R"({"asOf":17,"hasMore":false,"items":[)"
    R"({"metadata":{"name":"u","revision":17},"spec":{}}]})";
constexpr char kReport[] =
    R"({"stage":"decode","kvTotal":120000,"active":1,"queued":0,"busy":false,)"
    R"("seq":4,"runs":[{"id":"r1","kvTokens":100}]})";

}  // namespace

TEST_GROUP(CutBodies) {
  platform::PlatformFeedCodec m_feed_codec{"10.0.0.7:80", "servers"};
  platform::PlatformEngineCodec m_engine_codec;
};

TEST(CutBodies, APageThatBreaksOffIsNoPage) {
  for (const std::string page : {kWatchPage, kListPage}) {
    LONGS_EQUAL(1, m_feed_codec.DecodePage(page + "\n")->objects.size());
    for (size_t size = 0; size < page.size(); ++size) {
      const std::string cut = page.substr(0, size);
      CHECK_TEXT(!m_feed_codec.DecodePage(cut).has_value(), cut.c_str());
    }
  }
}

TEST(CutBodies, AReportThatBreaksOffIsNoReport) {
  const std::string report = kReport;
  CHECK(m_engine_codec.DecodeReport(report).has_value());
  for (size_t size = 0; size < report.size(); ++size) {
    const std::string cut = report.substr(0, size);
    CHECK_TEXT(!m_engine_codec.DecodeReport(cut).has_value(), cut.c_str());
  }
}

// Module routing: what upstreams state of themselves in their responses, that
// they leave or want no requests for a time.

#include "tests/routing_test_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

RegisteredUpstream MakeProcess(int64_t started_at_ms, uint64_t revision) {
  RegisteredUpstream upstream;
  upstream.name = UpstreamName("u");
  upstream.service = ServiceName("s");
  upstream.address = "10.0.0.1:80";
  upstream.started_at_ms = started_at_ms;
  upstream.write_count = static_cast<int64_t>(revision);
  upstream.revision = revision;
  return upstream;
}

}  // namespace

TEST_GROUP(UpstreamStatements) {
  bool IsLeaving() { return m_directory.Find(UpstreamName("u"))->leaving; }
  bool IsPaused(const RegisteredUpstream& upstream) {
    return m_pauses.IsPaused(upstream, m_now);
  }

  TimePoint m_now{seconds(100)};
  UpstreamDirectory m_directory;
  UpstreamPauses m_pauses;
};

// Guards against an upstream that gets requests although it has stated that it
// leaves, as its registration does not say so.
TEST(UpstreamStatements, LeavingHoldsWhateverTheRegistrationSays) {
  m_directory.ApplyList({MakeProcess(7, 1)}, 1, m_now);
  CHECK(m_directory.RecordLeaving(UpstreamName("u"), 7));
  CHECK(IsLeaving());
  CHECK(!m_directory.RecordLeaving(UpstreamName("u"), 7));
  m_directory.ApplyUpdate(MakeProcess(7, 2));
  CHECK(IsLeaving());
  m_directory.ApplyList({MakeProcess(7, 3)}, 3, m_now);
  CHECK(IsLeaving());
  // It expires, and is registered once more by the same process.
  m_directory.ApplyRemoval(UpstreamName("u"), 4, m_now);
  m_directory.Expire(m_now);
  m_directory.ApplyUpdate(MakeProcess(7, 5));
  CHECK(IsLeaving());
}

TEST(UpstreamStatements, LeavingDoesNotHoldForALaterProcess) {
  m_directory.ApplyList({MakeProcess(7, 1)}, 1, m_now);
  m_directory.RecordLeaving(UpstreamName("u"), 7);
  m_directory.ApplyUpdate(MakeProcess(8, 2));
  CHECK(!IsLeaving());
  // A late answer of the former process.
  CHECK(!m_directory.RecordLeaving(UpstreamName("u"), 7));
  CHECK(!IsLeaving());
  // A process that states no start time ends with its registration.
  m_directory.ApplyUpdate(MakeProcess(0, 3));
  CHECK(m_directory.RecordLeaving(UpstreamName("u"), 0));
  m_directory.ApplyRemoval(UpstreamName("u"), 4, m_now);
  m_directory.ApplyUpdate(MakeProcess(0, 5));
  CHECK(!IsLeaving());
  CHECK(!m_directory.RecordLeaving(UpstreamName("unknown"), 7));
}

TEST(UpstreamStatements, PausesLastAsStatedAndForThatProcessOnly) {
  const RegisteredUpstream upstream = MakeProcess(7, 1);
  CHECK(!IsPaused(upstream));
  CHECK(!m_pauses.Record(upstream.name, 7, Duration(0), m_now));
  CHECK(!m_pauses.Record(upstream.name, 7, -seconds(1), m_now));
  CHECK(!IsPaused(upstream));
  CHECK(m_pauses.Record(upstream.name, 7, milliseconds(1500), m_now));
  CHECK(IsPaused(upstream));
  CHECK(!IsPaused(MakeProcess(8, 2)));
  m_now += milliseconds(1499);
  CHECK(IsPaused(upstream));
  m_now += milliseconds(1);
  CHECK(!IsPaused(upstream));
}

// Guards against a shorter pause that ends a longer one.
TEST(UpstreamStatements, OfPausesThatOverlapTheLastEndHolds) {
  const RegisteredUpstream upstream = MakeProcess(7, 1);
  m_pauses.Record(upstream.name, 7, seconds(10), m_now);
  m_now += seconds(1);
  CHECK(!m_pauses.Record(upstream.name, 7, seconds(2), m_now));
  m_now += seconds(8);
  CHECK(IsPaused(upstream));
  CHECK(m_pauses.Record(upstream.name, 7, seconds(2), m_now));
  m_now += milliseconds(1500);
  CHECK(IsPaused(upstream));
  // A later process may ask for less.
  CHECK(m_pauses.Record(upstream.name, 8, milliseconds(100), m_now));
  CHECK(IsPaused(MakeProcess(8, 2)));
  CHECK(!IsPaused(upstream));
}

TEST(UpstreamStatements, TheFirstUpstreamToResumeDecidesTheTime) {
  RegisteredUpstream one = MakeProcess(7, 1);
  RegisteredUpstream two = MakeProcess(7, 1);
  two.name = UpstreamName("v");
  const auto time_left = [&] {
    return m_pauses.TimeUntilAvailable({&one, &two}, m_now);
  };
  CHECK(m_pauses.TimeUntilAvailable({}, m_now) == Duration(0));
  m_pauses.Record(one.name, 7, seconds(5), m_now);
  CHECK(time_left() == Duration(0));
  m_pauses.Record(two.name, 7, seconds(3), m_now);
  CHECK(time_left() == seconds(3));
  two.leaving = true;
  CHECK(time_left() == seconds(5));
}

TEST(UpstreamStatements, PausesOfEndedProcessesAreForgotten) {
  m_directory.ApplyList({MakeProcess(7, 1)}, 1, m_now);
  m_pauses.Record(UpstreamName("u"), 7, seconds(86400), m_now);
  m_pauses.DropEnded(m_directory, m_now);
  CHECK(IsPaused(MakeProcess(7, 1)));
  m_directory.ApplyRemoval(UpstreamName("u"), 2, m_now);
  m_pauses.DropEnded(m_directory, m_now);
  CHECK(!IsPaused(MakeProcess(7, 1)));
}

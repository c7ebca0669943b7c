// Module routing: the memory of which version began a stream.

#include <CppUTest/TestHarness.h>

#include <limits>
#include <string>

#include "burdockhill/routing.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const SoftwareVersion kOne("1.0");
const SoftwareVersion kTwo("2.0");

StreamKey Stream(uint64_t number, const std::string& service = "s") {
  return {ServiceName(service), RequestId(number)};
}

}  // namespace

TEST_GROUP(StreamOriginMemory) {
  bool Record(const StreamKey& stream, const SoftwareVersion& version,
              Duration keep = minutes(1)) {
    return m_memory.Record(stream, version, keep, m_clock.Now()) !=
           StreamOriginMemory::RecordResult::kInvalid;
  }
  // Empty if unknown.
  std::string Version(const StreamKey& stream) const {
    const auto origin = m_memory.Find(stream, m_clock.Now());
    return origin.has_value() ? origin->version.Value() : "";
  }

  ManualClock m_clock;
  StreamOriginMemory m_memory{3};
};

TEST(StreamOriginMemory, KeepsAStreamForItsTime) {
  CHECK(Record(Stream(1), kOne, seconds(10)));
  m_clock.Advance(seconds(10) - Duration(1));
  STRCMP_EQUAL("1.0", Version(Stream(1)).c_str());
  m_clock.Advance(Duration(1));
  STRCMP_EQUAL("", Version(Stream(1)).c_str());
  LONGS_EQUAL(1, m_memory.Size());
  m_memory.Expire(m_clock.Now());
  LONGS_EQUAL(0, m_memory.Size());
  LONGS_EQUAL(0, m_memory.EvictedCount());
}

TEST(StreamOriginMemory, ARepeatedRecordExtendsTheTimeAndNeverShortensIt) {
  Record(Stream(1), kOne, seconds(10));
  Record(Stream(1), kOne, seconds(1));
  m_clock.Advance(seconds(9));
  STRCMP_EQUAL("1.0", Version(Stream(1)).c_str());
  Record(Stream(1), kOne, seconds(10));
  m_clock.Advance(seconds(9));
  STRCMP_EQUAL("1.0", Version(Stream(1)).c_str());
  m_clock.Advance(seconds(1));
  STRCMP_EQUAL("", Version(Stream(1)).c_str());
  m_memory.Expire(m_clock.Now());
  LONGS_EQUAL(0, m_memory.Size());
}

TEST(StreamOriginMemory, AStreamOfTwoVersionsIsUnknownUntilItEnds) {
  Record(Stream(1), kOne, seconds(10));
  Record(Stream(1), kTwo, seconds(10));
  STRCMP_EQUAL("", Version(Stream(1)).c_str());
  Record(Stream(1), kOne, seconds(10));
  STRCMP_EQUAL("", Version(Stream(1)).c_str());
  CHECK(m_memory.Contains(Stream(1)));
  m_clock.Advance(seconds(10));
  Record(Stream(1), kTwo, seconds(10));
  STRCMP_EQUAL("2.0", Version(Stream(1)).c_str());
}

TEST(StreamOriginMemory, DropsTheStreamsThatEndFirstIfThereAreTooMany) {
  Record(Stream(1), kOne, seconds(30));
  Record(Stream(2), kOne, seconds(10));
  Record(Stream(3), kOne, seconds(20));
  Record(Stream(4), kOne, seconds(15));
  LONGS_EQUAL(3, m_memory.Size());
  LONGS_EQUAL(1, m_memory.EvictedCount());
  STRCMP_EQUAL("", Version(Stream(2)).c_str());
  STRCMP_EQUAL("1.0", Version(Stream(4)).c_str());
  for (uint64_t i = 10; i < 1000; ++i) Record(Stream(i), kOne, minutes(1));
  LONGS_EQUAL(3, m_memory.Size());
}

TEST(StreamOriginMemory, TheSameAttemptOfAnotherServiceIsAnotherStream) {
  Record(Stream(1, "s"), kOne);
  Record(Stream(1, "t"), kTwo);
  STRCMP_EQUAL("1.0", Version(Stream(1, "s")).c_str());
  STRCMP_EQUAL("2.0", Version(Stream(1, "t")).c_str());
  STRCMP_EQUAL("", Version(Stream(1, "u")).c_str());
}

TEST(StreamOriginMemory, IgnoresWhatIsNotValid) {
  const std::string huge(64 << 10, 'x');
  CHECK_FALSE(Record(Stream(0), kOne));
  CHECK_FALSE(Record(Stream(1, ""), kOne));
  CHECK_FALSE(Record(Stream(1, huge), kOne));
  CHECK_FALSE(Record(Stream(1), SoftwareVersion()));
  CHECK_FALSE(Record(Stream(1), SoftwareVersion(huge)));
  CHECK_FALSE(Record(Stream(1), kOne, Duration(0)));
  CHECK_FALSE(Record(Stream(1), kOne, Duration(-1)));
  CHECK_FALSE(Record(Stream(1), kOne,
                     Duration(std::numeric_limits<Duration::rep>::min())));
  LONGS_EQUAL(0, m_memory.Size());
}

TEST(StreamOriginMemory, KeepsNoStreamForLongerThanTheBound) {
  Record(Stream(1), kOne, hours(1));
  Record(Stream(2), kOne, Duration(std::numeric_limits<Duration::rep>::max()));
  m_clock.Advance(minutes(10) - Duration(1));
  STRCMP_EQUAL("1.0", Version(Stream(1)).c_str());
  STRCMP_EQUAL("1.0", Version(Stream(2)).c_str());
  m_clock.Advance(Duration(1));
  m_memory.Expire(m_clock.Now());
  LONGS_EQUAL(0, m_memory.Size());
}

TEST(StreamOriginMemory, TheSameAttemptOfAnotherOwnerIsAnotherStream) {
  StreamKey one = Stream(1);
  StreamKey two = Stream(1);
  one.owner = StreamOwner(1);
  two.owner = StreamOwner(2);
  Record(one, kOne);
  STRCMP_EQUAL("", Version(two).c_str());
  Record(two, kTwo);
  STRCMP_EQUAL("1.0", Version(one).c_str());
  STRCMP_EQUAL("2.0", Version(two).c_str());
  CHECK(m_memory.Contains(one));
  CHECK_FALSE(m_memory.Contains(Stream(1)));
}

// Processes of the former software know no owners.
TEST(StreamOriginMemory, RecordsAndQuestionsWithoutAnOwnerMatchEveryOwner) {
  StreamKey one = Stream(1);
  StreamKey two = Stream(1);
  one.owner = StreamOwner(1);
  two.owner = StreamOwner(2);
  Record(Stream(1), kOne);
  STRCMP_EQUAL("1.0", Version(one).c_str());
  Record(one, kOne);
  STRCMP_EQUAL("1.0", Version(Stream(1)).c_str());
  Record(two, kTwo);
  STRCMP_EQUAL("", Version(Stream(1)).c_str());
  CHECK(m_memory.IsAmbiguous(Stream(1), m_clock.Now()));
  STRCMP_EQUAL("", Version(two).c_str());
  STRCMP_EQUAL("1.0", Version(one).c_str());
  CHECK_FALSE(m_memory.IsAmbiguous(one, m_clock.Now()));
}

// Tests of module base: ids, addresses, units, errors and random numbers.

#include "burdockhill/base.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

TEST_GROUP(RequestIdText){};

TEST(RequestIdText, ParsesFormattedId) {
  const RequestId id(0x0123456789abcdefULL);
  STRCMP_EQUAL("req-0123456789abcdef", FormatRequestId(id).c_str());
  CHECK(ParseRequestId("req-0123456789abcdef") == id);
}

TEST(RequestIdText, RejectsOtherText) {
  for (const char* text : {"", "req-", "req-123", "req-0123456789abcdeg",
                           "abc-0123456789abcdef", "req-0123456789abcdef0"}) {
    CHECK(!ParseRequestId(text).has_value());
  }
}

TEST_GROUP(AddressText){};

TEST(AddressText, AcceptsOnlyIpv4AddressAndPort) {
  const auto address = ParseAddress("127.0.0.1:8080");
  CHECK(address.has_value());
  STRCMP_EQUAL("127.0.0.1", address->host.c_str());
  LONGS_EQUAL(8080, address->port);
  for (const char* text :
       {"", ":1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "host:80", "127.0.0.1:80x", "1.2.3:80"}) {
    CHECK(!ParseAddress(text).has_value());
  }
}

TEST_GROUP(PieceCount){};

TEST(PieceCount, RoundsUp) {
  LONGS_EQUAL(0, PiecesFor(Tokens(0), Tokens(2048)).Value());
  LONGS_EQUAL(1, PiecesFor(Tokens(1), Tokens(2048)).Value());
  LONGS_EQUAL(1, PiecesFor(Tokens(2048), Tokens(2048)).Value());
  LONGS_EQUAL(2, PiecesFor(Tokens(2049), Tokens(2048)).Value());
}

TEST_GROUP(ErrorResponses){};

TEST(ErrorResponses, EveryKindHasItsOwnType) {
  std::set<std::string_view> types;
  for (int i = 0; i <= static_cast<int>(ErrorKind::kInternal); ++i) {
    const ErrorResponse& response = ErrorResponseFor(static_cast<ErrorKind>(i));
    LONGS_EQUAL(i, static_cast<int>(response.kind));
    CHECK(types.insert(response.type).second);
    CHECK(!response.message.empty());
  }
}

TEST(ErrorResponses, TemporaryRefusalsHaveRetryAfter) {
  for (int i = 1; i <= static_cast<int>(ErrorKind::kInternal); ++i) {
    const ErrorResponse& response = ErrorResponseFor(static_cast<ErrorKind>(i));
    const bool is_temporary =
        response.http_status == 429 || response.http_status == 503;
    if (is_temporary) CHECK(response.retry_after.count() > 0);
  }
}

TEST(ErrorResponses, ConvertToErrorCodes) {
  const std::error_code code = ErrorKind::kTimeout;
  STRCMP_EQUAL("burdockhill", code.category().name());
  CHECK(code == make_error_code(ErrorKind::kTimeout));
  CHECK(!std::error_code(make_error_code(ErrorKind::kNone)));
}

TEST_GROUP(RandomJitter){};

TEST(RandomJitter, StaysWithinHalfOfBase) {
  Random random(1);
  for (int i = 0; i < 1000; ++i) {
    const Duration jittered = random.Jitter(Duration(1000));
    CHECK(jittered >= Duration(500) && jittered <= Duration(1500));
  }
}

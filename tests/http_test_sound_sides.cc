// Module http: bounds of buffered bytes and half-closed callers.

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

#include "burdockhill/http.h"
#include "emulation/sockets_fake.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr char kUpstream[] = "10.0.1.1:80";
constexpr char kCallers[] = "10.0.0.1:80";
constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = kKilobyte * kKilobyte;

class Holder : public http::ServerEvents {
 public:
  void OnRequest(http::ExchangeId id, http::Head /*head*/,
                 std::string /*body*/) override {
    exchanges.push_back(id);
  }
  void OnCallerDisconnected(http::ExchangeId /*id*/) override {}
  std::vector<http::ExchangeId> exchanges;
};

class CallRecorder : public http::CallEvents {
 public:
  bool OnResponseHead(http::CallId /*id*/, const http::Head&) override {
    return true;
  }
  size_t OnResponseBody(http::CallId /*id*/, std::string_view bytes) override {
    kept += bytes.size();
    return kept;
  }
  void OnResponseEnd(http::CallId /*id*/) override {}
  void OnCallFailed(http::CallId /*id*/, http::CallFailure) override {
    failed = true;
  }
  size_t kept = 0;
  bool failed = false;
};

}  // namespace

TEST_GROUP_BASE(BoundsForSoundSides, Utest) {
  void setup() override { m_server.Listen(*ParseAddress(kCallers)); }

  ManualClock m_clock;
  emulation::SocketsFake m_sockets;
  Holder m_holder;
  http::Server m_server{&m_sockets, &m_clock, &m_holder};
  http::ConnectionPool m_pool{&m_sockets, &m_clock};
};

// Guards against bytes that cannot be evicted and have no bound, so that every
// other buffer is evicted in vain.
TEST(BoundsForSoundSides, PipelinedBytesOfManyCallersDoNotEndSoundAnswers) {
  m_sockets.Buffers().SetLimit(8 * kMegabyte);
  CallRecorder sound;
  m_pool.Start(kUpstream, "GET / HTTP/1.1\r\n\r\n", &sound, {});
  const SocketId upstream = m_sockets.OpenTo(kUpstream).back();
  m_sockets.CompleteConnect(upstream);
  m_sockets.Inject(
      upstream, "HTTP/1.1 200 OK\r\n\r\n" + std::string(16 * kKilobyte, 'x'));
  for (int i = 0; i < 200; ++i) {
    const SocketId caller = m_sockets.ConnectAsCaller(kCallers);
    m_sockets.Inject(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int part = 0; part < 3 && m_sockets.GetConnection(caller).open &&
                       m_sockets.GetConnection(caller).reading;
         ++part) {
      m_sockets.Inject(caller, std::string(32 * kKilobyte, 'G'));
    }
  }
  m_sockets.Inject(upstream, "x");
  CHECK(!sound.failed);
  CHECK(m_sockets.Buffers().TotalBytes() <= 9 * kMegabyte);
}

// Guards against an eviction of an upstream's answer, which is larger than what
// each of many callers keeps, though those exceed the limit.
TEST(BoundsForSoundSides, ManyCallersThatSendSlowlyDoNotEndASoundAnswer) {
  m_sockets.Buffers().SetLimit(8 * kMegabyte);
  CallRecorder sound;
  m_pool.Start(kUpstream, "GET / HTTP/1.1\r\n\r\n", &sound, {});
  const SocketId upstream = m_sockets.OpenTo(kUpstream).back();
  m_sockets.CompleteConnect(upstream);
  m_sockets.Inject(
      upstream, "HTTP/1.1 200 OK\r\n\r\n" + std::string(64 * kKilobyte, 'x'));
  // A head of 15 KB and no end.
  for (int i = 0; i < 700; ++i) {
    const SocketId caller = m_sockets.ConnectAsCaller(kCallers);
    m_sockets.Inject(caller, "GET / HTTP/1.1\r\nHost: h\r\nA: " +
                                 std::string(15 * kKilobyte, 'a'));
  }
  m_sockets.Inject(upstream, "x");
  CHECK(!sound.failed);
}

// Guards against an interim response for a caller that does not know them.
TEST(BoundsForSoundSides, AHalfClosedCallerOfHttp10GetsNoInterimResponse) {
  const SocketId caller = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(caller, "GET / HTTP/1.0\r\nHost: h\r\n\r\n");
  LONGS_EQUAL(1, m_holder.exchanges.size());
  m_sockets.InjectEndOfInput(caller);
  m_clock.Advance(milliseconds(300));
  m_server.CheckTimeouts(m_clock.Now());
  STRCMP_EQUAL("", m_sockets.DrainOutput(caller).c_str());
}

// Guards against bytes that wait behind a request and count nowhere.
TEST(BoundsForSoundSides, BytesThatArriveWithTheirRequestAreCharged) {
  const SocketId caller = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n" +
                               std::string(30 * kKilobyte, 'G'));
  LONGS_EQUAL(1, m_holder.exchanges.size());
  CHECK(m_sockets.Buffers().TotalBytes() >= 30 * kKilobyte);
}

// Guards against a refusal of extensions that a recipient has to ignore.
TEST(BoundsForSoundSides, ShortChunkExtensionsOfALongBodyAreIgnored) {
  const SocketId caller = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(
      caller,
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "400;chunk-signature=" + std::string(64, 'a') +
                            "\r\n" + std::string(kKilobyte, 'x') + "\r\n";
  for (int i = 0; i < 2000; ++i) m_sockets.Inject(caller, chunk);
  m_sockets.Inject(caller, "0\r\n\r\n");
  LONGS_EQUAL(1, m_holder.exchanges.size());
}

// Guards against callers that take few interim responses: some clients fail
// after five.
TEST(BoundsForSoundSides, AHalfClosedCallerThatWaitsLongGetsFewInterimOnes) {
  const SocketId caller = m_sockets.ConnectAsCaller(kCallers);
  m_sockets.Inject(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  m_sockets.InjectEndOfInput(caller);
  for (int i = 0; i < 60; ++i) {
    m_clock.Advance(milliseconds(50));
    m_server.CheckTimeouts(m_clock.Now());
  }
  const std::string output = m_sockets.DrainOutput(caller);
  size_t interim = 0;
  for (size_t at = output.find("100 Continue"); at != std::string::npos;
       at = output.find("100 Continue", at + 1)) {
    ++interim;
  }
  CHECK(interim <= 5);
}

// Module http: remote sides that send without end.

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

#include "burdockhill/http.h"
#include "emulation/sockets_fake.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

constexpr char kUpstream[] = "10.0.1.1:80";
constexpr char kOther[] = "10.0.1.2:80";
constexpr char kCallers[] = "10.0.0.1:80";
constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = kKilobyte * kKilobyte;
// Any test that sends more has found no bound.
constexpr size_t kTooMuch = 64 * kMegabyte;

class CallRecorder : public http::CallEvents {
 public:
  bool OnResponseHead(http::CallId /*id*/, const http::Head& head) override {
    return head.headers.Find("X-Foreign") == nullptr;
  }
  size_t OnResponseBody(http::CallId /*id*/, std::string_view bytes) override {
    body.append(bytes);
    return body.size();
  }
  void OnResponseEnd(http::CallId /*id*/) override { ended = true; }
  void OnCallFailed(http::CallId /*id*/, http::CallFailure reason) override {
    failures.push_back(reason);
  }
  std::string body;
  bool ended = false;
  std::vector<http::CallFailure> failures;
};

std::string Repeat(const std::string& text, size_t bytes) {
  std::string result;
  while (result.size() < bytes) result += text;
  return result;
}

}  // namespace

TEST_GROUP_BASE(BytesWithoutEnd, Utest) {
  SocketId StartCall(const std::string& address, http::CallEvents* events) {
    m_pool.Start(address, "GET / HTTP/1.1\r\n\r\n", events, {});
    const SocketId id = m_sockets.OpenTo(address).back();
    m_sockets.CompleteConnect(id);
    return id;
  }

  // Sends `part` again and again until the call has failed. Returns the number
  // of bytes.
  size_t SendUntilFailure(const std::string& start, const std::string& part) {
    CallRecorder call;
    const SocketId id = StartCall(kUpstream, &call);
    m_sockets.Inject(id, start);
    size_t sent = 0;
    while (call.failures.empty() && sent < kTooMuch) {
      m_sockets.Inject(id, part);
      sent += part.size();
    }
    LONGS_EQUAL(1, call.failures.size());
    CHECK(call.failures.front() == http::CallFailure::kTooLarge);
    CHECK(!m_sockets.GetConnection(id).open);
    LONGS_EQUAL(0, m_sockets.Buffers().TotalBytes());
    return sent;
  }

  ManualClock m_clock;
  emulation::SocketsFake m_sockets;
  http::ConnectionPool m_pool{&m_sockets, &m_clock};
};

TEST(BytesWithoutEnd, ABodyWithoutLengthEndsItsCall) {
  CHECK(SendUntilFailure("HTTP/1.1 200 OK\r\n\r\n",
                         std::string(32 * kKilobyte, 'x')) <= 2 * kMegabyte);
}

TEST(BytesWithoutEnd, InterimResponsesEndTheirCall) {
  CHECK(SendUntilFailure("", Repeat("HTTP/1.1 100 Continue\r\n\r\n",
                                    32 * kKilobyte)) <= 512 * kKilobyte);
}

TEST(BytesWithoutEnd, ChunkExtensionsEndTheirCall) {
  CHECK(
      SendUntilFailure("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "1;" + std::string(16 * kKilobyte, 'e') + "\r\nx\r\n") <=
      512 * kKilobyte);
}

TEST(BytesWithoutEnd, TrailersEndTheirCall) {
  CHECK(SendUntilFailure(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            Repeat("Trailer: t\r\n", 16 * kKilobyte)) <= 512 * kKilobyte);
}

TEST(BytesWithoutEnd, AHeadOfShortFieldsEndsItsCall) {
  CHECK(SendUntilFailure("HTTP/1.1 200 OK\r\n", Repeat("a:\r\n", kKilobyte)) <=
        64 * kKilobyte);
}

TEST(BytesWithoutEnd, AnAnswerToAnotherRequestEndsTheCall) {
  CHECK(SendUntilFailure("HTTP/1.1 200 OK\r\nX-Foreign: 1\r\n\r\n",
                         std::string(32 * kKilobyte, 'x')) <= kMegabyte);
}

TEST(BytesWithoutEnd, AnswersToOtherRequestsEndTheCall) {
  CHECK(SendUntilFailure("", Repeat("HTTP/1.1 200 OK\r\nX-Foreign: 1\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                    32 * kKilobyte)) <= kMegabyte);
}

TEST(BytesWithoutEnd, SmallChunksAreNoOverhead) {
  CallRecorder call;
  const SocketId id = StartCall(kUpstream, &call);
  m_sockets.Inject(id, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  constexpr size_t kChunks = 500'000;
  const std::string part = Repeat("1\r\nx\r\n", 6 * kKilobyte);
  for (size_t sent = 0; sent < kChunks; sent += kKilobyte) {
    m_sockets.Inject(id, part);
  }
  m_sockets.Inject(id, "0\r\n\r\n");
  CHECK(call.ended);
}

// Guards against a process that is killed over its memory because each of many
// responses is within its own bound.
TEST(BytesWithoutEnd, TheSumOfTheResponsesIsBounded) {
  m_sockets.Buffers().SetLimit(8 * kMegabyte);
  constexpr size_t kCalls = 40;
  constexpr size_t kPart = 32 * kKilobyte;
  std::vector<CallRecorder> calls(kCalls);
  std::vector<SocketId> ids;
  for (CallRecorder& call : calls) {
    ids.push_back(StartCall(kUpstream, &call));
    m_sockets.Inject(ids.back(), "HTTP/1.1 200 OK\r\n\r\n");
  }
  for (size_t sent = 0; sent < kMegabyte; sent += kPart) {
    for (const SocketId id : ids) {
      m_sockets.Inject(id, std::string(kPart, 'x'));
      size_t kept = 0;
      for (const CallRecorder& call : calls) {
        if (call.failures.empty()) kept += call.body.size();
      }
      CHECK(kept <= 8 * kMegabyte + 2 * kPart);
    }
  }
}

TEST(BytesWithoutEnd, ASoundResponseBesideFaultyOnesIsNotEnded) {
  m_sockets.Buffers().SetLimit(4 * kMegabyte);
  constexpr size_t kPart = 32 * kKilobyte;
  CallRecorder sound;
  const SocketId sound_id = StartCall(kOther, &sound);
  m_sockets.Inject(sound_id,
                   "HTTP/1.1 200 OK\r\nContent-Length: 983040\r\n\r\n");
  std::vector<CallRecorder> faulty(20);
  std::vector<SocketId> ids;
  for (CallRecorder& call : faulty) {
    ids.push_back(StartCall(kUpstream, &call));
    m_sockets.Inject(ids.back(), "HTTP/1.1 200 OK\r\n\r\n");
  }
  while (!sound.ended && sound.failures.empty()) {
    m_sockets.Inject(sound_id, std::string(kPart, 's'));
    for (const SocketId id : ids) {
      m_sockets.Inject(id, std::string(kPart, 'x'));
    }
  }
  CHECK(sound.ended);
  LONGS_EQUAL(983040, sound.body.size());
}

TEST_GROUP_BASE(CallersWithoutEnd, Utest) {
  class Holder : public http::ServerEvents {
   public:
    void OnRequest(http::ExchangeId id, http::Head /*head*/,
                   std::string /*body*/) override {
      exchanges.push_back(id);
    }
    void OnCallerDisconnected(http::ExchangeId /*id*/) override {}
    std::vector<http::ExchangeId> exchanges;
  };

  void setup() override { m_server.Listen(*ParseAddress(kCallers)); }

  SocketId SendUntilAnswered(const std::string& start,
                             const std::string& part) {
    const SocketId id = m_sockets.ConnectAsCaller(kCallers);
    m_sockets.Inject(id, start);
    for (size_t sent = 0; sent < kTooMuch && m_sockets.GetConnection(id).open;
         sent += part.size()) {
      m_sockets.Inject(id, part);
    }
    return id;
  }

  ManualClock m_clock;
  emulation::SocketsFake m_sockets;
  Holder m_holder;
  http::Server m_server{&m_sockets, &m_clock, &m_holder};
};

TEST(CallersWithoutEnd, ChunkExtensionsAreRefused) {
  const SocketId id = SendUntilAnswered(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1;" + std::string(16 * kKilobyte, 'e') + "\r\nx\r\n");
  STRCMP_CONTAINS("HTTP/1.1 431", m_sockets.DrainOutput(id).c_str());
  CHECK(m_holder.exchanges.empty());
}

TEST(CallersWithoutEnd, AHeadOfShortFieldsIsRefused) {
  const SocketId id = SendUntilAnswered("GET / HTTP/1.1\r\nHost: h\r\n",
                                        Repeat("a:\r\n", kKilobyte));
  STRCMP_CONTAINS("HTTP/1.1 431", m_sockets.DrainOutput(id).c_str());
}

TEST(CallersWithoutEnd, ABodyIsRefusedOnceTheProcessKeepsTooMuch) {
  m_sockets.Buffers().SetLimit(8 * kMegabyte);
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n";
  std::vector<SocketId> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(m_sockets.ConnectAsCaller(kCallers));
    m_sockets.Inject(callers.back(), head + std::string(512 * kKilobyte, 'x'));
  }
  CHECK(m_sockets.Buffers().TotalBytes() <= 5 * kMegabyte);
  STRCMP_CONTAINS("HTTP/1.1 503",
                  m_sockets.DrainOutput(callers.back()).c_str());
  m_sockets.Fail(callers[1]);
  m_sockets.Inject(callers.front(), std::string(512 * kKilobyte, 'x'));
  LONGS_EQUAL(1, m_holder.exchanges.size());
}

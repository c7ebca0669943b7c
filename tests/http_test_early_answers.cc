// Module http: answers that begin before the request was read, over loopback
// sockets, and their end.

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "burdockhill/http.h"
#include "burdockhill/transport.h"
#include "tests/early_answer_server.h"
#include "tests/free_port.h"
#include "tests/raw_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using Ending = EarlyAnswerServer::Ending;

namespace {

constexpr char kUnframed[] = "HTTP/1.1 200 OK\r\n\r\npart";
constexpr char kFramed[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
// Smaller and larger than what sockets take.
constexpr size_t kSmallSize = size_t{8} << 10;
constexpr size_t kLargestSize = size_t{3500} << 10;
constexpr size_t kSizes[] = {size_t{40} << 10, size_t{200} << 10,
                             size_t{900} << 10, kLargestSize};
constexpr Ending kBroken[] = {Ending::kReset, Ending::kClose,
                              Ending::kCloseLater, Ending::kShutDownAndClose,
                              Ending::kShutDownAndReset};

struct PostResult {
  bool ended = false;
  bool failed = false;
  bool ended_early = false;  // By what was reported of the response.
  bool has_request = false;
};

class Recorder : public http::CallEvents, public http::ResponseObserver {
 public:
  bool OnResponseHead(http::CallId, const http::Head&) override { return true; }
  size_t OnResponseBody(http::CallId, std::string_view) override { return 0; }
  void OnResponseEnd(http::CallId) override { result.ended = true; }
  void OnCallFailed(http::CallId, http::CallFailure) override {
    result.failed = true;
  }
  void OnResponseRejected(const http::RejectedResponse& response) override {
    result.ended_early = response.reason == http::Malformation::kEndedEarly;
  }

  PostResult result;
};

// Records the requests of callers.
class RequestRecorder : public http::ServerEvents {
 public:
  void OnRequest(http::ExchangeId, http::Head, std::string) override {
    ++requests;
  }
  void OnCallerDisconnected(http::ExchangeId) override {}

  int requests = 0;
};

}  // namespace

TEST_GROUP(EarlyAnswers) {
  const FreePort port;
  SystemClock clock;
  EventLoop loop;
  TcpSockets sockets{&loop};
  http::ConnectionPool pool{&sockets, &clock};
  HttpClient client{&loop};

  PostResult PostByPool(const char* answer, Ending ending, size_t size) {
    Recorder recorder;
    pool.SetObserver(&recorder);
    http::Head head;
    head.method = "POST";
    head.target = "/x";
    const std::string request =
        http::FormatRequest(head, "h", size) + std::string(size, 'x');
    EarlyAnswerServer server(port.Number(), answer, ending, size);
    http::CallPolicy policy;
    policy.allows_reuse = false;
    CHECK(pool.Start(port.Text(), request, &recorder, policy).IsValid());
    server.RunUntil(&loop, [&] {
      pool.CheckTimeouts(clock.Now());
      return recorder.result.ended || recorder.result.failed;
    });
    pool.SetObserver(nullptr);
    recorder.result.has_request = server.HasRequest();
    return recorder.result;
  }

  PostResult PostByClient(const char* answer, Ending ending, size_t size) {
    Recorder recorder;
    client.SetObserver(&recorder);
    ClientRequest request;
    request.address = port.Loopback();
    request.method = "POST";
    request.body = std::string(size, 'x');
    EarlyAnswerServer server(port.Number(), answer, ending, size);
    FetchResponse(&client, std::move(request),
                  [&](CallEnd end, int, const std::string&) {
                    recorder.result.ended = end == CallEnd::kComplete;
                    recorder.result.failed = !recorder.result.ended;
                  });
    server.RunUntil(
        &loop, [&] { return recorder.result.ended || recorder.result.failed; });
    client.SetObserver(nullptr);
    recorder.result.has_request = server.HasRequest();
    return recorder.result;
  }

  void CheckAll(const char* answer, Ending ending, size_t size, bool is_whole) {
    const std::string text = "ending " +
                             std::to_string(static_cast<int>(ending)) +
                             ", bytes " + std::to_string(size);
    for (const PostResult& result : {PostByPool(answer, ending, size),
                                     PostByClient(answer, ending, size)}) {
      CHECK_EQUAL_TEXT(is_whole, result.ended, text.c_str());
      CHECK_EQUAL_TEXT(!is_whole, result.failed, text.c_str());
    }
  }
};

// Guards against a part of an answer that counts as whole, since its connection
// is reset only after the end of the input.
TEST(EarlyAnswers, AnAnswerWithoutLengthIsNotWholeIfTheRequestWasNotRead) {
  constexpr int kRounds = 2;
  for (int round = 0; round < kRounds; ++round) {
    for (const Ending ending : kBroken) {
      for (const size_t size : kSizes) {
        CheckAll(kUnframed, ending, size, /*is_whole=*/false);
      }
    }
    for (const Ending ending :
         {Ending::kReset, Ending::kClose, Ending::kCloseLater,
          Ending::kShutDownAndClose}) {
      CheckAll(kUnframed, ending, kSmallSize, /*is_whole=*/false);
    }
    CheckAll(kUnframed, Ending::kDrainAndClose, kLargestSize,
             /*is_whole=*/false);
  }
}

// Guards against a call that never ends.
TEST(EarlyAnswers, AServerThatNeverReadsOnIsNotAwaitedForLong) {
  constexpr size_t kSize = size_t{900} << 10;
  const TimePoint start = clock.Now();
  CheckAll(kUnframed, Ending::kShutDownAndReadNone, kSize, /*is_whole=*/false);
  CHECK(clock.Now() - start < std::chrono::seconds(9));
}

TEST(EarlyAnswers, AnAnswerWithoutLengthIsWholeOnceTheRequestWasRead) {
  for (const Ending ending :
       {Ending::kShutDownAndReadOn, Ending::kAnswerLast}) {
    for (const size_t size : kSizes) {
      CheckAll(kUnframed, ending, size, /*is_whole=*/true);
    }
  }
}

TEST(EarlyAnswers, AnAnswerWithALengthIsWholeAtOnce) {
  for (const Ending ending : {Ending::kReadOn, Ending::kShutDownAndReadOn,
                              Ending::kShutDownAndReadNone}) {
    for (const size_t size : kSizes) {
      CheckAll(kFramed, ending, size, /*is_whole=*/true);
    }
  }
}

TEST(EarlyAnswers, WhatHasEndedEarlyIsReported) {
  constexpr size_t kSize = size_t{900} << 10;
  CHECK(PostByPool(kUnframed, Ending::kShutDownAndReset, kSize).ended_early);
  CHECK(PostByClient(kUnframed, Ending::kShutDownAndReset, kSize).ended_early);
}

// Guards against a part of a request that is taken for a whole one, or that is
// kept for good.
TEST(EarlyAnswers, AnUploadThatBreaksOffIsNoRequest) {
  RequestRecorder recorder;
  http::Server server(&sockets, &clock, &recorder);
  server.Listen(port.Loopback());
  const size_t open = loop.Connections().Open();
  for (const char* framing :
       {"Content-Length: 900000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nfffff\r\n", "\r\n"}) {
    for (const bool reset : {true, false}) {
      const int caller = socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(port.Number());
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      LONGS_EQUAL(0, connect(caller, reinterpret_cast<sockaddr*>(&address),
                             sizeof address));
      const bool has_body = framing != std::string("\r\n");
      const std::string part =
          std::string(has_body ? "POST / HTTP/1.1\r\n" : "POST / HT") +
          (has_body ? framing + std::string(100000, 'x') : "");
      LONGS_EQUAL(part.size(), send(caller, part.data(), part.size(), 0));
      RunUntil(&loop, [&] { return loop.Connections().Open() > open; });
      shutdown(caller, SHUT_WR);
      const linger option = {reset ? 1 : 0, 0};
      setsockopt(caller, SOL_SOCKET, SO_LINGER, &option, sizeof option);
      close(caller);
      RunUntil(&loop, [&] { return loop.Connections().Open() == open; });
      LONGS_EQUAL(0, recorder.requests);
    }
  }
}

TEST_GROUP(HeldEnd){};

TEST(HeldEnd, WaitsAsLongAsTheRequestIsBeingTaken) {
  using std::chrono::milliseconds;
  using State = http::HeldEnd::State;
  http::HeldEnd end;
  TimePoint now = TimePoint(std::chrono::seconds(1));
  CHECK(!end.HasBegun());
  CHECK(end.Begin(1000, now));
  for (size_t untaken = 900; untaken > 0; untaken -= 100) {
    now += milliseconds(2900);
    CHECK(end.Check(untaken, now) == State::kHeld);
  }
  now += milliseconds(2900);
  CHECK(end.Check(100, now) == State::kHeld);
  now += milliseconds(200);
  CHECK(end.Check(100, now) == State::kTimedOut);
}

// Guards against a reset by a process that has not read what its host has
// acknowledged.
TEST(HeldEnd, AnEarlyResponseIsHeldBackForAShortTimeAfterItsRequestWasTaken) {
  using std::chrono::milliseconds;
  using State = http::HeldEnd::State;
  const TimePoint start = TimePoint(std::chrono::seconds(1));
  http::HeldEnd early;
  early.BeginResponse(1000);
  CHECK(early.Begin(0, start));
  CHECK(early.Check(0, start + milliseconds(400)) == State::kHeld);
  CHECK(early.Check(0, start + milliseconds(600)) == State::kOver);
  http::HeldEnd taken_later;
  CHECK(taken_later.Begin(1000, start));
  CHECK(taken_later.Check(0, start + milliseconds(400)) == State::kHeld);
  CHECK(taken_later.Check(0, start + milliseconds(800)) == State::kHeld);
  CHECK(taken_later.Check(0, start + milliseconds(1000)) == State::kOver);
}

TEST(HeldEnd, AResponseToARequestThatWasTakenIsNotHeldBack) {
  http::HeldEnd end;
  end.BeginResponse(0);
  CHECK(!end.Begin(0, TimePoint(std::chrono::seconds(1))));
  CHECK(!end.HasBegun());
}

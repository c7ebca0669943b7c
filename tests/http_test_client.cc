// Module http: the client, over loopback sockets.

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "burdockhill/http.h"
#include "burdockhill/transport.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

// Longest wait for an expected event; only a failing test reaches it.
constexpr std::chrono::seconds kWaitTimeout{10};

struct FetchResult {
  bool done = false;
  CallEnd end = CallEnd::kBroken;
  int status = 0;
  std::string body;
};

}  // namespace

TEST_GROUP(HttpClient) {
  EventLoop loop;
  HttpClient client{&loop};

  // Runs the event loop until `done` returns true; fails after kWaitTimeout.
  void RunUntil(const std::function<bool()>& done) {
    const SystemClock clock;
    const TimePoint end = clock.Now() + kWaitTimeout;
    while (!done() && clock.Now() < end) {
      loop.WakeAfter(std::chrono::milliseconds(1));
      loop.RunOnce();
    }
    CHECK(done());
  }

  // Fetches from a server that sends `response` and then closes or resets the
  // connection.
  FetchResult FetchFrom(const std::string& response, bool reset) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int reuse = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(19483);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)));
    listen(listener, 1);
    FetchResult result;
    ClientRequest request;
    request.address = {"127.0.0.1", 19483};
    FetchResponse(&client, std::move(request),
                  [&](CallEnd end, int status, std::string body) {
                    result = {true, end, status, std::move(body)};
                  });
    const int connection = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
    bool requested = false;
    RunUntil([&] {
      char buffer[4096];
      requested = requested || recv(connection, buffer, sizeof buffer, 0) > 0;
      return requested;
    });
    LONGS_EQUAL(response.size(),
                send(connection, response.data(), response.size(), 0));
    // The client reads the response before the connection ends.
    for (int i = 0; i < 20; ++i) {
      loop.WakeAfter(std::chrono::milliseconds(1));
      loop.RunOnce();
    }
    if (reset) {
      const linger option = {1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    close(connection);
    close(listener);
    RunUntil([&] { return result.done; });
    return result;
  }
};

TEST(HttpClient, ResponsesThatBreakOffAreNeverReportedComplete) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  const std::string responses[] = {
      head + "Content-Length: 10\r\n\r\nhalf",
      head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf", head,
      "HTTP/1.1 200"};
  for (const std::string& response : responses) {
    for (const bool reset : {false, true}) {
      CHECK(FetchFrom(response, reset).end == CallEnd::kBroken);
    }
  }
  CHECK(FetchFrom(head + "\r\nhalf", /*reset=*/true).end == CallEnd::kBroken);
}

TEST(HttpClient, AResponseWithoutLengthEndsWithItsConnection) {
  const FetchResult result =
      FetchFrom("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole",
                /*reset=*/false);
  CHECK(result.end == CallEnd::kComplete);
  STRCMP_EQUAL("whole", result.body.c_str());
}

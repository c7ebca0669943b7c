// Module http: the client, over loopback sockets.

#include <CppUTest/TestHarness.h>

#include <functional>

#include "burdockhill/http.h"
#include "burdockhill/transport.h"
#include "tests/raw_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

constexpr uint16_t kPort = 19483;

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

  // Fetches from a server that sends `response` and then closes or resets the
  // connection.
  FetchResult FetchFrom(const std::string& response, bool reset) {
    RawServer server(kPort);
    FetchResult result;
    ClientRequest request;
    request.address = {"127.0.0.1", kPort};
    FetchResponse(&client, std::move(request),
                  [&](CallEnd end, int status, std::string body) {
                    result = {true, end, status, std::move(body)};
                  });
    server.Answer(&loop, response, reset);
    RunUntil(&loop, [&] { return result.done; });
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

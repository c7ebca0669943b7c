// Module http: the client and the server over loopback sockets.

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>

#include "burdockhill/http.h"
#include "burdockhill/transport.h"
#include "tests/free_port.h"
#include "tests/raw_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

struct FetchResult {
  bool done = false;
  CallEnd end = CallEnd::kBroken;
  int status = 0;
  std::string body;
};

// Responds to each request with its contents, except that /stream is a streamed
// response of three parts, /unfinished one that does not end, and /hold gets no
// response.
class Echo : public HttpHandler {
 public:
  void OnRequest(ExchangeId id, HttpRequest request) override {
    ++requests;
    if (request.path == "/hold") {
      held = id;
      return;
    }
    if (request.path == "/unfinished") {
      server->StartStream(id, 200, "text/event-stream");
      server->WriteStream(id, "data: a\n\n");
      return;
    }
    if (request.path == "/stream") {
      server->StartStream(id, 200, "text/event-stream");
      for (const char* part : {"one ", "two ", "three"}) {
        server->WriteStream(id, part);
      }
      server->EndStream(id);
      return;
    }
    server->Respond(id, 200, "text/plain",
                    request.method + " " + request.path + " " + request.query +
                        " " + request.authorization + " " +
                        request.idempotency_key + " " + request.body,
                    {{"x-request-id", "r1"}});
  }
  void OnClosed(ExchangeId id) override { closed = id; }

  HttpServer* server = nullptr;
  int requests = 0;
  ExchangeId held;
  ExchangeId closed;
};

}  // namespace

TEST_GROUP(HttpClient) {
  const FreePort port;
  EventLoop loop;
  HttpClient client{&loop};

  // Fetches from a server that sends `response` and then closes or resets the
  // connection.
  FetchResult FetchFrom(const std::string& response, bool reset) {
    RawServer server(port.Number());
    FetchResult result;
    ClientRequest request;
    request.address = port.Loopback();
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

// Shows that a second copy of a response, late on its connection, is not taken
// for the response to the next call: each call has its own connection.
TEST(HttpClient, ALateCopyOfAResponseIsNotThatToTheNextCall) {
  const std::string refusal = "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy";
  STRCMP_EQUAL("busy", FetchFrom(refusal + refusal, false).body.c_str());
  const FetchResult next = FetchFrom(
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", /*reset=*/false);
  STRCMP_EQUAL("done", next.body.c_str());
}

TEST(HttpClient, AResponseThatArrivedBeforeTheTimeoutIsReadAfterAPause) {
  RawServer server(port.Number());
  FetchResult result;
  ClientRequest request;
  request.address = port.Loopback();
  request.timeout = std::chrono::seconds(1);
  FetchResponse(&client, std::move(request),
                [&](CallEnd end, int status, std::string body) {
                  result = {true, end, status, std::move(body)};
                });
  server.AnswerDuringPause(&loop,
                           "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
                           std::chrono::milliseconds(1200));
  RunUntil(&loop, [&] { return result.done; });
  CHECK(result.end == CallEnd::kComplete);
  STRCMP_EQUAL("done", result.body.c_str());
}

TEST_GROUP(HttpServer) {
  const FreePort port;
  EventLoop loop;
  Echo echo;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;

  void setup() override {
    HttpServer::Options options;
    options.address = port.Loopback();
    options.max_body_bytes = 5000;
    server = std::make_unique<HttpServer>(&loop, options, &echo);
    echo.server = server.get();
    client = std::make_unique<HttpClient>(&loop);
  }

  void RunUntilFlushed(const std::function<bool()>& done) {
    RunUntil(&loop, [&] {
      if (server != nullptr) server->Flush();
      return done();
    });
  }

  FetchResult Fetch(ClientRequest request) {
    FetchResult result;
    request.address = port.Loopback();
    FetchResponse(client.get(), std::move(request),
                  [&](CallEnd end, int status, std::string body) {
                    result = {true, end, status, std::move(body)};
                  });
    RunUntilFlushed([&] { return result.done; });
    return result;
  }

  // Sends raw bytes and returns what is received until the end of a response
  // header or until the server closes.
  std::string SendRaw(const std::string& bytes, bool half_close) {
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port.Number());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, connect(socket_fd, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)));
    LONGS_EQUAL(bytes.size(), send(socket_fd, bytes.data(), bytes.size(), 0));
    if (half_close) shutdown(socket_fd, SHUT_WR);
    std::string received;
    bool closed = false;
    RunUntilFlushed([&] {
      char buffer[4096];
      const ssize_t size =
          recv(socket_fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (size > 0) received.append(buffer, static_cast<size_t>(size));
      closed = size == 0 || (size < 0 && errno != EAGAIN);
      return closed || received.find("\r\n\r\n") != std::string::npos;
    });
    close(socket_fd);
    return received;
  }
};

TEST(HttpServer, CarriesMethodPathQueryHeadersAndBody) {
  ClientRequest request;
  request.method = "POST";
  request.path = "/a/b?x=1&y=2";
  request.headers.Add("Authorization", "Bearer k");
  request.headers.Add("Idempotency-Key", "i");
  request.body = "body";
  const FetchResult result = Fetch(request);
  LONGS_EQUAL(200, result.status);
  STRCMP_EQUAL("POST /a/b x=1&y=2 Bearer k i body", result.body.c_str());
}

TEST(HttpServer, StreamsToTheEnd) {
  ClientRequest request;
  request.path = "/stream";
  const FetchResult result = Fetch(request);
  STRCMP_EQUAL("one two three", result.body.c_str());
}

TEST(HttpServer, RejectsABodyThatIsTooLarge) {
  ClientRequest request;
  request.method = "POST";
  request.body = std::string(6000, 'x');
  LONGS_EQUAL(413, Fetch(request).status);
  LONGS_EQUAL(0, echo.requests);
}

TEST(HttpServer, ReportsThatNothingListens) {
  FetchResult result;
  ClientRequest request;
  const FreePort unused_port;
  request.address = unused_port.Loopback();
  FetchResponse(client.get(), request,
                [&](CallEnd end, int status, std::string body) {
                  result = {true, end, status, std::move(body)};
                });
  RunUntilFlushed([&] { return result.done; });
  CHECK(result.end == CallEnd::kNotConnected);
}

TEST(HttpServer, AStreamWhoseProcessEndsNeverLooksComplete) {
  FetchResult result;
  bool has_data = false;
  ClientRequest request;
  request.address = port.Loopback();
  request.path = "/unfinished";
  ClientEvents events;
  events.on_data = [&](std::string_view) { has_data = true; };
  events.on_end = [&](CallEnd end) {
    result.done = true;
    result.end = end;
  };
  client->Start(request, events);
  RunUntilFlushed([&] { return has_data; });
  server.reset();
  RunUntilFlushed([&] { return result.done; });
  CHECK(result.end == CallEnd::kBroken);
}

TEST(HttpServer, ReportsADisconnectedCaller) {
  ClientRequest request;
  request.address = port.Loopback();
  request.path = "/hold";
  const ClientCallId call = client->Start(request, {});
  RunUntilFlushed([&] { return echo.held.IsValid(); });
  client->Cancel(call);
  RunUntilFlushed([&] { return echo.closed == echo.held; });
}

TEST(HttpServer, NoticesThatAHalfClosedCallerHasClosedItsConnection) {
  SendRaw("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n", true);
  RunUntilFlushed([&] { return echo.closed.IsValid(); });
}

TEST(HttpServer, AcceptsAChunkedBody) {
  const std::string response = SendRaw(
      "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\n\r\n",
      false);
  STRCMP_CONTAINS("200 OK", response.c_str());
  LONGS_EQUAL(1, echo.requests);
}

TEST(HttpServer, RejectsARequestWithTwoLengths) {
  const std::string response = SendRaw(
      "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
      "Content-Length: 30\r\n\r\nbodyGET /hold HTTP/1.1\r\n\r\n",
      false);
  STRCMP_CONTAINS("400", response.c_str());
  LONGS_EQUAL(0, echo.requests);
}

TEST(HttpServer, SurvivesInvalidBytesAndTooManyHeaders) {
  SendRaw("\x16\x03\x01 this is not HTTP\r\n\r\n", true);
  std::string flood = "GET / HTTP/1.1\r\nHost: x\r\n";
  for (int i = 0; i < 2000; ++i) {
    flood +=
        "X-Flood-" + std::to_string(i) + ": " + std::string(50, 'y') + "\r\n";
  }
  const std::string response = SendRaw(flood + "\r\n", false);
  CHECK(response.find("200 OK") == std::string::npos);
  LONGS_EQUAL(200, Fetch({}).status);
}

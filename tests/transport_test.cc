// Tests of module transport: HTTP server, HTTP client and peer connections over
// loopback sockets.

#include "burdockhill/transport.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

// Longest wait for an expected event before a test fails.
constexpr std::chrono::seconds kLongestWait{10};

// Responds to each request with its contents, except that /stream is a streamed
// response of three parts and /hold gets no response.
class Echo : public HttpHandler {
 public:
  void OnRequest(ExchangeId id, HttpRequest request) override {
    ++requests;
    if (request.path == "/hold") {
      held = id;
      return;
    }
    if (request.path == "/stream") {
      server->StartStream(id, 200, "text/event-stream");
      for (const char* part : {"one ", "two ", "three"}) {
        server->StreamData(id, part);
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

// Records the events of a peer connection.
struct Heard : PeerEvents {
  void OnPeerUp(const Hello& peer) override { up.push_back(peer.vm.Value()); }
  void OnPeerDown(const VmName& vm) override { down.push_back(vm.Value()); }
  void OnMessage(const VmName&, const Message& message) override {
    messages.push_back(message);
  }
  std::vector<std::string> up;
  std::vector<std::string> down;
  std::vector<Message> messages;
};

PeerTransport::Options PeerOptions(const std::string& vm, uint16_t port,
                                   const std::string& key) {
  PeerTransport::Options options;
  options.listen = {"127.0.0.1", port};
  options.shared_key = key;
  options.self.vm = VmName(vm);
  options.self.incarnation = Incarnation(port);
  return options;
}

}  // namespace

TEST_GROUP(Http) {
  EventLoop loop;
  Echo echo;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;

  void setup() override {
    HttpServer::Options options;
    options.address = {"127.0.0.1", 19480};
    options.max_body_bytes = 5000;
    server = std::make_unique<HttpServer>(&loop, options, &echo);
    echo.server = server.get();
    client = std::make_unique<HttpClient>(&loop);
  }

  // Runs the event loop until `done` returns true; fails after kLongestWait.
  void Turn(const std::function<bool()>& done) {
    const SystemClock clock;
    const TimePoint end = clock.Now() + kLongestWait;
    while (!done() && clock.Now() < end) {
      loop.WakeAfter(std::chrono::milliseconds(1));
      loop.RunOnce();
      server->Flush();
    }
    CHECK(done());
  }

  struct Fetched {
    bool done = false;
    CallEnd end = CallEnd::kBroken;
    int status = 0;
    std::string body;
  };

  Fetched Fetch(ClientRequest request) {
    Fetched fetched;
    request.address = {"127.0.0.1", 19480};
    FetchResponse(client.get(), std::move(request),
                  [&](CallEnd end, int status, std::string body) {
                    fetched = {true, end, status, std::move(body)};
                  });
    Turn([&] { return fetched.done; });
    return fetched;
  }

  // Sends raw bytes and returns what is received until the end of a response
  // header or until the server closes.
  std::string Raw(const std::string& bytes, bool half_close) {
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(19480);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, connect(socket_fd, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)));
    LONGS_EQUAL(bytes.size(), send(socket_fd, bytes.data(), bytes.size(), 0));
    if (half_close) shutdown(socket_fd, SHUT_WR);
    std::string got;
    bool closed = false;
    Turn([&] {
      char buffer[4096];
      const ssize_t size =
          recv(socket_fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (size > 0) got.append(buffer, static_cast<size_t>(size));
      closed = size == 0 || (size < 0 && errno != EAGAIN);
      return closed || got.find("\r\n\r\n") != std::string::npos;
    });
    close(socket_fd);
    return got;
  }
};

TEST(Http, CarriesMethodPathQueryHeadersAndBody) {
  ClientRequest request;
  request.method = "POST";
  request.path = "/a/b?x=1&y=2";
  request.headers = {{"authorization", "Bearer k"}, {"idempotency-key", "i"}};
  request.body = "body";
  const Fetched fetched = Fetch(request);
  LONGS_EQUAL(200, fetched.status);
  STRCMP_EQUAL("POST /a/b x=1&y=2 Bearer k i body", fetched.body.c_str());
}

TEST(Http, StreamsToTheEnd) {
  ClientRequest request;
  request.path = "/stream";
  const Fetched fetched = Fetch(request);
  STRCMP_EQUAL("one two three", fetched.body.c_str());
}

TEST(Http, RefusesABodyThatIsTooLarge) {
  ClientRequest request;
  request.method = "POST";
  request.body = std::string(6000, 'x');
  LONGS_EQUAL(413, Fetch(request).status);
  LONGS_EQUAL(0, echo.requests);
}

TEST(Http, SaysThatNothingListens) {
  Fetched fetched;
  ClientRequest request;
  request.address = {"127.0.0.1", 19499};
  FetchResponse(client.get(), request,
                [&](CallEnd end, int status, std::string body) {
                  fetched = {true, end, status, std::move(body)};
                });
  Turn([&] { return fetched.done; });
  CHECK(fetched.end == CallEnd::kNotConnected);
}

TEST(Http, TellsWhenTheCallerHasGone) {
  ClientRequest request;
  request.address = {"127.0.0.1", 19480};
  request.path = "/hold";
  const ClientCallId call = client->Start(request, {});
  Turn([&] { return echo.held.IsValid(); });
  client->Cancel(call);
  Turn([&] { return echo.closed == echo.held; });
}

TEST(Http, TakesAHalfClosedConnectionForGone) {
  Raw("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n", true);
  Turn([&] { return echo.closed.IsValid(); });
}

TEST(Http, SurvivesGarbageAndFloodsOfHeaders) {
  Raw("\x16\x03\x01 this is not HTTP\r\n\r\n", true);
  std::string flood = "GET / HTTP/1.1\r\nHost: x\r\n";
  for (int i = 0; i < 2000; ++i) {
    flood +=
        "X-Flood-" + std::to_string(i) + ": " + std::string(50, 'y') + "\r\n";
  }
  const std::string answer = Raw(flood + "\r\n", false);
  CHECK(answer.find("200 OK") == std::string::npos);
  LONGS_EQUAL(200, Fetch({}).status);
}

TEST_GROUP(Peers) {
  EventLoop loop;
  Random random{1};
  SystemClock clock;
  Heard heard_a;
  Heard heard_b;
  std::unique_ptr<PeerTransport> a;
  std::unique_ptr<PeerTransport> b;

  void Begin(const std::string& key_a, const std::string& key_b) {
    a = std::make_unique<PeerTransport>(&loop, PeerOptions("a", 19481, key_a),
                                        &random);
    b = std::make_unique<PeerTransport>(&loop, PeerOptions("b", 19482, key_b),
                                        &random);
    a->SetEvents(&heard_a);
    b->SetEvents(&heard_b);
    a->Connect(VmName("b"), "127.0.0.1:19482");
  }

  // Runs the event loop until `done` returns true; fails after kLongestWait.
  void Turn(const std::function<bool()>& done) {
    const TimePoint end = clock.Now() + kLongestWait;
    while (!done() && clock.Now() < end) {
      a->Flush(clock.Now());
      b->Flush(clock.Now());
      loop.WakeAfter(std::chrono::milliseconds(1));
      loop.RunOnce();
    }
    CHECK(done());
  }
};

TEST(Peers, MeetAndTalkBothWays) {
  Begin("shared key of tests", "shared key of tests");
  Turn([&] { return !heard_a.up.empty() && !heard_b.up.empty(); });
  a->Send(VmName("b"), Heartbeat{1, false});
  b->Send(VmName("a"), Heartbeat{2, true});
  Turn([&] { return !heard_a.messages.empty() && !heard_b.messages.empty(); });
}

TEST(Peers, ANewConnectionReplacesTheOldOneUnseen) {
  Begin("shared key of tests", "shared key of tests");
  Turn([&] { return heard_b.up.size() == 1; });
  a->Connect(VmName("b"), "127.0.0.1:19482");
  Turn([&] { return heard_b.up.size() == 2 && heard_a.up.size() == 2; });
  a->Send(VmName("b"), Heartbeat{1, false});
  Turn([&] { return heard_b.messages.size() == 1; });
  LONGS_EQUAL(0, heard_a.down.size());
}

TEST(Peers, AnotherKeyNeverMeets) {
  Begin("shared key of tests", "quite another key!!");
  for (int i = 0; i < 200; ++i) {
    a->Flush(clock.Now());
    b->Flush(clock.Now());
    loop.WakeAfter(std::chrono::milliseconds(1));
    loop.RunOnce();
  }
  LONGS_EQUAL(0, heard_a.up.size());
  LONGS_EQUAL(0, heard_b.up.size());
}

TEST(Peers, HearOfTheEnd) {
  Begin("shared key of tests", "shared key of tests");
  Turn([&] { return !heard_b.up.empty(); });
  a->Disconnect(VmName("b"));
  Turn([&] { return heard_b.down.size() == 1; });
}

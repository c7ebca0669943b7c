// Tests of module transport: HTTP server, HTTP client and peer connections over
// loopback sockets.

#include "burdockhill/transport.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>

#include "burdockhill/http.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

// Longest wait for an expected event; only a failing test reaches it.
constexpr std::chrono::seconds kWaitTimeout{10};

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

// Records the events of a peer connection.
struct PeerEventRecorder : PeerEvents {
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

  // Runs the event loop until `done` returns true; fails after kWaitTimeout.
  void RunUntil(const std::function<bool()>& done) {
    const SystemClock clock;
    const TimePoint end = clock.Now() + kWaitTimeout;
    while (!done() && clock.Now() < end) {
      loop.WakeAfter(std::chrono::milliseconds(1));
      loop.RunOnce();
      server->Flush();
    }
    CHECK(done());
  }

  struct FetchResult {
    bool done = false;
    CallEnd end = CallEnd::kBroken;
    int status = 0;
    std::string body;
  };

  FetchResult Fetch(ClientRequest request) {
    FetchResult result;
    request.address = {"127.0.0.1", 19480};
    FetchResponse(client.get(), std::move(request),
                  [&](CallEnd end, int status, std::string body) {
                    result = {true, end, status, std::move(body)};
                  });
    RunUntil([&] { return result.done; });
    return result;
  }

  // Sends raw bytes and returns what is received until the end of a response
  // header or until the server closes.
  std::string SendRaw(const std::string& bytes, bool half_close) {
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(19480);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, connect(socket_fd, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)));
    LONGS_EQUAL(bytes.size(), send(socket_fd, bytes.data(), bytes.size(), 0));
    if (half_close) shutdown(socket_fd, SHUT_WR);
    std::string received;
    bool closed = false;
    RunUntil([&] {
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

TEST(Http, CarriesMethodPathQueryHeadersAndBody) {
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

TEST(Http, StreamsToTheEnd) {
  ClientRequest request;
  request.path = "/stream";
  const FetchResult result = Fetch(request);
  STRCMP_EQUAL("one two three", result.body.c_str());
}

TEST(Http, RejectsABodyThatIsTooLarge) {
  ClientRequest request;
  request.method = "POST";
  request.body = std::string(6000, 'x');
  LONGS_EQUAL(413, Fetch(request).status);
  LONGS_EQUAL(0, echo.requests);
}

TEST(Http, ReportsThatNothingListens) {
  FetchResult result;
  ClientRequest request;
  request.address = {"127.0.0.1", 19499};
  FetchResponse(client.get(), request,
                [&](CallEnd end, int status, std::string body) {
                  result = {true, end, status, std::move(body)};
                });
  RunUntil([&] { return result.done; });
  CHECK(result.end == CallEnd::kNotConnected);
}

TEST(Http, ReportsADisconnectedCaller) {
  ClientRequest request;
  request.address = {"127.0.0.1", 19480};
  request.path = "/hold";
  const ClientCallId call = client->Start(request, {});
  RunUntil([&] { return echo.held.IsValid(); });
  client->Cancel(call);
  RunUntil([&] { return echo.closed == echo.held; });
}

TEST(Http, TreatsAHalfClosedConnectionAsClosed) {
  SendRaw("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n", true);
  RunUntil([&] { return echo.closed.IsValid(); });
}

TEST(Http, SurvivesInvalidBytesAndTooManyHeaders) {
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

TEST_GROUP(Peers) {
  EventLoop loop;
  Random random{1};
  SystemClock clock;
  PeerEventRecorder events_a;
  PeerEventRecorder events_b;
  std::unique_ptr<PeerTransport> a;
  std::unique_ptr<PeerTransport> b;

  void ConnectPeers(const std::string& key_a, const std::string& key_b) {
    a = std::make_unique<PeerTransport>(&loop, PeerOptions("a", 19481, key_a),
                                        &random);
    b = std::make_unique<PeerTransport>(&loop, PeerOptions("b", 19482, key_b),
                                        &random);
    a->SetEvents(&events_a);
    b->SetEvents(&events_b);
    a->Connect(VmName("b"), "127.0.0.1:19482");
  }

  // Runs the event loop until `done` returns true; fails after kWaitTimeout.
  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = clock.Now() + kWaitTimeout;
    while (!done() && clock.Now() < end) {
      a->Flush(clock.Now());
      b->Flush(clock.Now());
      loop.WakeAfter(std::chrono::milliseconds(1));
      loop.RunOnce();
    }
    CHECK(done());
  }
};

TEST(Peers, ExchangeMessagesInBothDirections) {
  ConnectPeers("shared key of tests", "shared key of tests");
  RunUntil([&] { return !events_a.up.empty() && !events_b.up.empty(); });
  a->Send(VmName("b"), Heartbeat{1, false});
  b->Send(VmName("a"), Heartbeat{2, true});
  RunUntil(
      [&] { return !events_a.messages.empty() && !events_b.messages.empty(); });
}

TEST(Peers, ANewConnectionReplacesTheOldOneWithoutPeerDown) {
  ConnectPeers("shared key of tests", "shared key of tests");
  RunUntil([&] { return events_b.up.size() == 1; });
  a->Connect(VmName("b"), "127.0.0.1:19482");
  RunUntil([&] { return events_b.up.size() == 2 && events_a.up.size() == 2; });
  a->Send(VmName("b"), Heartbeat{1, false});
  RunUntil([&] { return events_b.messages.size() == 1; });
  LONGS_EQUAL(0, events_a.down.size());
}

TEST(Peers, AWrongKeyIsRejected) {
  ConnectPeers("shared key of tests", "quite another key!!");
  for (int i = 0; i < 200; ++i) {
    a->Flush(clock.Now());
    b->Flush(clock.Now());
    loop.WakeAfter(std::chrono::milliseconds(1));
    loop.RunOnce();
  }
  LONGS_EQUAL(0, events_a.up.size());
  LONGS_EQUAL(0, events_b.up.size());
}

TEST(Peers, ReportADisconnectedPeer) {
  ConnectPeers("shared key of tests", "shared key of tests");
  RunUntil([&] { return !events_b.up.empty(); });
  a->Disconnect(VmName("b"));
  RunUntil([&] { return events_b.down.size() == 1; });
}

// Module http: servers that answer the client without end, over loopback
// sockets.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/http.h"
#include "burdockhill/transport.h"
#include "tests/endless_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

constexpr uint16_t kPort = 19470;
constexpr uint16_t kOtherPort = 19471;
constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = kKilobyte * kKilobyte;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\n\r\n";
constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Repeat(const std::string& text, size_t bytes) {
  std::string result;
  while (result.size() < bytes) result += text;
  return result;
}

class OverflowRecorder : public BufferObserver {
 public:
  void OnBufferOverflow(const BufferOverflow& overflow) override {
    overflows.push_back(overflow);
  }
  std::vector<BufferOverflow> overflows;
};

struct Result {
  std::optional<CallEnd> end;
  int status = 0;
  std::string body;
};

}  // namespace

TEST_GROUP(ClientBytesWithoutEnd) {
  EventLoop loop;
  HttpClient client{&loop};
  OverflowRecorder observer;

  void setup() override { loop.Buffers().SetObserver(&observer); }

  void Fetch(uint16_t port, Result * result,
             size_t max_kept_bytes = ClientRequest().max_kept_bytes) {
    ClientRequest request;
    request.address = {"127.0.0.1", port};
    request.max_kept_bytes = max_kept_bytes;
    FetchResponse(&client, std::move(request),
                  [result](CallEnd end, int status, std::string body) {
                    *result = {end, status, std::move(body)};
                  });
  }

  // Fetches from a server that sends `start`, then `part` without end, and
  // expects the call to end. Returns the number of bytes that were sent.
  size_t FetchWithoutEnd(const std::string& start, const std::string& part) {
    EndlessServer server(kPort, start, part);
    Result result;
    Fetch(kPort, &result);
    server.RunUntil(&loop, [&] { return result.end.has_value(); });
    CHECK(result.end == CallEnd::kTooLarge);
    STRCMP_EQUAL("", result.body.c_str());
    LONGS_EQUAL(1, observer.overflows.size());
    STRCMP_EQUAL("127.0.0.1:19470", observer.overflows[0].source.c_str());
    LONGS_EQUAL(0, loop.Buffers().TotalBytes());
    return server.SentBytes();
  }
};

TEST(ClientBytesWithoutEnd, ABodyEndsItsCallAndIsNotPassedOn) {
  CHECK(FetchWithoutEnd(kHead, std::string(32 * kKilobyte, 'x')) <=
        4 * kMegabyte);
}

TEST(ClientBytesWithoutEnd, InterimResponsesEndTheirCall) {
  CHECK(FetchWithoutEnd("", Repeat("HTTP/1.1 100 Continue\r\n\r\n",
                                   32 * kKilobyte)) <= 2 * kMegabyte);
}

TEST(ClientBytesWithoutEnd, ChunkExtensionsEndTheirCall) {
  CHECK(FetchWithoutEnd(kChunkedHead, "1;" + std::string(16 * kKilobyte, 'e') +
                                          "\r\nx\r\n") <= 2 * kMegabyte);
}

TEST(ClientBytesWithoutEnd, TrailersEndTheirCall) {
  CHECK(FetchWithoutEnd(kChunkedHead + std::string("0\r\n"),
                        Repeat("Trailer: t\r\n", 16 * kKilobyte)) <=
        2 * kMegabyte);
}

TEST(ClientBytesWithoutEnd, AHeadEndsItsCall) {
  CHECK(FetchWithoutEnd("HTTP/1.1 200 OK\r\n", Repeat("a: b\r\n", kKilobyte)) <=
        2 * kMegabyte);
}

TEST(ClientBytesWithoutEnd, TheSumOfManyIsBoundedAndASoundCallStays) {
  constexpr size_t kLimit = 4 * kMegabyte;
  constexpr size_t kCalls = 12;
  loop.Buffers().SetLimit(kLimit);
  EndlessServer faulty(kPort, kHead, std::string(32 * kKilobyte, 'x'));
  // Sends the first half of its answer, and the rest once the others have
  // ended.
  EndlessServer sound(kOtherPort,
                      "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" +
                          std::string(kMegabyte / 2, 's'),
                      "");
  Result sound_result;
  Fetch(kOtherPort, &sound_result, 2 * kMegabyte);
  sound.RunUntil(&loop,
                 [&] { return loop.Buffers().TotalBytes() >= kMegabyte / 2; });
  std::vector<Result> results(kCalls);
  // No call reaches a bound of its own.
  for (Result& result : results) Fetch(kPort, &result, 64 * kMegabyte);
  size_t peak = 0;
  faulty.RunUntil(&loop, [&] {
    peak = std::max(peak, loop.Buffers().TotalBytes());
    return std::all_of(results.begin(), results.end(),
                       [](const Result& r) { return r.end.has_value(); });
  });
  CHECK(peak <= kLimit + kMegabyte);
  for (const Result& result : results) CHECK(result.end == CallEnd::kTooLarge);
  LONGS_EQUAL(kCalls, observer.overflows.size());
  for (const BufferOverflow& overflow : observer.overflows) {
    CHECK(overflow.is_bound_of_process);
    STRCMP_EQUAL("127.0.0.1:19470", overflow.source.c_str());
  }
  CHECK(!sound_result.end.has_value());
  sound.SetPart(std::string(kMegabyte / 2, 's'));
  sound.RunUntil(&loop, [&] { return sound_result.end.has_value(); });
  CHECK(sound_result.end == CallEnd::kComplete);
  LONGS_EQUAL(kMegabyte, sound_result.body.size());
}

TEST(ClientBytesWithoutEnd, AStreamOfWhichLittleIsKeptIsNotEnded) {
  EndlessServer server(kPort, kHead, std::string(32 * kKilobyte, 'x'));
  ClientRequest request;
  request.address = {"127.0.0.1", kPort};
  size_t received = 0;
  std::optional<CallEnd> ended;
  ClientEvents events;
  events.on_stream_data = [&](std::string_view data) -> size_t {
    received += data.size();
    return kKilobyte;
  };
  events.on_end = [&](CallEnd end) { ended = end; };
  const ClientCallId call = client.Start(std::move(request), std::move(events));
  server.RunUntil(&loop, [&] {
    CHECK(loop.Buffers().TotalBytes() <= 2 * kKilobyte);
    return received > 8 * kMegabyte;
  });
  CHECK(!ended.has_value());
  client.Cancel(call);
  LONGS_EQUAL(0, loop.Buffers().TotalBytes());
}

TEST(ClientBytesWithoutEnd, ACallIsNotUsedAfterItsReceiverHasCancelledIt) {
  EndlessServer server(kPort, kHead, std::string(32 * kKilobyte, 'x'));
  ClientRequest request;
  request.address = {"127.0.0.1", kPort};
  ClientCallId call;
  bool cancelled = false;
  ClientEvents events;
  const std::string kept_by_callback(kKilobyte, 'c');
  events.on_stream_data = [&, kept_by_callback](std::string_view) {
    client.Cancel(call);
    cancelled = true;
    return kept_by_callback.size();
  };
  call = client.Start(std::move(request), std::move(events));
  server.RunUntil(&loop, [&] { return cancelled; });
  LONGS_EQUAL(0, loop.Buffers().TotalBytes());
}

TEST(ClientBytesWithoutEnd, QueuedStreamsAreChargedAndASmallOneStays) {
  struct Streams : HttpHandler {
    void OnRequest(ExchangeId id, HttpRequest request) override {
      server->StartStream(id, 200, "text/event-stream");
      const size_t bytes = request.path == "/large" ? 4 * kMegabyte : 5;
      server->WriteStream(id, std::string(bytes, 'q'));
      if (request.path == "/small") small = id;
    }
    void OnClosed(ExchangeId) override { ++closed; }
    HttpServer* server = nullptr;
    ExchangeId small;
    int closed = 0;
  };
  Streams streams;
  HttpServer::Options options;
  options.address = {"127.0.0.1", 19475};
  HttpServer server(&loop, options, &streams);
  streams.server = &server;
  loop.Buffers().SetLimit(2 * kMegabyte);
  Result large;
  Result small;
  const auto fetch = [&](const std::string& path, Result* result) {
    ClientRequest request;
    request.address = options.address;
    request.path = path;
    FetchResponse(&client, std::move(request),
                  [result](CallEnd end, int status, std::string body) {
                    *result = {end, status, std::move(body)};
                  });
  };
  fetch("/small", &small);
  fetch("/large", &large);
  EndlessServer no_server(kPort, "", "");
  no_server.RunUntil(&loop, [&] {
    loop.Buffers().Enforce();
    return streams.closed == 1;
  });
  CHECK(loop.Buffers().TotalBytes() < kMegabyte);
  LONGS_EQUAL(1, observer.overflows.size());
  CHECK(observer.overflows[0].kind == BufferKind::kOutput);
  no_server.RunUntil(&loop, [&] { return large.end.has_value(); });
  CHECK(large.end == CallEnd::kBroken);
  server.EndStream(streams.small);
  no_server.RunUntil(&loop, [&] { return small.end.has_value(); });
  CHECK(small.end == CallEnd::kComplete);
  STRCMP_EQUAL("qqqqq", small.body.c_str());
}

// Module http: heads that are no valid messages, and odd ones that are.

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "burdockhill/http.h"
#include "emulation/sockets_fake.h"
#include "tests/malformed_heads.h"

using namespace burdockhill;        // NOLINT(google-build-using-namespace)
using namespace burdockhill::http;  // NOLINT(google-build-using-namespace)

namespace {

constexpr size_t kMaxHeaderBytes = 4096;
constexpr char kCallers[] = "10.0.0.1:80";
constexpr char kLength[] = "Content-Length: 2\r\n";

// Why the message is malformed when it arrives in pieces of this size.
Malformation FaultOf(MessageKind kind, const std::string& bytes, size_t step) {
  MessageReader reader(kind, kMaxHeaderBytes);
  for (size_t at = 0; at < bytes.size(); at += step) {
    reader.Consume(bytes.substr(at, step));
  }
  CHECK_TEXT((reader.Error() == ReadError::kMalformed) ==
                 (reader.Fault() != Malformation::kNone),
             bytes.c_str());
  return reader.Fault();
}

void CheckFault(MessageKind kind, Malformation expected,
                const std::string& bytes) {
  for (const size_t step : {bytes.size(), size_t{1}, size_t{2}, size_t{7}}) {
    STRCMP_EQUAL_TEXT(
        std::string(MalformationName(expected)).c_str(),
        std::string(MalformationName(FaultOf(kind, bytes, step))).c_str(),
        bytes.c_str());
  }
}

void CheckWhole(MessageKind kind, const std::string& bytes) {
  for (const size_t step : {bytes.size(), size_t{1}, size_t{2}, size_t{7}}) {
    MessageReader reader(kind, kMaxHeaderBytes);
    for (size_t at = 0; at < bytes.size(); at += step) {
      reader.Consume(bytes.substr(at, step));
    }
    CHECK_TEXT(reader.IsComplete(), bytes.c_str());
  }
}

// Responds to each request with a status.
class StatusHandler : public ServerEvents {
 public:
  void OnRequest(ExchangeId id, Head, std::string) override {
    ++requests;
    Head head;
    head.status = status;
    head.headers.Add("X-Response-Seal", "s");
    if (!streams) return server->Respond(id, head, "body");
    server->StartStream(id, head);
    server->WriteStream(id, "body");
    server->EndStream(id);
  }
  void OnCallerDisconnected(ExchangeId) override {}
  void OnInvalidStatus(ExchangeId, int invalid) override {
    invalid_statuses.push_back(invalid);
  }

  Server* server = nullptr;
  int status = 0;
  int requests = 0;
  bool streams = false;
  std::vector<int> invalid_statuses;
};

// A server on in-memory sockets.
struct StatusServer {
  StatusServer() {
    handler.server = &server;
    server.Listen(*ParseAddress(kCallers));
  }

  emulation::SocketsFake sockets;
  ManualClock clock;
  StatusHandler handler;
  Server server{&sockets, &clock, &handler};
};

}  // namespace

TEST_GROUP(MessageSyntax){};

// Guards against a response with status 000, 0200 or 999 that is passed on, and
// against a field that is hidden in the value of another one.
TEST(MessageSyntax, HeadsAreHeldToTheirGrammar) {
  for (const MalformedHead& head : MalformedHeads(kLength)) {
    CheckFault(MessageKind::kResponse, head.reason, head.text + "ok");
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    CheckFault(MessageKind::kResponse, head.reason, interim + head.text + "ok");
  }
}

TEST(MessageSyntax, OddStatusLinesAreAllowed) {
  for (const char* line :
       {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 599 x", "HTTP/1.9 204 x",
        "HTTP/1.1  200 OK", "\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 299 a\tb",
        "HTTP/1.1 200 gr\xc3\xbc\xc3\x9f"}) {
    for (const char* end : {"\r\n", "\n"}) {
      CheckWhole(MessageKind::kResponse,
                 std::string(line) + end + kLength + end + "ok");
    }
  }
}

TEST(MessageSyntax, RequestsOfOtherVersionsAreMalformed) {
  const auto request = [](const char* line) {
    return std::string(line) + "\r\nHost: h\r\n\r\n";
  };
  for (const char* line : {"GET /x HTTP/2.0", "GET /x HTTP/0.9",
                           "GET /x HTTP/11.1", "GET /x", "GET /x HTTP/3.1"}) {
    CheckFault(MessageKind::kRequest, Malformation::kVersion, request(line));
  }
  for (const char* line : {"GET /x\ty HTTP/1.1", "GET /x\fy HTTP/1.1",
                           "GET /x\x7fy HTTP/1.1", "GET /x HTTP/1.1\rx"}) {
    CheckFault(MessageKind::kRequest, Malformation::kControlCharacter,
               request(line));
  }
  for (const char* line :
       {"GET /x HTTP/1.1", "GET /x HTTP/1.0", "\r\nGET /x HTTP/1.1"}) {
    CheckWhole(MessageKind::kRequest, request(line));
  }
}

// Guards against a request whose length an upstream sees elsewhere.
TEST(MessageSyntax, RequestsWithMalformedFieldsAreRefused) {
  StatusServer server;
  const std::string line = "POST / HTTP/1.1\r\n";
  const std::string fields = std::string("Host: h\r\n") + kLength;
  std::vector<MalformedHead> requests;
  for (const bool is_first : {true, false}) {
    for (const MalformedHead& field : MalformedFieldLines(is_first)) {
      requests.push_back({field.reason, line + (is_first ? "" : fields) +
                                            field.text +
                                            (is_first ? fields : "") + "\r\n"});
    }
  }
  for (const MalformedHead& request : requests) {
    CheckFault(MessageKind::kRequest, request.reason, request.text + "ok");
    const SocketId caller = server.sockets.ConnectAsCaller(kCallers);
    server.sockets.Inject(caller, request.text + "ok");
    const std::string output = server.sockets.DrainOutput(caller);
    CHECK_TEXT(output.starts_with("HTTP/1.1 400 "), request.text.c_str());
    STRCMP_CONTAINS("Connection: close\r\n", output.c_str());
    CHECK(server.sockets.GetConnection(caller).closed_gracefully);
  }
  LONGS_EQUAL(0, server.handler.requests);
}

TEST(MessageSyntax, OddFieldsAreAllowed) {
  for (const char* field :
       {"!#$%&'*+-.^_`|~09azAZ: x", "X-A:", "X-A: ", "X-A:b", "X-A:\tb c\td ",
        "X-A: gr\xc3\xbc\xc3\x9f", "X-A: \"(:;,)\""}) {
    for (const char* end : {"\r\n", "\n"}) {
      CheckWhole(MessageKind::kResponse, std::string("HTTP/1.1 200 OK") + end +
                                             field + end + kLength + end +
                                             "ok");
    }
  }
}

// Guards against a body whose bytes are lost or added between chunks.
TEST(MessageSyntax, ChunksAreHeldToTheirSizes) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string request =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* chunks :
       {"2\r\nokXX0\r\n\r\n", "2\r\nok\n\n0\r\n\r\n", "2\r\nok\rX0\r\n\r\n",
        "1\r\nok\r\n0\r\n\r\n", "2\rXok\r\n0\r\n\r\n", "2\nok\r\n0\r\n\r\n",
        "2 2\r\nok\r\n0\r\n\r\n", "2 x\r\nok\r\n0\r\n\r\n",
        "2;a\nb\r\nok\r\n0\r\n\r\n", "2;\x01\r\nok\r\n0\r\n\r\n",
        "+2\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n", ";a\r\nok\r\n0\r\n\r\n",
        "\r\nok\r\n0\r\n\r\n", "10000000000000002\r\nok\r\n0\r\n\r\n"}) {
    CheckFault(MessageKind::kResponse, Malformation::kChunk, response + chunks);
    CheckFault(MessageKind::kRequest, Malformation::kChunk, request + chunks);
  }
  for (const char* chunks :
       {"2\r\nok\r\n0\r\n\r\n", "02;a=\"b\";c\r\nok\r\n000\r\n\r\n",
        "2  \r\nok\r\n0;a\r\n\r\n",
        "a\r\n0123456789\r\nB\r\n0123456789a\r\n0\r\n\r\n"}) {
    CheckWhole(MessageKind::kResponse, response + chunks);
    CheckWhole(MessageKind::kRequest, request + chunks);
  }
}

// Trailers are not passed on, and the body is complete before them.
TEST(MessageSyntax, TrailersAreDroppedWhateverTheirNames) {
  const std::string begin =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  for (const char* trailer : {"X-A: b", "X A: b", "X-A : b", " X-A: b",
                              "Content-Length : 3", "X-A: b\r\n c"}) {
    for (const size_t step : {size_t{1000}, size_t{1}}) {
      const std::string text = begin + trailer + "\r\n\r\n";
      MessageReader reader(MessageKind::kResponse, kMaxHeaderBytes);
      for (size_t at = 0; at < text.size(); at += step) {
        reader.Consume(text.substr(at, step));
      }
      CHECK_TEXT(reader.IsComplete(), trailer);
      STRCMP_EQUAL("ok", reader.Body().c_str());
      LONGS_EQUAL(1, reader.MessageHead().headers.Fields().size());
    }
  }
}

// Guards against a body of an interim response that is read as a part of the
// final one, and against a 304 whose end is awaited in vain.
TEST(MessageSyntax, ResponsesThatNeverHaveABodyEndWithTheirHead) {
  for (const char* framing :
       {"Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    const std::string fields = std::string(framing) + "\r\n";
    for (const char* status : {"204", "304"}) {
      const std::string head =
          std::string("HTTP/1.1 ") + status + " X\r\n" + fields;
      MessageReader reader(MessageKind::kResponse, kMaxHeaderBytes);
      LONGS_EQUAL(head.size(), reader.Consume(head + "abc"));
      CHECK_TEXT(reader.IsComplete(), head.c_str());
      STRCMP_EQUAL("", reader.Body().c_str());
    }
    const std::string interim = "HTTP/1.1 103 X\r\n" + fields;
    const std::string final_response =
        std::string("HTTP/1.1 200 OK\r\n") + kLength + "\r\nok";
    const std::string interim_with_body = interim + "abc";
    CheckWhole(MessageKind::kResponse, interim + final_response);
    CheckFault(MessageKind::kResponse, Malformation::kStartLine,
               interim_with_body + final_response);
  }
}

// Guards against a status that is written whatever it is, wherever it comes
// from.
TEST(MessageSyntax, ServersReplaceStatusesOfNoFinalResponse) {
  StatusServer server;
  const SocketId caller = server.sockets.ConnectAsCaller(kCallers);
  for (const int status : {0, -1, 2, 20, 99, 100, 101, 199, 600, 999, 2000}) {
    server.handler.status = status;
    for (const bool streams : {false, true}) {
      server.handler.streams = streams;
      server.sockets.Inject(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      const std::string output = server.sockets.DrainOutput(caller);
      STRCMP_CONTAINS("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n",
                      output.c_str());
      CHECK(output.find("body") == std::string::npos);
      LONGS_EQUAL(status, server.handler.invalid_statuses.back());
    }
  }
  server.handler.status = 599;
  server.sockets.Inject(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 599 ", server.sockets.DrainOutput(caller).c_str());
}

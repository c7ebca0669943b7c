// Module http: properties of the parser for messages of odd parts.

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <regex>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "burdockhill/http.h"

using namespace burdockhill::http;  // NOLINT(google-build-using-namespace)

namespace {

constexpr size_t kMaxHeaderBytes = 4096;

// A sound response with up to two odd parts inserted.
std::string MakeMessage() {
  const std::string framed = "A: b\r\nContent-Length: 3\r\n\r\nabc";
  const std::vector<std::string> sound = {
      "HTTP/1.1 200 OK\r\n" + framed,
      "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2;x=y\r\nab\r\n1\r\nc\r\n0\r\nC: d\r\n\r\n",
      "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.0 404 X\r\n" + framed};
  const std::vector<std::string> parts = {"0",
                                          "3",
                                          " ",
                                          "\t",
                                          "\r\n",
                                          "\r",
                                          "\n",
                                          ":",
                                          ";",
                                          "A",
                                          "A: b",
                                          "\r\n\r\n",
                                          "abc",
                                          "\x01",
                                          "/",
                                          "\xc3",
                                          " A: b",
                                          "\r\n b",
                                          "HTTP/1.1 200 OK\r\n"};
  std::string message = *rc::gen::elementOf(sound);
  for (int count = *rc::gen::inRange(0, 3); count > 0; --count) {
    const size_t head_size = message.rfind("\r\n\r\n") + 1;
    message.insert(*rc::gen::inRange<size_t>(0, head_size),
                   *rc::gen::elementOf(parts));
  }
  return message;
}

// What is read of a response that arrives in pieces of this size.
std::tuple<ReadError, Malformation, bool, size_t, int, std::string> Read(
    const std::string& message, size_t step) {
  MessageReader reader(MessageKind::kResponse, kMaxHeaderBytes);
  size_t consumed = 0;
  for (size_t at = 0; at < message.size(); at += step) {
    consumed += reader.Consume(message.substr(at, step));
  }
  return {reader.Error(),
          reader.Fault(),
          reader.HasHead(),
          reader.IsComplete() ? consumed : 0,
          reader.IsComplete() ? reader.MessageHead().status : 0,
          reader.Body()};
}

}  // namespace

TEST_GROUP(MessageSyntaxProperties){};

// Guards against bytes whose meaning depends on where a read ends.
TEST(MessageSyntaxProperties, TheSizeOfThePiecesMakesNoDifference) {
  CHECK(rc::check([] {
    const std::string message = MakeMessage();
    const auto whole = Read(message, message.size() + 1);
    for (size_t step = 1; step < 4; ++step) {
      RC_ASSERT(Read(message, step) == whole);
    }
  }));
}

// Guards against a whole response one of whose lines is not of the grammar.
TEST(MessageSyntaxProperties, TheHeadsOfWhatIsWholeAreOfTheGrammar) {
  const std::regex status_line(
      "HTTP/1[.][0-9] +[1-5][0-9][0-9]( [^\\x00-\\x08\\x0a-\\x1f\\x7f]*)?");
  const std::regex field_line(
      "[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\\x01-\\x08\\x0a-\\x1f\\x7f]*");
  CHECK(rc::check([&] {
    const std::string message = MakeMessage();
    MessageReader reader(MessageKind::kResponse, kMaxHeaderBytes);
    reader.Consume(message);
    if (!reader.IsComplete()) return;
    std::istringstream lines(message.substr(message.find("HTTP/")));
    std::string line;
    bool is_interim = true;
    while (is_interim) {
      std::getline(lines, line);
      if (line.ends_with('\r')) line.pop_back();
      if (line.empty()) continue;  // Before an interim or the final response.
      RC_ASSERT(std::regex_match(line, status_line));
      is_interim = reader.MessageHead().status !=
                   std::stoi(line.substr(line.find_first_not_of(' ', 8)));
      while (std::getline(lines, line) && !line.empty() && line != "\r") {
        if (line.ends_with('\r')) line.pop_back();
        RC_ASSERT(std::regex_match(line, field_line));
      }
    }
  }));
}

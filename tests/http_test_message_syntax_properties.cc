// Module http: properties of the parser for messages of odd parts.

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cctype>
#include <sstream>
#include <string>
#include <string_view>
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

// The next line, without its end.
std::string ReadLine(std::istringstream* lines) {
  std::string line;
  std::getline(*lines, line);
  if (line.ends_with('\r')) line.pop_back();
  return line;
}

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c == '\t' || std::iscntrl(c) == 0;
  });
}

// The three digits of a status line of HTTP/1.x; -1 if it is none.
int StatusOf(const std::string& line) {
  constexpr size_t kVersionSize = 8;
  const size_t start = line.find_first_not_of(' ', kVersionSize);
  if (!line.starts_with("HTTP/1.") || std::isdigit(line[7]) == 0 ||
      start == kVersionSize || start == std::string::npos || !IsText(line)) {
    return -1;
  }
  const std::string status = line.substr(start, line.find(' ', start) - start);
  const bool is_number = status.size() == 3 &&
                         std::all_of(status.begin(), status.end(), ::isdigit);
  return is_number ? std::stoi(status) : -1;
}

bool IsFieldLine(std::string_view line) {
  constexpr std::string_view kTokens =
      "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"
      "abcdefghijklmnopqrstuvwxyz";
  const size_t end = line.find_first_not_of(kTokens);
  return end != 0 && end != std::string_view::npos && line[end] == ':' &&
         IsText(line.substr(end));
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
  CHECK(rc::check([] {
    const std::string message = MakeMessage();
    MessageReader reader(MessageKind::kResponse, kMaxHeaderBytes);
    reader.Consume(message);
    if (!reader.IsComplete()) return;
    std::istringstream lines(message.substr(message.find("HTTP/")));
    int status = 0;
    while (status != reader.MessageHead().status) {
      std::string line = ReadLine(&lines);
      if (line.empty()) continue;  // Before an interim or the final response.
      status = StatusOf(line);
      RC_ASSERT(IsStatus(status));
      while (!(line = ReadLine(&lines)).empty()) RC_ASSERT(IsFieldLine(line));
    }
  }));
}

#ifndef BURDOCKHILL_TESTS_MALFORMED_HEADS_H_
#define BURDOCKHILL_TESTS_MALFORMED_HEADS_H_

#include <string>
#include <vector>

#include "burdockhill/http.h"

namespace burdockhill {

struct MalformedHead {
  http::Malformation reason = http::Malformation::kNone;
  std::string text;
};

// Status lines that RFC 9112, section 4, does not allow.
inline std::vector<MalformedHead> MalformedStatusLines() {
  std::vector<MalformedHead> lines;
  for (const char* status :
       {"000",  "099",  "99",  "20",   "2",    "0200", "00200",
        "0503", "600",  "999", "2 00", "1000", "2000", "200200",
        "-200", "+200", "2x0", "204x", "101",  "",     "20\t0"}) {
    lines.push_back({http::Malformation::kStatus,
                     "HTTP/1.1 " + std::string(status) + " X\r\n"});
  }
  for (const char* version :
       {"HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/3.7", "HTTP/11.1", "HTTP/1",
        "HTTP/1.10", "HTTP/1.x", "HTTP/1. 1"}) {
    lines.push_back(
        {http::Malformation::kVersion, std::string(version) + " 200 X\r\n"});
  }
  for (const char* protocol : {"ICY", "http/1.1", "HTTPS/1.1", " HTTP/1.1"}) {
    lines.push_back(
        {http::Malformation::kStartLine, std::string(protocol) + " 200 X\r\n"});
  }
  for (const char* reason : {"O\x01K", "O\x7fK", "\x1b[1m", "OK\rOK"}) {
    lines.push_back({http::Malformation::kControlCharacter,
                     "HTTP/1.1 200 " + std::string(reason) + "\r\n"});
  }
  lines.push_back(
      {http::Malformation::kControlCharacter, "\rHTTP/1.1 200 X\r\n"});
  return lines;
}

// Lines of fields that RFC 9112, section 5, does not allow, or allows to
// discard. `is_first` says whether no other field precedes the line.
inline std::vector<MalformedHead> MalformedFieldLines(bool is_first) {
  using namespace std::string_literals;  // NOLINT(google-build-using-namespace)
  std::vector<MalformedHead> lines;
  for (const std::string& name :
       {"X A: b"s, "X-A : b"s, "X-A\t: b"s, "X\x01-A: b"s, "X\0-A: b"s,
        "X-A\x7f: b"s, "X\r-A: b"s, "X\x80-A: b"s, "X-\xc3\xa4: b"s, ": b"s,
        "X-A"s, "X(A): b"s, "Content-Length : 3"s, "Content Length: 3"s,
        "Transfer-Encoding : chunked"s}) {
    lines.push_back({http::Malformation::kFieldName, name + "\r\n"});
  }
  for (const char* folded : {" X-A: b", "\tX-A: b", " Content-Length: 3",
                             "\tTransfer-Encoding: chunked", " ", "\t"}) {
    lines.push_back({is_first ? http::Malformation::kFieldName
                              : http::Malformation::kFoldedField,
                     std::string(folded) + "\r\n"});
  }
  for (const char* folded : {"X-A: b\r\n c", "X-A: b\n c", "X-A:\r\n\tb"}) {
    lines.push_back(
        {http::Malformation::kFoldedField, std::string(folded) + "\r\n"});
  }
  for (const std::string& value : {"X-A: b\x01"s, "X-A: \0"s, "X-A: b\x7f"s,
                                   "X-A: b\rc"s, "X-A:\x1b[m"s}) {
    lines.push_back({http::Malformation::kControlCharacter, value + "\r\n"});
  }
  return lines;
}

// Heads of malformed responses that have the given fields besides. The fields
// are lines that end in CR LF.
inline std::vector<MalformedHead> MalformedHeads(const std::string& fields) {
  std::vector<MalformedHead> heads;
  const auto add = [&](http::Malformation reason,
                       const std::vector<std::string>& lines) {
    std::string head;
    for (const std::string& line : lines) head += line;
    heads.push_back({reason, head + "\r\n"});
  };
  const std::string status = "HTTP/1.1 200 X\r\n";
  for (const MalformedHead& line : MalformedStatusLines()) {
    add(line.reason, {line.text, fields});
  }
  for (const MalformedHead& line : MalformedFieldLines(/*is_first=*/true)) {
    add(line.reason, {status, line.text, fields});
  }
  for (const MalformedHead& line : MalformedFieldLines(/*is_first=*/false)) {
    add(line.reason, {status, fields, line.text});
  }
  return heads;
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_MALFORMED_HEADS_H_

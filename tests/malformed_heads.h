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
  return lines;
}

// Heads of malformed responses that have the given fields besides. The fields
// are lines that end in CR LF.
inline std::vector<MalformedHead> MalformedHeads(const std::string& fields) {
  std::vector<MalformedHead> heads;
  for (const MalformedHead& line : MalformedStatusLines()) {
    heads.push_back({line.reason, line.text + fields + "\r\n"});
  }
  return heads;
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_MALFORMED_HEADS_H_

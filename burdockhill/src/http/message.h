#ifndef BURDOCKHILL_SRC_HTTP_MESSAGE_H_
#define BURDOCKHILL_SRC_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"

namespace burdockhill::http {

// Status codes that the router generates or handles specially.
inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kBodyTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeaderTooLarge = 431;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Header fields in the order of the message. Names are case-insensitive.
class Headers {
 public:
  struct Field {
    std::string name;
    std::string value;
  };

  void Add(std::string name, std::string value);
  // Replaces all fields of that name.
  void Set(const std::string& name, std::string value);
  void Remove(std::string_view name);
  // Returns the value of the first field of that name, or nullptr.
  const std::string* Find(std::string_view name) const;
  // Whether a comma-separated field of that name contains `token`, ignoring
  // case.
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Field>& Fields() const { return m_fields; }

 private:
  std::vector<Field> m_fields;
};

bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Whether the text can be a part of a header field or of a target: visible
// ASCII characters only, and at least one.
bool IsFieldText(std::string_view text);

// Parses a non-negative decimal number. Returns nullopt for an empty text, a
// sign, white space or overflow.
std::optional<int64_t> ParseNumber(std::string_view text);

// Start line and header fields of a request or a response.
struct Head {
  std::string method;  // Requests only.
  std::string target;  // Requests only: path and query, not decoded.
  int status = 0;      // Responses only.
  Headers headers;
  bool keep_alive = true;
  bool chunked = false;
  bool allows_interim = true;  // Requests only: of HTTP/1.1.
  std::optional<uint64_t> content_length;
};

// What marks the end of a message's body.
enum class BodyFraming {
  kLength,      // Content-Length.
  kChunked,     // The last chunk.
  kConnection,  // Only the end of the connection; responses only.
};

// Framing of the body of a response that has one.
BodyFraming FramingOf(const Head& head);
// The framing in a word, for logs and metrics.
std::string_view FramingName(BodyFraming framing);

// Removes the fields that must not be forwarded to another connection: the
// hop-by-hop fields (Connection and the fields that it lists, Keep-Alive,
// Transfer-Encoding, TE, Trailer, Upgrade, Proxy-Connection) and those that the
// router sets or handles itself (Content-Length, Expect).
void RemoveConnectionHeaders(Headers* headers);

// Formats the request line, Host, the fields of `head` and, for a non-empty
// body or a POST, PUT or PATCH, Content-Length. `body_size` is in bytes.
std::string FormatRequest(const Head& head, std::string_view host,
                          size_t body_size);

// What a response says of its connection.
struct ConnectionNotice {
  bool keep_alive = false;  // Else "Connection: close".
  // For how long the connection is kept without a further request. Said in
  // whole seconds, and only if there is at least one.
  Duration idle_timeout{0};
};

// Formats the status line, the fields of `head`, the framing of the body
// (Content-Length for `body_size` in bytes, or chunked for nullopt) and the
// notice.
std::string FormatResponse(const Head& head, std::optional<size_t> body_size,
                           const ConnectionNotice& notice);

std::string FormatChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_MESSAGE_H_

#ifndef BURDOCKHILL_SRC_HTTP_MESSAGE_H_
#define BURDOCKHILL_SRC_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhill::http {

// Status codes that the router itself sends or reacts to.
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

// Header fields in the order in which they came. Names compare without case.
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
  // The first value, or nullptr.
  const std::string* Find(std::string_view name) const;
  // Whether `token` stands in a comma-separated list of that name.
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Field>& Fields() const { return m_fields; }

 private:
  std::vector<Field> m_fields;
};

bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// A non-negative decimal number without sign or blanks; nullopt otherwise.
std::optional<int64_t> ParseNumber(std::string_view text);

// Start line and header of a request or an answer.
struct Head {
  std::string method;  // Requests only.
  std::string target;  // Requests only: path and query as they came.
  int status = 0;      // Answers only.
  Headers headers;
  bool keep_alive = true;
  bool chunked = false;
  std::optional<uint64_t> content_length;
};

// Removes what concerns one connection only: Connection and the fields that it
// names, Keep-Alive, Transfer-Encoding, Content-Length, Upgrade, TE, Trailer,
// Proxy-Connection and Expect.
void RemoveConnectionHeaders(Headers* headers);

// Start line, header fields as given, and Content-Length for `body_size`.
std::string FormatRequest(const Head& head, std::string_view host,
                          size_t body_size);

// The same for an answer; with nullopt the body follows in chunks.
std::string FormatResponse(const Head& head, std::optional<size_t> body_size,
                           bool keep_alive);

std::string FormatChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_MESSAGE_H_

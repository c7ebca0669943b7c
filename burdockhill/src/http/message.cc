#include "burdockhill/src/http/message.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace burdockhill::http {

namespace {

constexpr std::string_view kCrlf = "\r\n";

constexpr std::array<std::string_view, 9> kUnforwardedHeaders = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "TE",    "Content-Length",
    "Upgrade",    "Trailer",    "Proxy-Connection",  "Expect"};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// Calls `visit` with each element of a comma-separated list, without the white
// space around it.
template <typename Visitor>
void ForEachToken(std::string_view list, Visitor visit) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    visit(Trim(list.substr(0, comma)));
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

void AppendFields(const Headers& headers, std::string* out) {
  for (const Headers::Field& field : headers.Fields()) {
    out->append(field.name).append(": ").append(field.value).append(kCrlf);
  }
}

const char* ReasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

bool IsFieldText(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c <= '~';
  });
}

std::optional<int64_t> ParseNumber(std::string_view text) {
  if (text.empty() || text.front() == '-') return std::nullopt;
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

void Headers::Add(std::string name, std::string value) {
  m_fields.push_back({std::move(name), std::move(value)});
}

void Headers::Set(const std::string& name, std::string value) {
  Remove(name);
  Add(name, std::move(value));
}

void Headers::Remove(std::string_view name) {
  std::erase_if(m_fields, [&](const Field& field) {
    return EqualsIgnoringCase(field.name, name);
  });
}

const std::string* Headers::Find(std::string_view name) const {
  for (const Field& field : m_fields) {
    if (EqualsIgnoringCase(field.name, name)) return &field.value;
  }
  return nullptr;
}

bool Headers::HasToken(std::string_view name, std::string_view token) const {
  bool found = false;
  for (const Field& field : m_fields) {
    if (!EqualsIgnoringCase(field.name, name)) continue;
    ForEachToken(field.value, [&](std::string_view element) {
      found = found || EqualsIgnoringCase(element, token);
    });
  }
  return found;
}

BodyFraming FramingOf(const Head& head) {
  if (head.chunked) return BodyFraming::kChunked;
  return head.content_length.has_value() ? BodyFraming::kLength
                                         : BodyFraming::kConnection;
}

std::string_view FramingName(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kConnection:
      return "connection";
  }
  return "unknown";
}

void RemoveConnectionHeaders(Headers* headers) {
  std::vector<std::string> listed_names;
  for (const Headers::Field& field : headers->Fields()) {
    if (!EqualsIgnoringCase(field.name, "Connection")) continue;
    ForEachToken(field.value, [&](std::string_view element) {
      listed_names.emplace_back(element);
    });
  }
  for (const std::string& name : listed_names) headers->Remove(name);
  for (const std::string_view name : kUnforwardedHeaders) headers->Remove(name);
}

std::string FormatRequest(const Head& head, std::string_view host,
                          size_t body_size) {
  std::string out;
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\nHost: ").append(host).append(kCrlf);
  AppendFields(head.headers, &out);
  const bool has_body = body_size > 0 || head.method == "POST" ||
                        head.method == "PUT" || head.method == "PATCH";
  if (has_body) {
    out.append("Content-Length: ").append(std::to_string(body_size));
    out.append(kCrlf);
  }
  out.append(kCrlf);
  return out;
}

std::string FormatResponse(const Head& head, std::optional<size_t> body_size,
                           const ConnectionNotice& notice) {
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " " +
                    ReasonPhrase(head.status) + "\r\n";
  AppendFields(head.headers, &out);
  if (body_size.has_value()) {
    out.append("Content-Length: ").append(std::to_string(*body_size));
    out.append(kCrlf);
  } else {
    out.append("Transfer-Encoding: chunked\r\n");
  }
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(notice.idle_timeout);
  if (!notice.keep_alive) {
    out.append("Connection: close\r\n");
  } else if (seconds.count() > 0) {
    out.append("Keep-Alive: timeout=").append(std::to_string(seconds.count()));
    out.append(kCrlf);
  }
  out.append(kCrlf);
  return out;
}

std::string FormatChunk(std::string_view bytes) {
  constexpr int kHexBase = 16;
  std::array<char, sizeof(size_t) * 2> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes.size(), kHexBase)
                       .ptr;
  std::string out(digits.data(), end);
  out.append(kCrlf).append(bytes).append(kCrlf);
  return out;
}

}  // namespace burdockhill::http

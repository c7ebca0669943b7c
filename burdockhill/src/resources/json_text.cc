#include "burdockhill/src/resources/json_text.h"

namespace burdockhill {

namespace {

constexpr size_t kNone = std::string_view::npos;

// Reads the text from left to right. Its functions return false at a place
// where a JSON document has something else.
class Cursor {
 public:
  explicit Cursor(std::string_view text) : m_text(text) {}

  // Skips white space and this character.
  bool Skip(char expected) {
    SkipSpace();
    if (m_at >= m_text.size() || m_text[m_at] != expected) return false;
    ++m_at;
    return true;
  }

  // Skips white space and a value, which is left in `value`.
  bool SkipValue(std::string_view* value) {
    SkipSpace();
    const size_t start = m_at;
    if (!SkipNested()) return false;
    *value = m_text.substr(start, m_at - start);
    return m_at > start;
  }

  // Whether only white space is left.
  bool IsAtEnd() {
    SkipSpace();
    return m_at >= m_text.size();
  }

 private:
  void SkipSpace() {
    const size_t next = m_text.find_first_not_of(" \t\r\n", m_at);
    m_at = next == kNone ? m_text.size() : next;
  }

  // Skips a string, of which m_at is the first quotation mark.
  bool SkipString() {
    for (++m_at; m_at < m_text.size(); ++m_at) {
      if (m_text[m_at] == '\\') {
        ++m_at;
      } else if (m_text[m_at] == '"') {
        ++m_at;
        return true;
      }
    }
    return false;
  }

  // Counts brackets in place of recursing, since they may be nested deeply.
  bool SkipNested() {
    size_t depth = 0;
    while (m_at < m_text.size()) {
      const char c = m_text[m_at];
      const bool ends_scalar = c == ',' || c == ']' || c == '}' || c == ' ' ||
                               c == '\t' || c == '\r' || c == '\n';
      if (depth == 0 && ends_scalar) return true;
      if (c == '"') {
        if (!SkipString()) return false;
        if (depth == 0) return true;
        continue;
      }
      ++m_at;
      if (c == '[' || c == '{') ++depth;
      if (c == ']' || c == '}') --depth;
      if (depth == 0 && (c == ']' || c == '}')) return true;
    }
    return depth == 0;
  }

  std::string_view m_text;
  size_t m_at = 0;
};

}  // namespace

std::optional<std::vector<std::string_view>> JsonElements(
    std::string_view text) {
  Cursor cursor(text);
  if (!cursor.Skip('[')) return std::nullopt;
  std::vector<std::string_view> elements;
  if (cursor.Skip(']')) return elements;
  for (;;) {
    std::string_view element;
    if (!cursor.SkipValue(&element)) return std::nullopt;
    elements.push_back(element);
    if (cursor.Skip(']')) return elements;
    if (!cursor.Skip(',')) return std::nullopt;
  }
}

std::optional<std::string_view> JsonMember(std::string_view text,
                                           std::string_view name) {
  Cursor cursor(text);
  if (!cursor.Skip('{')) return std::nullopt;
  do {
    std::string_view key;
    std::string_view value;
    if (!cursor.SkipValue(&key) || !cursor.Skip(':') ||
        !cursor.SkipValue(&value)) {
      return std::nullopt;
    }
    const bool quoted = key.size() >= 2 && key.front() == '"';
    if (quoted && key.substr(1, key.size() - 2) == name) return value;
  } while (cursor.Skip(','));
  return std::nullopt;
}

std::vector<std::pair<std::string_view, std::string_view>> JsonMembers(
    std::string_view text) {
  std::vector<std::pair<std::string_view, std::string_view>> members;
  Cursor cursor(text);
  if (!cursor.Skip('{')) return members;
  do {
    std::string_view name;
    std::string_view value;
    if (!cursor.SkipValue(&name) || !cursor.Skip(':') ||
        !cursor.SkipValue(&value)) {
      break;
    }
    members.emplace_back(name, value);
  } while (cursor.Skip(','));
  return members;
}

bool IsWholeJsonObject(std::string_view text) {
  Cursor cursor(text);
  std::string_view value;
  return cursor.SkipValue(&value) && value.front() == '{' &&
         value.back() == '}' && cursor.IsAtEnd();
}

}  // namespace burdockhill

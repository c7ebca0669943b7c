#include "burdockhill/src/resources/untrusted_json.h"

#include <nlohmann/json.hpp>

namespace burdockhill {

namespace {

// No message of any known system comes near this.
constexpr int kMaxNesting = 100;

// Counts the brackets outside of strings. The text may be invalid.
bool IsNestedTooDeeply(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxNesting) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

nlohmann::json ParseUntrustedJson(std::string_view text) {
  if (IsNestedTooDeeply(text)) return nlohmann::json::value_t::discarded;
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace burdockhill

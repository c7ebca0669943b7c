#include "burdockhill/src/resources/field_reader.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace burdockhill {

std::string FormatErrors(const FieldErrors& errors) {
  std::string text;
  for (const FieldError& error : errors) {
    if (error.line > 0) text += "line " + std::to_string(error.line) + ": ";
    if (!error.path.empty()) text += error.path + ": ";
    text += error.message + "\n";
  }
  return text;
}

namespace internal {

namespace {

using nlohmann::json;

// Iterator over a text that counts the line breaks read so far in `line`.
class LineCountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineCountingIterator(const char* at, int* line) : m_at(at), m_line(line) {}
  reference operator*() const { return *m_at; }
  LineCountingIterator& operator++() {
    if (*m_at == '\n') ++*m_line;
    ++m_at;
    return *this;
  }
  bool operator==(const LineCountingIterator& other) const {
    return m_at == other.m_at;
  }
  bool operator!=(const LineCountingIterator& other) const {
    return m_at != other.m_at;
  }

 private:
  const char* m_at;
  int* m_line;
};

// Records the line of every field, by JSON pointer, while the text is parsed.
class LineRecorder : public nlohmann::json_sax<json> {
 public:
  explicit LineRecorder(const int* line) : m_line(line) {}
  const std::map<std::string, int>& Lines() const { return m_lines; }

  bool null() override { return OnValue(); }
  bool boolean(bool /*value*/) override { return OnValue(); }
  bool number_integer(number_integer_t /*value*/) override { return OnValue(); }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return OnValue();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return OnValue();
  }
  bool string(string_t& /*value*/) override { return OnValue(); }
  bool binary(binary_t& /*value*/) override { return OnValue(); }
  bool start_object(std::size_t /*count*/) override {
    return OnContainerBegin(false);
  }
  bool start_array(std::size_t /*count*/) override {
    return OnContainerBegin(true);
  }
  bool end_object() override { return OnContainerEnd(); }
  bool end_array() override { return OnContainerEnd(); }
  bool key(string_t& name) override {
    m_levels.back().name = name;
    m_lines.emplace(CurrentPath(), *m_line);
    return true;
  }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  struct Level {
    bool is_array = false;
    size_t index = 0;
    std::string name;
  };

  bool OnValue() {
    if (m_levels.empty() || !m_levels.back().is_array) return true;
    m_lines.emplace(CurrentPath(), *m_line);
    ++m_levels.back().index;
    return true;
  }
  bool OnContainerBegin(bool is_array) {
    if (!m_levels.empty() && m_levels.back().is_array) {
      m_lines.emplace(CurrentPath(), *m_line);
    }
    m_levels.push_back({is_array, 0, {}});
    return true;
  }
  bool OnContainerEnd() {
    m_levels.pop_back();
    if (!m_levels.empty() && m_levels.back().is_array) ++m_levels.back().index;
    return true;
  }
  std::string CurrentPath() const {
    std::string path;
    for (const Level& level : m_levels) {
      path += '/';
      path += level.is_array ? std::to_string(level.index) : level.name;
    }
    return path;
  }

  const int* m_line;
  std::vector<Level> m_levels;
  std::map<std::string, int> m_lines;
};

}  // namespace

FieldReader::FieldReader(const json& object, std::string path,
                         FieldErrors* errors)
    : m_object(object), m_path(std::move(path)), m_errors(errors) {
  if (!object.is_object()) {
    m_errors->push_back({m_path, "must be an object"});
  }
}

const json* FieldReader::RawField(const char* name, Presence presence) {
  m_read_fields.insert(name);
  if (!m_object.is_object()) return nullptr;
  const auto found = m_object.find(name);
  if (found != m_object.end()) return &*found;
  if (presence == Presence::kRequired) AddError(name, "is required");
  return nullptr;
}

void FieldReader::Read(const char* name, Presence presence,
                       std::string* target) {
  const json* value = RawField(name, presence);
  if (value == nullptr) return;
  if (!value->is_string()) return AddError(name, "must be a string");
  *target = value->get<std::string>();
  if (presence == Presence::kRequired && target->empty()) {
    AddError(name, "must not be empty");
  }
}

void FieldReader::Read(const char* name, Presence presence, bool* target) {
  const json* value = RawField(name, presence);
  if (value == nullptr) return;
  if (!value->is_boolean()) return AddError(name, "must be true or false");
  *target = value->get<bool>();
}

void FieldReader::Read(const char* name, Presence presence, int64_t low,
                       int64_t high, int64_t* target) {
  const json* value = RawField(name, presence);
  if (value == nullptr) return;
  const std::string range = "must be a whole number from " +
                            std::to_string(low) + " to " + std::to_string(high);
  if (!value->is_number_integer()) return AddError(name, range);
  const auto number = value->get<int64_t>();
  if (number < low || number > high) return AddError(name, range);
  *target = number;
}

void FieldReader::ReadMilliseconds(const char* name, Presence presence,
                                   Duration* target) {
  constexpr int64_t kMaxMilliseconds =
      std::chrono::milliseconds(std::chrono::hours(24)).count();
  int64_t value =
      std::chrono::duration_cast<std::chrono::milliseconds>(*target).count();
  Read(name, presence, 1, kMaxMilliseconds, &value);
  *target = std::chrono::milliseconds(value);
}

void FieldReader::ReadChoice(const char* name, Presence presence,
                             const std::vector<std::string>& values,
                             size_t* target) {
  std::string text = values[*target];
  Read(name, presence, &text);
  const auto found = std::find(values.begin(), values.end(), text);
  if (found != values.end()) {
    *target = static_cast<size_t>(found - values.begin());
    return;
  }
  std::string message = "must be one of";
  for (const std::string& value : values) message += " \"" + value + "\"";
  AddError(name, message);
}

void FieldReader::Read(const char* name, Presence presence,
                       std::vector<std::string>* target) {
  const json* value = RawField(name, presence);
  if (value == nullptr) return;
  if (!value->is_array()) return AddError(name, "must be an array of strings");
  target->clear();
  for (const json& item : *value) {
    if (!item.is_string()) return AddError(name, "must be an array of strings");
    target->push_back(item.get<std::string>());
  }
}

void FieldReader::ReadObjects(const char* name, Presence presence,
                              const std::function<void(FieldReader*)>& read) {
  const json* value = RawField(name, presence);
  if (value == nullptr) return;
  if (!value->is_array()) return AddError(name, "must be an array of objects");
  size_t index = 0;
  for (const json& element : *value) {
    FieldReader reader(
        element, m_path + "/" + name + "/" + std::to_string(index), m_errors);
    read(&reader);
    reader.RejectUnknownFields();
    ++index;
  }
}

void FieldReader::ReadObject(const char* name, Presence presence,
                             const std::function<void(FieldReader*)>& read) {
  const json* value = RawField(name, presence);
  if (value == nullptr) return;
  FieldReader reader(*value, m_path + "/" + name, m_errors);
  read(&reader);
  reader.RejectUnknownFields();
}

void FieldReader::AddError(const std::string& name,
                           const std::string& message) {
  m_errors->push_back({m_path + "/" + name, message});
}

void FieldReader::RejectUnknownFields() {
  if (!m_object.is_object()) return;
  for (const auto& [name, value] : m_object.items()) {
    if (!m_read_fields.contains(name)) AddError(name, "is not a known field");
  }
}

bool FieldReader::IsValidName(const std::string& text) {
  constexpr size_t kMaxNameLength = 63;
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.';
  });
}

bool ParseJson(const std::string& text, json* value, FieldErrors* errors) {
  try {
    *value = json::parse(text, nullptr, /*allow_exceptions=*/true,
                         /*ignore_comments=*/true);
    return true;
  } catch (const json::parse_error& error) {
    const size_t end = std::min(error.byte, text.size());
    const auto line =
        1 + std::count(text.begin(),
                       text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
    errors->push_back({"", "is not valid JSON", static_cast<int>(line)});
    return false;
  }
}

void AddLineNumbers(const std::string& text, FieldErrors* errors) {
  if (errors->empty()) return;
  int line = 1;
  LineRecorder recorder(&line);
  const char* end = text.data() + text.size();
  json::sax_parse(LineCountingIterator(text.data(), &line),
                  LineCountingIterator(end, &line), &recorder,
                  json::input_format_t::json, /*strict=*/true,
                  /*ignore_comments=*/true);
  for (FieldError& error : *errors) {
    if (error.line > 0) continue;
    const auto found = recorder.Lines().find(error.path);
    if (found != recorder.Lines().end()) error.line = found->second;
  }
}

}  // namespace internal
}  // namespace burdockhill

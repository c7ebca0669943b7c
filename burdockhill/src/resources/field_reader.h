#ifndef BURDOCKHILL_SRC_RESOURCES_FIELD_READER_H_
#define BURDOCKHILL_SRC_RESOURCES_FIELD_READER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/resources/field_error.h"

namespace burdockhill::internal {

// Whether a field must be present.
enum class Presence { kRequired, kOptional };

// Reads the fields of one JSON object strictly: a wrong type, a value out of
// range, a missing required field and an unknown field each add an error. A
// target keeps its value if its field is absent or has a wrong type or range.
class FieldReader {
 public:
  // `path` is the JSON pointer of `object`. `object` and `errors` must outlive
  // the reader.
  FieldReader(const nlohmann::json& object, std::string path,
              FieldErrors* errors);

  // A required string must not be empty.
  void Read(const char* name, Presence presence, std::string* target);
  void Read(const char* name, Presence presence, bool* target);
  // An integer from `low` to `high`.
  void Read(const char* name, Presence presence, int64_t low, int64_t high,
            int64_t* target);
  // An integer number of milliseconds, from 1 to 24 hours.
  void ReadMilliseconds(const char* name, Presence presence, Duration* target);
  // One of `values`. `target` is an index into `values`: the default before the
  // call, the value read after it.
  void ReadChoice(const char* name, Presence presence,
                  const std::vector<std::string>& values, size_t* target);
  void Read(const char* name, Presence presence,
            std::vector<std::string>* target);
  // Calls `read` with a reader for each object of an array.
  void ReadObjects(const char* name, Presence presence,
                   const std::function<void(FieldReader*)>& read);
  // Calls `read` with a reader for a nested object.
  void ReadObject(const char* name, Presence presence,
                  const std::function<void(FieldReader*)>& read);

  template <typename Tag>
  void Read(const char* name, Presence presence, NameId<Tag>* target) {
    std::string text = target->Value();
    Read(name, presence, &text);
    if (!text.empty() && !IsValidName(text)) {
      AddError(name, "must be 1 to 63 of a-z, 0-9, '-' and '.'");
      return;
    }
    *target = NameId<Tag>(text);
  }

  // The unparsed value of the field, which counts as read; nullptr if absent.
  const nlohmann::json* RawField(const char* name, Presence presence);

  // Adds an error about the field.
  void AddError(const std::string& name, const std::string& message);

  // Adds an error for each field of the object that was not read.
  void RejectUnknownFields();

 private:
  static bool IsValidName(const std::string& text);

  const nlohmann::json& m_object;
  std::string m_path;
  FieldErrors* m_errors;
  std::set<std::string> m_read_fields;
};

// Parses JSON that may have comments. Returns false and adds an error with its
// line if the text is not valid.
bool ParseJson(const std::string& text, nlohmann::json* value,
               FieldErrors* errors);

// Sets the line of each error that has none to that of its field in `text`.
void AddLineNumbers(const std::string& text, FieldErrors* errors);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_RESOURCES_FIELD_READER_H_

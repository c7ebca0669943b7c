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

// Whether a field may be left out.
enum class Need { kRequired, kOptional };

// Reads the fields of one JSON object strictly: a wrong type, a value out of
// range, a missing required field and an unknown field each add an error. A
// target keeps its default when its field is absent or wrong.
class FieldReader {
 public:
  // `errors` must outlive the reader; `path` is the pointer of `object`.
  FieldReader(const nlohmann::json& object, std::string path,
              FieldErrors* errors);

  void Read(const char* name, Need need, std::string* target);
  void Read(const char* name, Need need, bool* target);
  void Read(const char* name, Need need, int64_t low, int64_t high,
            int64_t* target);
  // A whole number of milliseconds, at least 1.
  void ReadMilliseconds(const char* name, Need need, Duration* target);
  // One of `values`; `target` becomes its index.
  void ReadChoice(const char* name, Need need,
                  const std::vector<std::string>& values, size_t* target);
  void Read(const char* name, Need need, std::vector<std::string>* target);
  // Calls `read` with a reader for each object of an array.
  void ReadObjects(const char* name, Need need,
                   const std::function<void(FieldReader*)>& read);
  // Calls `read` with a reader for a nested object.
  void ReadObject(const char* name, Need need,
                  const std::function<void(FieldReader*)>& read);

  template <typename Tag>
  void Read(const char* name, Need need, NameId<Tag>* target) {
    std::string text = target->Value();
    Read(name, need, &text);
    if (!text.empty() && !IsName(text)) {
      Fail(name, "must be 1 to 63 of a-z, 0-9, '-' and '.'");
      return;
    }
    *target = NameId<Tag>(text);
  }

  // The field as it is, marked as read; nullptr when absent.
  const nlohmann::json* Raw(const char* name, Need need);

  // Adds an error about the field.
  void Fail(const std::string& name, const std::string& message);

  // Adds an error for each field that was not read.
  void RefuseUnknown();

 private:
  static bool IsName(const std::string& text);

  const nlohmann::json& m_object;
  std::string m_path;
  FieldErrors* m_errors;
  std::set<std::string> m_read;
};

// Parses JSON with comments. Returns false and adds an error with its line
// when the text is not JSON.
bool ParseJson(const std::string& text, nlohmann::json* value,
               FieldErrors* errors);

// Fills in the lines of errors that have none, from the text they are about.
void AddLines(const std::string& text, FieldErrors* errors);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_RESOURCES_FIELD_READER_H_

#ifndef BURDOCKHILL_SRC_RESOURCES_FIELD_ERROR_H_
#define BURDOCKHILL_SRC_RESOURCES_FIELD_ERROR_H_

#include <string>
#include <vector>

namespace burdockhill {

// One thing that is wrong with a document.
struct FieldError {
  std::string path;  // JSON pointer of the field, such as "/spec/weight".
  std::string message;
  int line = 0;  // Counted from 1; 0 where it is not known.
};

using FieldErrors = std::vector<FieldError>;

// One line for each error: "line 3: /spec/weight: must be a number".
std::string FormatErrors(const FieldErrors& errors);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_FIELD_ERROR_H_

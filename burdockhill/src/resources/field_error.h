#ifndef BURDOCKHILL_SRC_RESOURCES_FIELD_ERROR_H_
#define BURDOCKHILL_SRC_RESOURCES_FIELD_ERROR_H_

#include <string>
#include <vector>

namespace burdockhill {

// One error in a document.
struct FieldError {
  // JSON pointer of the field, such as "/spec/weight", or "Kind/name" of a
  // resource.
  std::string path;
  std::string message;
  int line = 0;  // Counted from 1; 0 if unknown.
};

using FieldErrors = std::vector<FieldError>;

// One line for each error, such as "line 3: /spec/weight: is required".
std::string FormatErrors(const FieldErrors& errors);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_FIELD_ERROR_H_

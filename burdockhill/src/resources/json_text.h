#ifndef BURDOCKHILL_SRC_RESOURCES_JSON_TEXT_H_
#define BURDOCKHILL_SRC_RESOURCES_JSON_TEXT_H_

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockhill {

// Finds the texts of the parts of a JSON document without parsing the parts, so
// that each can be parsed by itself: one that is not valid, out of range or
// nested too deeply does not make the others unreadable. Brackets and strings
// are matched, nothing else is checked. The views point into the argument.

// Texts of the elements of an array. Nullopt if `text` is no array, or its end
// is missing.
std::optional<std::vector<std::string_view>> JsonElements(
    std::string_view text);

// Text of the first member of an object with this name, which must not need
// escapes. Nullopt if `text` is no object or has no such member.
std::optional<std::string_view> JsonMember(std::string_view text,
                                           std::string_view name);

// Names, with their quotation marks, and texts of the members of an object in
// the order of the text, up to the first place where it is no longer an object.
std::vector<std::pair<std::string_view, std::string_view>> JsonMembers(
    std::string_view text);

// Whether `text` is one object and nothing else. A document whose transfer
// broke off lacks the end of its object.
bool IsWholeJsonObject(std::string_view text);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_JSON_TEXT_H_

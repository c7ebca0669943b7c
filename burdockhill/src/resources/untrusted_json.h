#ifndef BURDOCKHILL_SRC_RESOURCES_UNTRUSTED_JSON_H_
#define BURDOCKHILL_SRC_RESOURCES_UNTRUSTED_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace burdockhill {

// Parses JSON that another system sent. Returns a discarded value, which is of
// no JSON type, if the text is not JSON or nested so deeply that writing it
// again, which recurses, could overflow the stack. Does not throw.
nlohmann::json ParseUntrustedJson(std::string_view text);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_RESOURCES_UNTRUSTED_JSON_H_

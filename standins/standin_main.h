#ifndef BURDOCKHILL_STANDINS_STANDIN_MAIN_H_
#define BURDOCKHILL_STANDINS_STANDIN_MAIN_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "burdockhill/http.h"
#include "burdockhill/transport.h"

namespace burdockhill::standins {

// Implements main() of a stand-in: reads the settings file that the only
// argument names (JSON with comments) and passes it to `run`. Prints errors to
// stderr. Returns the exit code: that of `run`, 1 after an exception, 2 if the
// settings cannot be read.
int RunStandin(int argc, char** argv, int (*run)(const nlohmann::json&));

// Responds with `body` as application/json.
void RespondJson(HttpServer* server, ExchangeId id, int status,
                 const nlohmann::json& body);

// The value of parameter `name` in a query "a=1&b=2", or `fallback` if absent.
// Does not decode percent escapes.
std::string QueryValue(const std::string& query, const std::string& name,
                       const std::string& fallback);

// The member `name` of `object`, a number of milliseconds, or `fallback` if
// absent. Throws json::type_error if it is not a number.
Duration MillisecondsOr(const nlohmann::json& object, const char* name,
                        Duration fallback);

}  // namespace burdockhill::standins

#endif  // BURDOCKHILL_STANDINS_STANDIN_MAIN_H_

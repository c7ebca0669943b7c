#ifndef BURDOCKHILL_STANDINS_STANDIN_MAIN_H_
#define BURDOCKHILL_STANDINS_STANDIN_MAIN_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "burdockhill/transport.h"

namespace burdockhill::standins {

// Body of a stand-in's main: reads the settings file named by the only
// argument, JSON with comments, and runs with it. Prints what goes wrong.
// Returns the exit code.
int RunStandin(int argc, char** argv, int (*run)(const nlohmann::json&));

// Answers with JSON.
void RespondJson(HttpServer* server, ExchangeId id, int status,
                 const nlohmann::json& body);

// The value of `name` in "a=1&b=2", or `fallback`.
std::string QueryValue(const std::string& query, const std::string& name,
                       const std::string& fallback);

// A member of `object` as a duration, or `fallback`. The member is in
// milliseconds.
Duration MillisecondsOr(const nlohmann::json& object, const char* name,
                        Duration fallback);

}  // namespace burdockhill::standins

#endif  // BURDOCKHILL_STANDINS_STANDIN_MAIN_H_

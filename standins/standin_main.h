#ifndef BURDOCKHILL_STANDINS_STANDIN_MAIN_H_
#define BURDOCKHILL_STANDINS_STANDIN_MAIN_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "burdockhill/transport.h"

namespace burdockhill::standins {

// Reads the settings file named by the only argument, JSON with comments.
// Prints what is wrong and returns nullopt when it cannot be read.
std::optional<nlohmann::json> ReadSettingsFile(int argc, char** argv);

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

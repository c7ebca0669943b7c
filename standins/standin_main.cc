#include "standins/standin_main.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace burdockhill::standins {

using nlohmann::json;

namespace {

std::optional<json> ReadSettingsFile(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " SETTINGS_FILE\n";
    return std::nullopt;
  }
  std::ifstream file(argv[1]);
  std::ostringstream text;
  text << file.rdbuf();
  json settings = json::parse(text.str(), nullptr, /*allow_exceptions=*/false,
                              /*ignore_comments=*/true);
  if (!settings.is_object()) {
    std::cerr << argv[0] << ": cannot read settings from " << argv[1] << "\n";
    return std::nullopt;
  }
  return settings;
}

}  // namespace

int RunStandin(int argc, char** argv, int (*run)(const json&)) {
  const std::optional<json> settings = ReadSettingsFile(argc, argv);
  if (!settings.has_value()) return 2;
  try {
    return run(*settings);
  } catch (const std::exception& error) {
    std::cerr << argv[0] << ": " << error.what() << "\n";
    return 1;
  }
}

void RespondJson(HttpServer* server, ExchangeId id, int status,
                 const json& body) {
  server->Respond(id, status, "application/json", body.dump());
}

std::string QueryValue(const std::string& query, const std::string& name,
                       const std::string& fallback) {
  const std::string wanted = name + "=";
  size_t start = 0;
  while (start <= query.size()) {
    size_t end = query.find('&', start);
    if (end == std::string::npos) end = query.size();
    const std::string part = query.substr(start, end - start);
    if (part.starts_with(wanted)) return part.substr(wanted.size());
    start = end + 1;
  }
  return fallback;
}

Duration MillisecondsOr(const json& object, const char* name,
                        Duration fallback) {
  if (!object.contains(name)) return fallback;
  return std::chrono::milliseconds(object[name].get<int64_t>());
}

}  // namespace burdockhill::standins

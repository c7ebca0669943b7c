// burdockhilld: one process of the router, in the role of its settings.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "burdockhill/src/daemon/logging.h"
#include "burdockhill/src/daemon/process.h"
#include "burdockhill/src/resources/settings.h"

ABSL_FLAG(std::string, settings, "", "Settings file, JSON with comments.");
ABSL_FLAG(bool, check, false, "Check the settings and exit.");

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "burdockhilld --settings=FILE [--check]\n"
      "Runs as entry or agent until SIGTERM, which is a graceful shutdown.");
  absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  std::ifstream file(path);
  if (!file) {
    std::cerr << "burdockhilld: cannot read settings file \"" << path
              << "\"; give one with --settings=FILE\n";
    return kExitUsage;
  }
  std::ostringstream text;
  text << file.rdbuf();
  burdockhill::FieldErrors errors;
  const std::optional<burdockhill::Settings> settings =
      burdockhill::ParseSettings(text.str(), &errors);
  if (!settings.has_value()) {
    std::cerr << "burdockhilld: " << path << ":\n"
              << burdockhill::FormatErrors(errors);
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << ": ok\n";
    return 0;
  }
  burdockhill::StartLogging();
  try {
    return settings->role == burdockhill::Role::kEntry
               ? burdockhill::RunEntry(*settings)
               : burdockhill::RunAgent(*settings);
  } catch (const std::exception& error) {
    burdockhill::LogWarning("daemon",
                            std::string("Cannot run: ") + error.what() + ".");
    return kExitFailed;
  }
}

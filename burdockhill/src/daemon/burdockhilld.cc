// burdockhilld: one router process, an entry or an agent as its settings say.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "burdockhill/src/daemon/gateway_process.h"
#include "burdockhill/src/daemon/heap.h"
#include "burdockhill/src/daemon/logging.h"
#include "burdockhill/src/daemon/process.h"
#include "burdockhill/src/resources/settings.h"

ABSL_FLAG(std::string, settings, "",
          "Settings file, JSON with comments. Without it, the file that the "
          "variable BURDOCKHILL_BOOT names.");
ABSL_FLAG(bool, check, false, "Check the settings and exit.");

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;
constexpr char kSettingsVariable[] = "BURDOCKHILL_BOOT";

std::string SettingsPath() {
  std::string path = absl::GetFlag(FLAGS_settings);
  if (!path.empty()) return path;
  const char* from_environment = std::getenv(kSettingsVariable);
  return from_environment == nullptr ? "" : from_environment;
}

int ReportSettingsErrors(const std::string& path,
                         const burdockhill::FieldErrors& errors) {
  std::cerr << "burdockhilld: " << path << ":\n"
            << burdockhill::FormatErrors(errors);
  return kExitUsage;
}

// Returns the exit code of `run`, or kExitFailed if it throws. With --check
// only reports that the settings are valid.
template <typename Run>
int RunOrCheck(const std::string& path, Run run) {
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << ": ok\n";
    return 0;
  }
  try {
    return run();
  } catch (const std::exception& error) {
    burdockhill::LogWarning("daemon",
                            std::string("Cannot run: ") + error.what() + ".");
    return kExitFailed;
  }
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "burdockhilld --settings=FILE [--check]\n"
      "Runs as entry or agent until SIGTERM, which is a graceful shutdown.");
  absl::ParseCommandLine(argc, argv);
  burdockhill::ConfigureHeap();
  const std::string path = SettingsPath();
  std::ifstream file(path);
  if (!file) {
    std::cerr << "burdockhilld: cannot read settings file \"" << path
              << "\"; give one with --settings=FILE\n";
    return kExitUsage;
  }
  std::ostringstream text;
  text << file.rdbuf();
  burdockhill::FieldErrors errors;
  if (burdockhill::AreGatewaySettings(text.str())) {
    const auto settings =
        burdockhill::ParseGatewaySettings(text.str(), &errors);
    if (!settings.has_value()) return ReportSettingsErrors(path, errors);
    return RunOrCheck(path, [&] {
      burdockhill::StartLineLogging();
      return burdockhill::RunGatewayProcess(*settings, path);
    });
  }
  const auto settings = burdockhill::ParseSettings(text.str(), &errors);
  if (!settings.has_value()) return ReportSettingsErrors(path, errors);
  return RunOrCheck(path, [&] {
    burdockhill::StartLogging();
    return settings->role == burdockhill::Role::kEntry
               ? burdockhill::RunEntry(*settings)
               : burdockhill::RunAgent(*settings);
  });
}

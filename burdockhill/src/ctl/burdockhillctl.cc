// burdockhillctl: the operators' command-line tool.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "burdockhill/src/ctl/verbs.h"

ABSL_FLAG(std::string, platform, "",
          "Platform address; else $BURDOCKHILL_PLATFORM.");
ABSL_FLAG(std::string, entry, "",
          "Operators' address of an entry; else $BURDOCKHILL_ENTRY.");
ABSL_FLAG(std::string, f, "", "File with resources.");
ABSL_FLAG(std::string, o, "table", "Output: table or json.");
ABSL_FLAG(bool, wait, true, "Wait until a change is in force everywhere.");
ABSL_FLAG(int, timeout_s, 30, "Longest wait, seconds.");

namespace {

using burdockhill::AllVerbs;
using burdockhill::Verb;

std::string ValueOrEnvironment(const std::string& value, const char* variable) {
  if (!value.empty()) return value;
  const char* found = std::getenv(variable);
  return found == nullptr ? std::string() : std::string(found);
}

void PrintVerbHelp(const Verb& verb) {
  std::cout << "burdockhillctl " << verb.name << " " << verb.arguments
            << "\n    " << verb.help << "\n";
}

std::string UsageText() {
  std::string text =
      "burdockhillctl [--platform=ADDRESS] [--entry=ADDRESS] [-o json] VERB\n";
  for (const Verb& verb : AllVerbs()) {
    text += std::string("  ") + verb.name + " " + verb.arguments + "\n";
  }
  return text +
         "Ask for the help of a verb with: burdockhillctl VERB --help\n"
         "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, "
         "3 unreachable, 4 not in force in time.\n";
}

const Verb* FindVerb(const std::string& name) {
  for (const Verb& verb : AllVerbs()) {
    if (name == verb.name) return &verb;
  }
  return nullptr;
}

// Prints the help for "--help" or "VERB --help" and returns whether it did.
// Must run before the flag library, which handles --help itself.
bool PrintHelpIfRequested(int argc, char** argv) {
  bool wanted = false;
  const Verb* verb = nullptr;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--help" || argument == "-h") wanted = true;
    if (verb == nullptr) verb = FindVerb(argument);
  }
  if (!wanted) return false;
  if (verb != nullptr) {
    PrintVerbHelp(*verb);
  } else {
    std::cout << UsageText();
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(UsageText());
  if (PrintHelpIfRequested(argc, argv)) return burdockhill::kExitOk;
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const Verb* verb = positional.size() > 1 ? FindVerb(positional[1]) : nullptr;
  if (verb == nullptr) {
    std::cerr << UsageText();
    return burdockhill::kExitUsage;
  }
  burdockhill::CtlOptions options;
  options.platform =
      ValueOrEnvironment(absl::GetFlag(FLAGS_platform), "BURDOCKHILL_PLATFORM");
  options.entry =
      ValueOrEnvironment(absl::GetFlag(FLAGS_entry), "BURDOCKHILL_ENTRY");
  options.file = absl::GetFlag(FLAGS_f);
  options.json = absl::GetFlag(FLAGS_o) == "json";
  options.wait = absl::GetFlag(FLAGS_wait);
  options.timeout = std::chrono::seconds(absl::GetFlag(FLAGS_timeout_s));
  options.arguments.assign(positional.begin() + 2, positional.end());
  return verb->run(options);
}

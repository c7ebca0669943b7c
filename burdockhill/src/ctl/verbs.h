#ifndef BURDOCKHILL_SRC_CTL_VERBS_H_
#define BURDOCKHILL_SRC_CTL_VERBS_H_

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/ctl/ctl_client.h"

namespace burdockhill {

// Exit codes of the command-line tool.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;       // Refused, invalid or not found.
inline constexpr int kExitUsage = 2;        // The command line is wrong.
inline constexpr int kExitUnreachable = 3;  // Platform or entry did not answer.
inline constexpr int kExitNotInTime = 4;    // Not in force at the timeout.

// Options and arguments of the command line.
struct CtlOptions {
  std::string platform;  // "IP number:port".
  std::string entry;     // Operators' address of an entry.
  std::string file;      // File with resources, or log.
  bool json = false;     // Print JSON instead of tables.
  bool wait = true;      // Until a change is in force everywhere.
  Duration timeout = std::chrono::seconds(30);
  std::vector<std::string> arguments;  // After the verb.
};

// One verb of the tool, with its help. `run` returns an exit code.
struct Verb {
  const char* name;
  const char* arguments;
  const char* help;
  int (*run)(const CtlOptions& options);
};

// All verbs, in the order of the help text.
const std::vector<Verb>& AllVerbs();

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_CTL_VERBS_H_

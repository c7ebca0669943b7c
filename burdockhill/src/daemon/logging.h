#ifndef BURDOCKHILL_SRC_DAEMON_LOGGING_H_
#define BURDOCKHILL_SRC_DAEMON_LOGGING_H_

#include <string>

namespace burdockhill {

// Sends log lines, with time and level, to standard output: the VMs have no
// disks.
void StartLogging();

// Log one sentence. `part` names the component that logs it, such as "entry".
void LogInfo(const std::string& part, const std::string& sentence);
void LogWarning(const std::string& part, const std::string& sentence);

// Sends lines to standard output unchanged. Makes standard output non-blocking:
// a line is dropped if the reader of the output has fallen behind.
void StartLineLogging();
void LogLine(const std::string& line);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_LOGGING_H_

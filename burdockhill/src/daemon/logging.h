#ifndef BURDOCKHILL_SRC_DAEMON_LOGGING_H_
#define BURDOCKHILL_SRC_DAEMON_LOGGING_H_

#include <string>

namespace burdockhill {

// Sends log lines, with time and level, to standard output: the VMs have no
// disks.
void StartLogging();

// Log one message. `component` names the component that logs it, such as
// "entry".
void LogInfo(const std::string& component, const std::string& message);
void LogWarning(const std::string& component, const std::string& message);

// Sends lines to standard output unchanged. Makes standard output non-blocking:
// a line is dropped if the reader of the output has fallen behind.
void StartLineLogging();
void LogLine(const std::string& line);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_DAEMON_LOGGING_H_

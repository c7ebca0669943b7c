#include "burdockhill/src/daemon/logging.h"

#include <easylogging++.h>
#include <fcntl.h>
#include <unistd.h>

#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace burdockhill {

void StartLogging() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %levshort %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void LogInfo(const std::string& component, const std::string& message) {
  LOG(INFO) << "[" << component << "] " << message;
}

void LogWarning(const std::string& component, const std::string& message) {
  LOG(WARNING) << "[" << component << "] " << message;
}

void StartLineLogging() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void LogLine(const std::string& line) {
  LOG(INFO) << line;
  // A line that standard output did not accept is dropped. Clearing the error
  // state lets later lines through.
  if (!std::cout) std::cout.clear();
}

}  // namespace burdockhill

#include "burdockhill/src/daemon/logging.h"

#include <easylogging++.h>

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

void LogInfo(const std::string& part, const std::string& sentence) {
  LOG(INFO) << "[" << part << "] " << sentence;
}

void LogWarning(const std::string& part, const std::string& sentence) {
  LOG(WARNING) << "[" << part << "] " << sentence;
}

}  // namespace burdockhill

#include "burdockhill/src/agent/engine_link.h"

#include <cinttypes>
#include <cstdio>

namespace burdockhill {

std::string EngineRequestId(const AttemptId& attempt) {
  char text[64];
  std::snprintf(text, sizeof(text), "%016" PRIx64 "-%016" PRIx64 "-%" PRIu32,
                attempt.entry.Value(), attempt.request.Value(), attempt.number);
  return text;
}

}  // namespace burdockhill

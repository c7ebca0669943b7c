#ifndef BURDOCKHILL_TESTS_ENGINE_OUTCOME_H_
#define BURDOCKHILL_TESTS_ENGINE_OUTCOME_H_

#include <optional>
#include <string>

#include "burdockhill/adapters.h"

namespace burdockhill {

// Records whether a call succeeded or failed.
struct OutcomeRecorder : EngineEvents {
  void OnPrefillDone(const AttemptId&, const std::string&, const std::string&,
                     Tokens, Tokens) override {
    succeeded = true;
  }
  void OnTokens(const AttemptId&, uint64_t, uint32_t, const std::string&,
                const std::string&) override {}
  void OnCommandFailed(const AttemptId&, ErrorKind, bool ran) override {
    failed = true;
    may_have_run = ran;
  }
  void OnCancelConfirmed(const AttemptId&) override { succeeded = true; }
  void OnCallAnswered(const AttemptId&, int, const std::string&,
                      const std::string&) override {
    succeeded = true;
  }
  void OnEngineState(const EngineName&,
                     const std::optional<EngineState>& state) override {
    (state.has_value() ? succeeded : failed) = true;
  }

  bool succeeded = false;
  bool failed = false;
  bool may_have_run = false;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_ENGINE_OUTCOME_H_

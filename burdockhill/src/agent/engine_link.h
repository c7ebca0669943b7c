#ifndef BURDOCKHILL_SRC_AGENT_ENGINE_LINK_H_
#define BURDOCKHILL_SRC_AGENT_ENGINE_LINK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/error_kind.h"
#include "burdockhill/src/base/id.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// State that an engine reports. It lags behind the engine's actual state.
struct EngineState {
  uint64_t boot_id = 0;  // Changes when the engine restarts.
  EngineRole role = EngineRole::kDecode;
  uint32_t slots = 0;        // Requests that can decode at the same time.
  Pieces pieces;             // Total KV cache memory.
  Tokens piece_size{1};      // Tokens per piece.
  int64_t prefill_rate = 1;  // Tokens a second.
  // Ids of the requests that hold memory or wait.
  std::vector<std::string> request_ids;
};

struct PrefillCommand {
  AttemptId attempt;
  RequestClass request_class = RequestClass::kStandard;
  std::string text;
  std::string parameters;
};

struct DecodeCommand {
  AttemptId attempt;
  RequestClass request_class = RequestClass::kStandard;
  std::string kv_handle;
  std::string kv_source;
  Tokens max_output;
  uint64_t first_offset = 0;
  std::string parameters;
};

// Sends commands to the engines or the plain service of this upstream. Results
// arrive through EngineEvents. A prefill, decode, call or poll is answered even
// if the back end cannot be reached; a cancel only once it is confirmed.
class EngineLink {
 public:
  virtual ~EngineLink() = default;
  virtual void Prefill(const EngineName& engine,
                       const PrefillCommand& command) = 0;
  virtual void Decode(const EngineName& engine,
                      const DecodeCommand& command) = 0;
  // Stops the attempt and frees its memory. OnCancelConfirmed follows once the
  // engine has confirmed, and is the last event of the attempt. The caller
  // retries a cancel that is not confirmed.
  virtual void Cancel(const EngineName& engine, const AttemptId& attempt) = 0;
  // Stops a request that an earlier incarnation of this agent started. Nothing
  // is reported back.
  virtual void CancelOrphanedRequest(const EngineName& engine,
                                     const std::string& request_id) = 0;
  virtual void PollState(const EngineName& engine) = 0;
  virtual void Call(const EngineName& engine, const CallService& call) = 0;
};

// Receives results and state from the back ends.
class EngineEvents {
 public:
  virtual ~EngineEvents() = default;
  virtual void OnPrefillDone(const AttemptId& attempt,
                             const std::string& kv_handle,
                             const std::string& kv_source, Tokens prompt,
                             Tokens reused) = 0;
  // `tokens` tokens with the given text, the first of which has `offset` in the
  // answer. `finish_reason` is empty except with the last tokens.
  virtual void OnTokens(const AttemptId& attempt, uint64_t offset,
                        uint32_t tokens, const std::string& text,
                        const std::string& finish_reason) = 0;
  // The attempt failed. `ran` is false only if the back end certainly did not
  // run it: it was unreachable or rejected the command.
  virtual void OnCommandFailed(const AttemptId& attempt, ErrorKind kind,
                               bool ran) = 0;
  virtual void OnCancelConfirmed(const AttemptId& attempt) = 0;
  virtual void OnCallAnswered(const AttemptId& attempt, int status,
                              const std::string& content_type,
                              const std::string& body) = 0;
  // `state` is nullopt if the engine could not be reached or its answer was
  // invalid.
  virtual void OnEngineState(const EngineName& engine,
                             const std::optional<EngineState>& state) = 0;
};

// The request id that an attempt has on an engine.
std::string EngineRequestId(const AttemptId& attempt);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_ENGINE_LINK_H_

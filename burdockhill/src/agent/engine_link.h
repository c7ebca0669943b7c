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

// What an engine says of itself. Lags behind what it does.
struct EngineState {
  uint64_t boot = 0;  // Changes when the engine restarts.
  EngineRole role = EngineRole::kDecode;
  uint32_t slots = 0;
  Pieces pieces;
  Tokens piece_size{1};
  int64_t prefill_rate = 1;           // Tokens a second.
  std::vector<std::string> requests;  // Ids that hold memory or wait.
};

struct PrefillOrder {
  AttemptId attempt;
  RequestClass request_class = RequestClass::kStandard;
  std::string text;
  std::string parameters;
};

struct DecodeOrder {
  AttemptId attempt;
  RequestClass request_class = RequestClass::kStandard;
  std::string kv_handle;
  std::string kv_source;
  Tokens max_output;
  uint64_t first_offset = 0;
  std::string parameters;
};

// Gives orders to the engines or the plain service of this upstream. Every
// order is answered through EngineEvents, also when the back end cannot be
// reached.
class EngineLink {
 public:
  virtual ~EngineLink() = default;
  virtual void Prefill(const EngineName& engine, const PrefillOrder& order) = 0;
  virtual void Decode(const EngineName& engine, const DecodeOrder& order) = 0;
  // Ends the attempt and frees its memory; answered by OnCancelled once the
  // engine has confirmed. No other event of the attempt follows that one.
  virtual void Cancel(const EngineName& engine, const AttemptId& attempt) = 0;
  // Ends a request that an earlier incarnation of this agent left behind.
  virtual void CancelStray(const EngineName& engine,
                           const std::string& request) = 0;
  virtual void PollState(const EngineName& engine) = 0;
  virtual void Call(const EngineName& engine, const CallService& call) = 0;
};

// Receives what back ends do.
class EngineEvents {
 public:
  virtual ~EngineEvents() = default;
  virtual void OnPrefilled(const AttemptId& attempt,
                           const std::string& kv_handle,
                           const std::string& kv_source, Tokens prompt,
                           Tokens reused) = 0;
  virtual void OnTokens(const AttemptId& attempt, uint64_t offset,
                        uint32_t tokens, const std::string& text,
                        const std::string& finish_reason) = 0;
  // The order failed. `ran` is false only if the back end did not get it.
  virtual void OnOrderFailed(const AttemptId& attempt, ErrorKind kind,
                             bool ran) = 0;
  virtual void OnCancelled(const AttemptId& attempt) = 0;
  virtual void OnCallAnswered(const AttemptId& attempt, int status,
                              const std::string& content_type,
                              const std::string& body) = 0;
  // nullopt: the engine cannot be reached.
  virtual void OnState(const EngineName& engine,
                       const std::optional<EngineState>& state) = 0;
};

// The id under which an engine knows an attempt.
std::string EngineRequestId(const AttemptId& attempt);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_AGENT_ENGINE_LINK_H_

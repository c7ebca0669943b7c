#ifndef BURDOCKHILL_SRC_GATEWAY_CODECS_H_
#define BURDOCKHILL_SRC_GATEWAY_CODECS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/http/message.h"
#include "burdockhill/src/routing/kv_cache_ledger.h"
#include "burdockhill/src/routing/routes.h"
#include "burdockhill/src/routing/upstream_directory.h"

namespace burdockhill {

// A caller's request in the router's own terms.
struct InboundRequest {
  std::string id;   // The caller's id of this attempt.
  http::Head head;  // Only header fields that are passed on.
  std::string host;
  std::string path;  // Without the query.
  std::string body;
  std::optional<Duration> deadline;  // How long the caller waits.
  Tokens prompt;
  Tokens max_output;
  Tokens estimated_output;
  std::optional<int64_t> last_event_id;  // Where an earlier stream broke off.
};

// Output tokens to reckon with: the caller's estimate, else half of the
// maximum.
Tokens ExpectedOutput(const InboundRequest& request);

// KV cache that an engine has computed and keeps for a short time.
struct KvLocation {
  std::string engine_address;
  std::string handle;
};

enum class CallPurpose {
  kPlain,    // A whole request to a plain service.
  kPrefill,  // Computes the prompt's KV cache only.
  kDecode,   // Generates, from a KV cache if one is named.
};

// One call to an upstream on behalf of a request.
struct UpstreamCall {
  CallPurpose purpose = CallPurpose::kPlain;
  Duration time_left{0};
  uint8_t priority = 0;  // Among requests to an engine; 0 is the most urgent.
  std::optional<KvLocation> kv;
  std::optional<int64_t> resume_after;  // Last event that the caller has.
};

// What the head of an upstream's answer says besides its status.
struct AnswerFacts {
  std::string request_id;
  bool not_run = false;  // The upstream states that it did not run the request.
};

// Translates between the router's terms and HTTP messages of callers and
// upstreams.
class RequestCodec {
 public:
  virtual ~RequestCodec() = default;
  // Nullopt for a request without what every request has to carry.
  virtual std::optional<InboundRequest> DecodeRequest(
      http::Head head, std::string body) const = 0;
  virtual std::string EncodeCall(const InboundRequest& request,
                                 const RegisteredUpstream& upstream,
                                 const UpstreamCall& call) const = 0;
  virtual AnswerFacts DecodeFacts(const http::Head& head) const = 0;
  // The KV cache that an answer to a prefill names.
  virtual std::optional<KvLocation> DecodePrefill(
      const RegisteredUpstream& upstream, const std::string& body) const = 0;
  // A request that frees KV cache which will not be used.
  virtual std::string EncodeRelease(const KvLocation& kv) const = 0;
  // An answer of the router's own. Zero `retry_after` is left out.
  virtual http::Head EncodeRefusal(const std::string& request_id, int status,
                                   Duration retry_after) const = 0;
};

// What an engine says of itself.
struct EngineReport {
  EngineRole role = EngineRole::kDecode;
  bool switching = false;  // An order is being carried out.
  uint64_t orders_accepted = 0;
  int waiting = 0;
  int running = 0;
  Tokens memory_total;
  std::vector<ReportedRun> runs;
};

// Translates the calls that an agent makes to the engine beside it.
class EngineCodec {
 public:
  virtual ~EngineCodec() = default;
  virtual std::string EncodeReportRequest(const std::string& address) const = 0;
  virtual std::optional<EngineReport> DecodeReport(
      const std::string& body) const = 0;
  // An order that is ignored once the engine has accepted more orders than
  // `orders_accepted`.
  virtual std::string EncodeRoleOrder(const RegisteredUpstream& engine,
                                      EngineRole role, uint64_t orders_accepted,
                                      const VmName& holder) const = 0;
};

// Id that stands for a caller's request id between own processes.
RequestId RequestIdOf(std::string_view caller_id);

// One object of the store, undecoded.
struct FeedObject {
  std::string name;
  uint64_t revision = 0;
  bool deleted = false;
  std::string content;  // As its writer stored it; JSON.
};

// An answer of the store to a list or a watch.
struct FeedPage {
  std::vector<FeedObject> objects;
  bool has_more = false;
  uint64_t revision = 0;
};

// Translates the calls that read one kind of object from the store.
class FeedCodec {
 public:
  virtual ~FeedCodec() = default;
  // Lists objects whose names come after `after`; with `cached` the list may
  // be some seconds old and costs the store less.
  virtual std::string EncodeList(const std::string& after,
                                 bool cached) const = 0;
  // Waits up to `wait` for changes after `revision`.
  virtual std::string EncodeWatch(uint64_t revision, Duration wait) const = 0;
  virtual std::optional<FeedPage> DecodePage(const std::string& body) const = 0;
};

// Translates the objects themselves. Nullopt for what cannot be understood.
class ObjectCodec {
 public:
  virtual ~ObjectCodec() = default;
  virtual std::optional<RoutingConfiguration> DecodeConfiguration(
      const FeedObject& object) const = 0;
  virtual std::optional<RegisteredUpstream> DecodeUpstream(
      const FeedObject& object) const = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_CODECS_H_

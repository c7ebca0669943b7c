#ifndef BURDOCKHILL_SRC_GATEWAY_CODECS_H_
#define BURDOCKHILL_SRC_GATEWAY_CODECS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/store_revision.h"
#include "burdockhill/src/base/units.h"
#include "burdockhill/src/http/message.h"
#include "burdockhill/src/routing/kv_cache_ledger.h"
#include "burdockhill/src/routing/routes.h"
#include "burdockhill/src/routing/stated_rate_limits.h"
#include "burdockhill/src/routing/upstream_directory.h"
#include "burdockhill/src/teams/team.h"

namespace burdockhill {

// A caller's request, decoded from HTTP.
struct InboundRequest {
  std::string id;   // As the caller set it; one id for each caller attempt.
  http::Head head;  // Only header fields that are forwarded to upstreams.
  std::string host;
  std::string path;  // Without the query string.
  std::string body;
  // Digest of the caller's API key; nullopt if it sent none. Dropped once the
  // team has been looked up.
  std::optional<KeyDigest> key;
  // How long the caller waits for the response.
  std::optional<Duration> caller_timeout;
  Tokens prompt_tokens;            // Length of the prompt; zero if not given.
  Tokens max_output_tokens;        // Zero if not given.
  Tokens estimated_output_tokens;  // The caller's estimate; zero if not given.
  // The parts of the prompt that other prompts may share, in order. The last
  // part of a prompt is its own and not among them.
  std::vector<PromptPartName> shared_prompt_parts;
  // Id of the last event that the caller received from an interrupted stream.
  std::optional<int64_t> last_event_id;
  // Id of the caller attempt that brought the first event of that stream;
  // nullopt if it is not known.
  std::optional<std::string> resumed_attempt;
};

// Output tokens to plan with: the caller's estimate, else half of the caller's
// maximum, else a default. Never more than the caller's maximum.
Tokens ExpectedOutputTokens(const InboundRequest& request);

// The shared parts of the prompt, separated by commas, for logs.
std::string SharedPartsText(const InboundRequest& request);

// Where the KV cache of a prompt is held. The engine keeps it for a short time
// only.
struct KvLocation {
  std::string engine_address;
  std::string handle;
};

enum class CallPurpose {
  kPlain,    // Sends the request to a plain service.
  kPrefill,  // Computes only the prompt's KV cache.
  kDecode,   // Generates output; computes the prompt too if `kv` is unset.
};

// The parameters of one call to an upstream for an inbound request.
struct UpstreamCall {
  CallPurpose purpose = CallPurpose::kPlain;
  Duration time_left{0};
  uint8_t priority = 0;          // Order at the engine; 0 is the most urgent.
  std::optional<KvLocation> kv;  // Fetched by the decode engine.
  // Id of the last event that the caller has received.
  std::optional<int64_t> resume_after_event_id;
};

// Header fields of an upstream's response that the router acts on.
struct ResponseMetadata {
  std::string request_id;
  bool not_run = false;  // The upstream guarantees that nothing ran.
  RateLimitValue rate_limit;
  bool leaving = false;  // The upstream will end soon.
  // Time for which the upstream wants no requests from this entry; zero if it
  // says nothing about that.
  Duration pause{0};
};

// Decodes HTTP requests of callers and encodes calls to upstreams, following
// the platform's conventions for header fields and bodies.
class RequestCodec {
 public:
  virtual ~RequestCodec() = default;
  // Nullopt if a mandatory header field is missing.
  virtual std::optional<InboundRequest> DecodeRequest(
      http::Head head, std::string body) const = 0;
  // Replaces what the caller states of its team, its API key included, by the
  // name of the team that the key belongs to. An invalid name adds nothing.
  // Without this call both are forwarded as the caller sent them.
  virtual void SetTeam(const TeamName& team, InboundRequest* request) const = 0;
  virtual std::string EncodeCall(const InboundRequest& request,
                                 const RegisteredUpstream& upstream,
                                 const UpstreamCall& call) const = 0;
  virtual ResponseMetadata DecodeResponseMetadata(
      const http::Head& head) const = 0;
  // The KV cache location in the body of a prefill response; nullopt if it
  // cannot be decoded.
  virtual std::optional<KvLocation> DecodePrefill(
      const RegisteredUpstream& upstream, const std::string& body) const = 0;
  // A request that frees an unused KV cache.
  virtual std::string EncodeKvRelease(const KvLocation& kv) const = 0;
  // The head of an error response that the router sends itself. A `retry_after`
  // of zero adds no such header field.
  virtual http::Head EncodeErrorHead(const std::string& request_id, int status,
                                     Duration retry_after) const = 0;
};

// State of an engine as the engine reports it.
struct EngineReport {
  EngineRole role = EngineRole::kDecode;
  int64_t started_at_ms = 0;  // Of the engine's process; zero if unknown.
  bool is_changing_role = false;
  uint64_t orders_accepted = 0;
  int waiting_requests = 0;
  int running_requests = 0;
  Tokens kv_capacity;
  std::vector<ReportedRun> runs;
};

// Encodes the calls of an agent to the engine on its VM and decodes responses.
class EngineCodec {
 public:
  virtual ~EngineCodec() = default;
  virtual std::string EncodeReportRequest(const std::string& address) const = 0;
  virtual std::optional<EngineReport> DecodeReport(
      const std::string& body) const = 0;
  // A request to change the engine's role. The engine ignores it if it has
  // accepted more orders than `orders_accepted` by then.
  virtual std::string EncodeRoleOrder(const RegisteredUpstream& engine,
                                      EngineRole role, uint64_t orders_accepted,
                                      const VmName& holder) const = 0;
};

// A 64-bit hash of the caller's request id, never zero. Agents and entries use
// it instead of the text.
RequestId HashRequestId(std::string_view caller_id);

// One object of the store. The content is not decoded.
struct FeedObject {
  std::string name;
  StoreRevision revision;  // Codecs do not set the era.
  bool deleted = false;
  std::string content;  // JSON, as it was written to the store.
};

// The response of the store to a list or a watch call.
struct FeedPage {
  std::vector<FeedObject> objects;
  bool is_list = false;        // The response to a list call, not to a watch.
  bool has_more = false;       // Lists only: there are further pages.
  size_t unnamed_objects = 0;  // Left out, since they have no name.
  // Of the store, as of which the page is complete. Codecs do not set the era.
  StoreRevision revision;
};

// Encodes list and watch calls for one kind of store object.
class FeedCodec {
 public:
  virtual ~FeedCodec() = default;
  // Lists objects whose names sort after `after`. With `cached` the store may
  // answer from its cache: the list may be a few seconds old and is cheaper.
  virtual std::string EncodeList(const std::string& after,
                                 bool cached) const = 0;
  // Long poll for changes after `revision`, held for up to `wait`.
  virtual std::string EncodeWatch(uint64_t revision, Duration wait) const = 0;
  virtual std::optional<FeedPage> DecodePage(const std::string& body) const = 0;
  // The era of the store, which rises each time it is restored from a copy;
  // zero if the response does not name one. Revisions of different eras cannot
  // be compared.
  virtual uint64_t DecodeEra(const http::Head& head) const = 0;
};

// Decodes the content of store objects. Nullopt if it is invalid.
class ObjectCodec {
 public:
  virtual ~ObjectCodec() = default;
  // Accepts API keys and digests of them.
  virtual std::optional<RoutingConfiguration> DecodeConfiguration(
      const FeedObject& object) const = 0;
  // The same configuration with each API key replaced by its digest. An object
  // without teams is returned unchanged.
  virtual FeedObject ReplaceKeysByDigests(FeedObject object) const = 0;
  virtual std::optional<RegisteredUpstream> DecodeUpstream(
      const FeedObject& object) const = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_GATEWAY_CODECS_H_

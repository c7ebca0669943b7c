// Stand-in for model engines: serves several EngineModels over HTTP, each on
// its own address. The protocol is described in docs/engine-api.md.

#include <list>
#include <map>
#include <memory>

#include "burdockhill/src/daemon/stop_signal.h"
#include "standins/engine_model.h"
#include "standins/standin_main.h"

namespace burdockhill::standins {
namespace {

using nlohmann::json;

constexpr Duration kCrashDowntime = std::chrono::milliseconds(500);

EngineOptions ReadOptions(const json& settings) {
  EngineOptions options;
  options.is_prefill = settings.value("role", "decode") == "prefill";
  options.slots = settings.value("slots", options.slots);
  options.pieces = settings.value("pieces", options.pieces);
  options.piece_tokens = settings.value("piece_tokens", options.piece_tokens);
  options.prefill_rate = settings.value("prefill_rate", options.prefill_rate);
  options.prefill_base =
      MillisecondsOr(settings, "prefill_base_ms", options.prefill_base);
  options.step_base =
      MillisecondsOr(settings, "step_base_ms", options.step_base);
  options.step_per_request = Duration(
      settings.value("step_per_request_us", options.step_per_request.count()));
  options.kv_bytes_per_token =
      settings.value("kv_bytes_per_token", options.kv_bytes_per_token);
  options.link_bytes_per_second =
      settings.value("link_bytes_per_second", options.link_bytes_per_second);
  options.export_time =
      MillisecondsOr(settings, "export_time_ms", options.export_time);
  options.load_lag = MillisecondsOr(settings, "load_lag_ms", options.load_lag);
  options.event_lag =
      MillisecondsOr(settings, "event_lag_ms", options.event_lag);
  options.seed = settings.value("seed", options.seed);
  return options;
}

// One EngineModel behind its own HTTP server.
class EngineServer : public HttpHandler {
 public:
  EngineServer(EventLoop* loop, HttpClient* client, const Clock* clock,
               const json& settings)
      : m_client(client),
        m_clock(clock),
        m_model(ReadOptions(settings), clock) {
    HttpServer::Options options;
    options.address = *ParseAddress(settings.at("address").get<std::string>());
    options.max_body_bytes = size_t{8} << 20;
    m_server = std::make_unique<HttpServer>(loop, options, this);
  }

  // Advances the model, answers requests that waited for the end of a hang, and
  // writes pending output. Returns the time until the next event.
  Duration Tick() {
    const TimePoint now = m_clock->Now();
    if (m_model.CrashRequested()) Crash();
    constexpr Duration kIdle = std::chrono::milliseconds(50);
    if (now < m_hang_ends_at) return kIdle;
    for (const auto& [id, request] :
         std::exchange(m_requests_during_hang, {})) {
      OnRequest(id, request);
    }
    const std::optional<TimePoint> next = m_model.Tick();
    m_server->Flush();
    if (m_model.CrashRequested()) Crash();
    return next.has_value() ? std::clamp(*next - now, Duration(1), kIdle)
                            : kIdle;
  }

  void OnRequest(ExchangeId id, HttpRequest request) override {
    if (request.path.starts_with("/admin/")) return OnAdmin(id, request);
    if (m_clock->Now() < m_down_ends_at) return m_server->Abort(id);
    if (m_clock->Now() < m_hang_ends_at) {
      m_requests_during_hang.emplace_back(id, std::move(request));
      return;
    }
    const json body =
        json::parse(request.body, nullptr, /*allow_exceptions=*/false);
    try {
      Route(id, request, body);
    } catch (const json::exception&) {
      RespondJson(m_server.get(), id, 400, {{"error", "bad request"}});
    }
  }

  void OnClosed(ExchangeId id) override {
    std::erase_if(m_requests_during_hang,
                  [&](const auto& item) { return item.first == id; });
    // Closing the connection cancels the request.
    const auto found = m_open_requests.find(id);
    if (found == m_open_requests.end()) return;
    const std::string request = found->second;
    m_open_requests.erase(found);
    m_model.Cancel(request);
  }

 private:
  void Route(ExchangeId id, const HttpRequest& request, const json& body) {
    if (request.path == "/v1/state") return OnState(id);
    if (request.path == "/v1/prefill") return OnPrefill(id, body);
    if (request.path == "/v1/decode") return OnDecode(id, body);
    if (request.path == "/v1/cancel") return OnCancel(id, body);
    if (request.path == "/v1/events") return OnEvents(id, request);
    if (request.path.starts_with("/v1/kv/")) {
      return OnExport(id, request.path.substr(7));
    }
    RespondJson(m_server.get(), id, 404, {{"error", "no such path"}});
  }

  void OnState(ExchangeId id) {
    const EngineOptions& options = m_model.Options();
    RespondJson(m_server.get(), id, 200,
                {{"boot", m_model.BootId()},
                 {"role", options.is_prefill ? "prefill" : "decode"},
                 {"slots", options.slots},
                 {"pieces", options.pieces},
                 {"piece_tokens", options.piece_tokens},
                 {"prefill_rate", options.prefill_rate},
                 {"requests", m_model.ReportedRequests()}});
  }

  void OnPrefill(ExchangeId id, const json& body) {
    const auto request = body.at("id").get<std::string>();
    m_open_requests[id] = request;
    m_model.Prefill(request, body.value("priority", 1),
                    body.at("prompt").get<std::string>(),
                    [this, id](const std::optional<PrefillResult>& result) {
                      m_open_requests.erase(id);
                      if (!result.has_value()) return m_server->Abort(id);
                      RespondJson(m_server.get(), id, 200,
                                  {{"kv_handle", result->kv_handle},
                                   {"prompt_tokens", result->prompt_tokens},
                                   {"reused_tokens", result->reused_tokens}});
                    });
  }

  void OnDecode(ExchangeId id, const json& body) {
    const std::optional<Address> source =
        ParseAddress(body.at("kv_source").get<std::string>());
    if (!source.has_value()) {
      return RespondJson(m_server.get(), id, 400, {{"error", "bad source"}});
    }
    ClientRequest fetch;
    fetch.address = *source;
    fetch.path = "/v1/kv/" + body.at("kv_handle").get<std::string>();
    fetch.timeout = std::chrono::seconds(5);
    m_open_requests[id] = body.at("id").get<std::string>();
    const uint64_t boot = m_model.BootId();
    FetchResponse(
        m_client, fetch,
        [this, id, body, boot](CallEnd end, int status,
                               const std::string& answer) {
          if (!m_open_requests.contains(id) || boot != m_model.BootId()) return;
          const bool gone = end != CallEnd::kComplete || status != 200;
          if (!gone) return StartDecode(id, body, json::parse(answer));
          m_open_requests.erase(id);
          RespondJson(m_server.get(), id, 410, {{"error", "kv gone"}});
        });
  }

  void StartDecode(ExchangeId id, const json& body, const json& exported_json) {
    ExportedKv kv;
    kv.answer_seed = exported_json.at("answer_seed").get<uint64_t>();
    kv.prompt_tokens = exported_json.at("prompt_tokens").get<int64_t>();
    kv.answer_tokens = exported_json.at("answer_tokens").get<int64_t>();
    const bool admitted = m_model.Decode(
        body.at("id").get<std::string>(), body.value("priority", 1), kv,
        body.at("max_tokens").get<int64_t>(),
        body.value("first_offset", uint64_t{0}),
        [this, id](uint64_t offset, const std::string& text,
                   const std::string& finish) {
          OnToken(id, offset, text, finish);
        });
    if (!admitted) {
      m_open_requests.erase(id);
      RespondJson(m_server.get(), id, 503, {{"error", "full"}});
      return;
    }
    m_server->StartStream(id, 200, "text/event-stream");
  }

  void OnToken(ExchangeId id, uint64_t offset, const std::string& text,
               const std::string& finish) {
    if (finish == "preempted") {
      m_open_requests.erase(id);
      return m_server->Abort(id);
    }
    std::string event = "data: {\"offset\":" + std::to_string(offset) +
                        ",\"tokens\":1,\"text\":\"" + text + "\"";
    if (!finish.empty()) event += ",\"finish_reason\":\"" + finish + "\"";
    m_server->WriteStream(id, event + "}\n\n");
    if (finish.empty()) return;
    m_open_requests.erase(id);
    m_server->EndStream(id);
  }

  void OnCancel(ExchangeId id, const json& body) {
    m_model.Cancel(body.at("id").get<std::string>());
    RespondJson(m_server.get(), id, 200, json::object());
  }

  void OnExport(ExchangeId id, const std::string& handle) {
    const std::optional<ExportedKv> kv = m_model.FindExport(handle);
    if (!kv.has_value()) {
      return RespondJson(m_server.get(), id, 410, {{"error", "gone"}});
    }
    RespondJson(m_server.get(), id, 200,
                {{"answer_seed", kv->answer_seed},
                 {"prompt_tokens", kv->prompt_tokens},
                 {"answer_tokens", kv->answer_tokens}});
  }

  void OnEvents(ExchangeId id, const HttpRequest& request) {
    const uint64_t since =
        std::stoull("0" + QueryValue(request.query, "since", "0"));
    json events = json::array();
    for (const CacheEvent& event : m_model.EventsSince(since)) {
      events.push_back({{"sequence", event.sequence},
                        {"type", event.stored ? "stored" : "evicted"},
                        {"block", event.block}});
    }
    RespondJson(m_server.get(), id, 200, {{"events", events}});
  }

  void OnAdmin(ExchangeId id, const HttpRequest& request) {
    if (request.path == "/admin/crash") {
      RespondJson(m_server.get(), id, 200, json::object());
      return Crash();
    }
    if (request.path == "/admin/hang") {
      const int64_t ms = std::stoll("0" + QueryValue(request.query, "ms", "0"));
      m_hang_ends_at = m_clock->Now() + std::chrono::milliseconds(ms);
      return RespondJson(m_server.get(), id, 200, json::object());
    }
    const EngineCounters& c = m_model.Counters();
    RespondJson(m_server.get(), id, 200,
                {{"held_pieces", m_model.HeldPieces()},
                 {"held_requests", m_model.HeldRequests()},
                 {"prefill_tokens", c.prefill_tokens},
                 {"reused_tokens", c.reused_tokens},
                 {"exported_tokens", c.exported_tokens},
                 {"imported_tokens", c.imported_tokens},
                 {"decoded_tokens", c.decoded_tokens},
                 {"cancelled", c.cancelled},
                 {"preempted", c.preempted},
                 {"crashes", m_crashes}});
  }

  void Crash() {
    ++m_crashes;
    m_model.Crash();
    m_down_ends_at = m_clock->Now() + kCrashDowntime;
    for (const auto& [id, request] : std::exchange(m_open_requests, {})) {
      m_server->Abort(id);
    }
  }

  HttpClient* m_client;
  const Clock* m_clock;
  EngineModel m_model;
  std::unique_ptr<HttpServer> m_server;
  std::map<ExchangeId, std::string> m_open_requests;  // Values: request ids.
  std::vector<std::pair<ExchangeId, HttpRequest>> m_requests_during_hang;
  TimePoint m_down_ends_at{};
  TimePoint m_hang_ends_at{};
  int64_t m_crashes = 0;
};

}  // namespace

// Serves until SIGINT or SIGTERM.
static int Run(const json& settings) {
  const SystemClock clock;
  EventLoop loop;
  WatchStopSignals(&loop);
  HttpClient client(&loop);
  std::list<EngineServer> engines;
  for (const json& engine : settings.at("engines")) {
    engines.emplace_back(&loop, &client, &clock, engine);
  }
  while (!StopRequested()) {
    Duration next = std::chrono::milliseconds(50);
    for (EngineServer& engine : engines) next = std::min(next, engine.Tick());
    loop.WakeAfter(next);
    loop.RunOnce();
  }
  return 0;
}

}  // namespace burdockhill::standins

int main(int argc, char** argv) {
  return burdockhill::standins::RunStandin(argc, argv,
                                           burdockhill::standins::Run);
}

#include "burdockhill/src/adapters/operators_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "burdockhill/src/agent/agent_core.h"
#include "burdockhill/src/entry/entry_core.h"

namespace burdockhill {

namespace {

using nlohmann::json;
using Page = OperatorsApi::Page;

constexpr char kTextContentType[] = "text/plain; charset=utf-8";

Page TextPage(int status, const std::string& text) {
  return {status, kTextContentType, text + "\n"};
}

const char* PeerStateName(PeerState state) {
  switch (state) {
    case PeerState::kUp:
      return "up";
    case PeerState::kSilent:
      return "silent";
    case PeerState::kDown:
      return "down";
  }
  return "";
}

json EngineJson(const EngineLoad& engine) {
  return {{"name", engine.name.Value()},
          {"role", engine.role == EngineRole::kPrefill ? "prefill" : "decode"},
          {"healthy", engine.healthy},
          {"running", engine.running},
          {"slots", engine.slots},
          {"waiting", engine.waiting},
          {"free_pieces", engine.free_pieces.Value()},
          {"queued_prefill_tokens", engine.queued_prefill.Value()}};
}

json UpstreamJson(const UpstreamView& view) {
  json object = {{"vm", view.vm.Value()},
                 {"state", PeerStateName(view.state)},
                 {"zone", view.zone.Value()},
                 {"region", view.region.Value()},
                 {"engines", json::array()}};
  if (!view.report.has_value()) return object;
  object["upstream"] = view.report->upstream.Value();
  object["service"] = view.report->service.Value();
  object["leaving"] = view.report->leaving || view.listed_as_leaving;
  object["in_force"] = view.report->in_force.Value();
  for (const EngineLoad& engine : view.report->engines) {
    object["engines"].push_back(EngineJson(engine));
  }
  return object;
}

Page EntryStatusPage(const EntryCore& core) {
  const EntryBlackboard& board = core.Board();
  json status = {{"role", "entry"},
                 {"vm", board.self.vm.Value()},
                 {"zone", board.self.zone.Value()},
                 {"region", board.self.region.Value()},
                 {"ready", core.IsReady()},
                 {"leaving", board.leaving},
                 {"coordinator", core.IsCoordinator()},
                 {"in_force", board.in_force.Value()},
                 {"staged", board.staged.Value()},
                 {"requests", board.requests.Size()},
                 {"attempts", board.attempts.Size()},
                 {"entries", board.listed_entries},
                 {"upstreams", json::array()},
                 {"services", json::array()}};
  for (const auto& [vm, view] : board.upstreams) {
    status["upstreams"].push_back(UpstreamJson(view));
  }
  if (board.configuration == nullptr) {
    return {200, "application/json", status.dump()};
  }
  for (const auto& [name, model] : board.configuration->models) {
    status["services"].push_back({{"name", name.Value()}, {"kind", "model"}});
  }
  for (const auto& [name, plain] : board.configuration->plain_services) {
    status["services"].push_back({{"name", name.Value()}, {"kind", "plain"}});
  }
  return {200, "application/json", status.dump()};
}

Page DecisionsPage(const EntryCore& core, const std::string& subpath) {
  const std::optional<RequestId> id = ParseRequestId(subpath);
  if (!id.has_value()) return TextPage(400, "not a request id");
  const std::vector<Decision> decisions =
      core.Board().decisions.FindDecisions(*id);
  if (decisions.empty()) return TextPage(404, "no decisions are known");
  json list = json::array();
  const TimePoint start = decisions.front().at;
  for (const Decision& decision : decisions) {
    list.push_back({{"after_us", (decision.at - start).count()},
                    {"part", decision.component},
                    {"reason", decision.reason}});
  }
  return {200, "application/json",
          json{{"request", subpath},
               {"entry", core.Board().self.vm.Value()},
               {"decisions", list}}
              .dump()};
}

Page AgentStatusPage(const AgentCore& core) {
  const AgentBlackboard& board = core.Board();
  json status = {{"role", "agent"},
                 {"vm", board.self.vm.Value()},
                 {"upstream", board.self.upstream.Value()},
                 {"service", board.self.service.Value()},
                 {"leaving", board.leaving},
                 {"idle", core.IsIdle()},
                 {"in_force", board.in_force.Value()},
                 {"staged", board.staged.Value()},
                 {"attempts", board.attempts.Size()},
                 {"tombstones", board.tombstones.Size()},
                 {"entries", board.connected_entries.size()},
                 {"engines", json::array()}};
  for (const auto& [name, engine] : board.engines) {
    status["engines"].push_back(
        {{"name", name.Value()},
         {"reachable", engine.reachable},
         {"used_slots", engine.used_slots},
         {"used_pieces", engine.used_pieces.Value()},
         {"queued_prefill_tokens", engine.queued_prefill.Value()}});
  }
  return {200, "application/json", status.dump()};
}

Page AgentMetricsPage(const AgentCore& core) {
  const AgentCounters& counters = core.Board().counters;
  MetricsRegistry metrics;
  metrics.IncrementCounter("burdockhill_agent_granted_total", {},
                           counters.granted);
  metrics.IncrementCounter("burdockhill_agent_refused_total", {},
                           counters.refused);
  metrics.IncrementCounter("burdockhill_agent_prefills_total", {},
                           counters.prefills);
  metrics.IncrementCounter("burdockhill_agent_decodes_total", {},
                           counters.decodes);
  metrics.IncrementCounter("burdockhill_agent_calls_total", {}, counters.calls);
  metrics.IncrementCounter("burdockhill_agent_cancels_total", {},
                           counters.cancels);
  metrics.IncrementCounter("burdockhill_agent_holds_expired_total", {},
                           counters.holds_expired);
  metrics.IncrementCounter("burdockhill_agent_engine_restarts_total", {},
                           counters.engine_restarts);
  metrics.IncrementCounter("burdockhill_agent_tokens_total", {},
                           counters.tokens);
  metrics.SetGauge("burdockhill_agent_attempts", {},
                   static_cast<int64_t>(core.Board().attempts.Size()));
  return {200, kTextContentType, metrics.PrometheusText()};
}

}  // namespace

void OperatorsApi::AddPage(const std::string& path, PageHandler handler) {
  m_page_handlers[path] = std::move(handler);
}

void OperatorsApi::OnRequest(ExchangeId id, HttpRequest request) {
  for (const auto& [path, handler] : m_page_handlers) {
    const bool is_below = path.ends_with('/') && request.path.starts_with(path);
    if (!is_below && request.path != path) continue;
    if (request.method != "GET") {
      m_server->Respond(id, 405, kTextContentType, "only GET\n");
      return;
    }
    Page page = handler(request.path.substr(path.size()));
    m_server->Respond(id, page.status, page.content_type, page.body);
    return;
  }
  m_server->Respond(id, 404, kTextContentType, "no such page\n");
}

void AddEntryPages(OperatorsApi* api, EntryCore* core) {
  api->AddPage("/healthz",
               [](const std::string&) { return TextPage(200, "ok"); });
  api->AddPage("/readyz", [core](const std::string&) {
    return core->IsReady() ? TextPage(200, "ready")
                           : TextPage(503, "not ready");
  });
  api->AddPage("/metrics", [core](const std::string&) {
    MetricsRegistry metrics = core->Board().metrics;
    metrics.IncrementCounter("burdockhill_stream_tokens_total", {},
                             core->Board().stream_tokens);
    return Page{200, kTextContentType, metrics.PrometheusText()};
  });
  api->AddPage("/status",
               [core](const std::string&) { return EntryStatusPage(*core); });
  api->AddPage("/explain/", [core](const std::string& subpath) {
    return DecisionsPage(*core, subpath);
  });
}

void AddAgentPages(OperatorsApi* api, AgentCore* core) {
  api->AddPage("/healthz",
               [](const std::string&) { return TextPage(200, "ok"); });
  api->AddPage("/readyz", [core](const std::string&) {
    return core->Board().leaving ? TextPage(503, "leaving")
                                 : TextPage(200, "ready");
  });
  api->AddPage("/metrics",
               [core](const std::string&) { return AgentMetricsPage(*core); });
  api->AddPage("/status",
               [core](const std::string&) { return AgentStatusPage(*core); });
}

}  // namespace burdockhill

// Stand-in for the platform: an object store and a VM list over HTTP, with
// rate limits. Outages, delays and lost responses to writes are injected under
// /admin/. The protocol is described in docs/platform-api.md.

#include <list>

#include "burdockhill/src/daemon/stop_signal.h"
#include "burdockhill/src/entry/rate_limit.h"
#include "standins/platform_model.h"
#include "standins/standin_main.h"

namespace burdockhill::standins {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooMany = 429;
constexpr double kDefaultWritesPerSecond = 400.0;
constexpr double kDefaultReadsPerSecond = 2000.0;

json ToJson(const StoredObject& object) {
  return {{"kind", object.key.kind},
          {"name", object.key.name},
          {"version", object.version},
          {"value", object.value},
          {"deleted", object.deleted}};
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  size_t start = 0;
  while (start <= text.size()) {
    size_t end = text.find(separator, start);
    if (end == std::string::npos) end = text.size();
    if (end > start) parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

int HttpStatus(StoreStatus status) {
  if (status == StoreStatus::kNotFound) return kStatusNotFound;
  if (status == StoreStatus::kConflict) return kStatusConflict;
  return kStatusOk;
}

class PlatformServer : public HttpHandler {
 public:
  PlatformServer(EventLoop* loop, const Clock* clock, const json& settings)
      : m_clock(clock),
        m_list_lag(
            MillisecondsOr(settings, "list_lag_ms", std::chrono::seconds(2))),
        m_vms(settings.at("vms")),
        m_listed_vms(m_vms) {
    const double writes =
        settings.value("writes_per_second", kDefaultWritesPerSecond);
    const double reads =
        settings.value("reads_per_second", kDefaultReadsPerSecond);
    m_writes.Configure(writes, writes);
    m_reads.Configure(reads, reads);
    HttpServer::Options options;
    options.address = *ParseAddress(settings.at("address").get<std::string>());
    // Requests with larger bodies are refused by the HTTP server.
    options.max_body_bytes = kMaxObjectBytes;
    m_server = std::make_unique<HttpServer>(loop, options, this);
  }

  void OnRequest(ExchangeId id, HttpRequest request) override {
    if (request.path.starts_with("/admin/")) return OnAdmin(id, request);
    ++m_counts[request.method + (request.path == "/v1/watch" ? " watch" : "")];
    if (m_outage) return m_server->Abort(id);
    const bool is_write = request.method != "GET";
    RateLimit& limit = is_write ? m_writes : m_reads;
    if (!limit.TryAcquire(m_clock->Now())) {
      ++m_counts["refused"];
      return RespondJson(m_server.get(), id, kStatusTooMany,
                         {{"error", "too many calls"}});
    }
    if (m_slowness > Duration(0)) {
      m_delayed.emplace_back(m_clock->Now() + m_slowness,
                             std::pair(id, std::move(request)));
      return;
    }
    Serve(id, request);
  }

  void OnClosed(ExchangeId id) override {
    m_watches.remove_if([&](const Wait& wait) { return wait.id == id; });
    m_delayed.remove_if(
        [&](const auto& item) { return item.second.first == id; });
  }

  void Step() {
    m_server->Flush();
    const TimePoint now = m_clock->Now();
    while (!m_delayed.empty() && m_delayed.front().first <= now) {
      const auto [id, request] = std::move(m_delayed.front().second);
      m_delayed.pop_front();
      Serve(id, request);
    }
    for (auto wait = m_watches.begin(); wait != m_watches.end();) {
      wait = AnswerWatch(*wait, now) ? m_watches.erase(wait) : std::next(wait);
    }
    if (now - m_listed_at >= m_list_lag) {
      m_listed_at = now;
      m_listed_vms = m_vms;
    }
  }

 private:
  struct Wait {
    ExchangeId id;
    std::vector<std::string> kinds;
    uint64_t since = 0;
    TimePoint deadline{};
  };

  void Serve(ExchangeId id, const HttpRequest& request) {
    if (request.path == "/v1/vms") {
      return RespondJson(m_server.get(), id, kStatusOk,
                         {{"vms", m_listed_vms}});
    }
    if (request.path == "/v1/watch") return OnWatch(id, request);
    const std::vector<std::string> parts = Split(request.path, '/');
    const bool is_object =
        parts.size() == 4 && parts[0] == "v1" && parts[1] == "objects";
    const bool is_list =
        parts.size() == 3 && parts[0] == "v1" && parts[1] == "objects";
    if (is_list && request.method == "GET") return OnList(id, parts[2]);
    if (!is_object) {
      return RespondJson(m_server.get(), id, kStatusNotFound,
                         {{"error", "no such path"}});
    }
    OnObject(id, request, {parts[2], parts[3]});
  }

  void OnList(ExchangeId id, const std::string& kind) {
    json objects = json::array();
    for (const StoredObject& object : m_model.ChangesSince({kind}, 0)) {
      objects.push_back(ToJson(object));
    }
    RespondJson(m_server.get(), id, kStatusOk,
                {{"revision", m_model.Revision()}, {"objects", objects}});
  }

  void OnObject(ExchangeId id, const HttpRequest& request,
                const ResourceKey& key) {
    if (request.method == "GET") {
      StoredObject object;
      const StoreStatus status = m_model.Get(key, &object);
      return RespondJson(m_server.get(), id, HttpStatus(status),
                         status == StoreStatus::kOk
                             ? ToJson(object)
                             : json{{"error", "not found"}});
    }
    const uint64_t expected =
        std::stoull("0" + QueryValue(request.query, "expected", "0"));
    uint64_t version = 0;
    const StoreStatus status =
        request.method == "DELETE"
            ? m_model.Delete(key, expected, &version)
            : m_model.Put(key, request.body, expected, &version);
    if (m_lose_answers > 0) {
      --m_lose_answers;
      return m_server->Abort(id);
    }
    RespondJson(m_server.get(), id, HttpStatus(status),
                status == StoreStatus::kOk ? json{{"version", version}}
                                           : json{{"error", "refused"}});
  }

  void OnWatch(ExchangeId id, const HttpRequest& request) {
    Wait wait;
    wait.id = id;
    wait.kinds = Split(QueryValue(request.query, "kinds", ""), ',');
    wait.since = std::stoull("0" + QueryValue(request.query, "since", "0"));
    const int64_t wait_ms =
        std::stoll("0" + QueryValue(request.query, "wait_ms", "0"));
    wait.deadline = m_clock->Now() + std::chrono::milliseconds(wait_ms);
    if (!AnswerWatch(wait, m_clock->Now())) m_watches.push_back(wait);
  }

  bool AnswerWatch(const Wait& wait, TimePoint now) {
    const std::vector<StoredObject> changes =
        wait.since >= m_model.Revision() && wait.since != 0
            ? std::vector<StoredObject>()
            : m_model.ChangesSince(wait.kinds, wait.since);
    if (changes.empty() && wait.since != 0 && now < wait.deadline) return false;
    json objects = json::array();
    for (const StoredObject& object : changes) {
      objects.push_back(ToJson(object));
    }
    RespondJson(m_server.get(), wait.id, kStatusOk,
                {{"revision", m_model.Revision()}, {"objects", objects}});
    return true;
  }

  void OnAdmin(ExchangeId id, const HttpRequest& request) {
    const auto number = [&](const char* name) {
      return std::stoll("0" + QueryValue(request.query, name, "0"));
    };
    if (request.path == "/admin/outage") {
      m_outage = number("on") != 0;
      if (m_outage) EndWatches();
    } else if (request.path == "/admin/slow") {
      m_slowness = std::chrono::milliseconds(number("ms"));
    } else if (request.path == "/admin/lose-answers") {
      m_lose_answers = number("count");
    } else if (request.path == "/admin/vm") {
      ChangeVm(request.query);
    }
    RespondJson(m_server.get(), id, kStatusOk,
                {{"revision", m_model.Revision()}, {"calls", m_counts}});
  }

  void EndWatches() {
    for (const Wait& wait : m_watches) m_server->Abort(wait.id);
  }

  // Query: "name=X&leaving=1" marks a VM as leaving, "name=X&gone=1" removes
  // it.
  void ChangeVm(const std::string& query) {
    const std::string name = QueryValue(query, "name", "");
    for (auto vm = m_vms.begin(); vm != m_vms.end(); ++vm) {
      if (vm->at("name") != name) continue;
      if (QueryValue(query, "gone", "0") == "1") {
        m_vms.erase(vm);
        return;
      }
      (*vm)["leaving"] = QueryValue(query, "leaving", "0") == "1";
    }
  }

  const Clock* m_clock;
  Duration m_list_lag;
  json m_vms;
  json m_listed_vms;
  TimePoint m_listed_at{};
  std::unique_ptr<HttpServer> m_server;
  PlatformModel m_model;
  RateLimit m_writes;
  RateLimit m_reads;
  bool m_outage = false;
  Duration m_slowness{0};
  int64_t m_lose_answers = 0;
  std::list<Wait> m_watches;
  std::list<std::pair<TimePoint, std::pair<ExchangeId, HttpRequest>>> m_delayed;
  std::map<std::string, int64_t> m_counts;
};

}  // namespace

// Serves until SIGINT or SIGTERM.
static int Run(const json& settings) {
  const SystemClock clock;
  EventLoop loop;
  WatchStopSignals(&loop);
  PlatformServer server(&loop, &clock, settings);
  while (!StopRequested()) {
    loop.WakeAfter(std::chrono::milliseconds(10));
    loop.RunOnce();
    server.Step();
  }
  return 0;
}

}  // namespace burdockhill::standins

int main(int argc, char** argv) {
  return burdockhill::standins::RunStandin(argc, argv,
                                           burdockhill::standins::Run);
}

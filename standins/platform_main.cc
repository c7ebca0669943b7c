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
constexpr int kStatusGone = 410;
constexpr int kStatusTooManyRequests = 429;
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

int ToHttpStatus(StoreStatus status) {
  if (status == StoreStatus::kNotFound) return kStatusNotFound;
  if (status == StoreStatus::kConflict) return kStatusConflict;
  return kStatusOk;
}

class PlatformServer : public HttpHandler {
 public:
  PlatformServer(EventLoop* loop, const Clock* clock, const json& settings)
      : m_clock(clock),
        m_vm_list_lag(
            MillisecondsOr(settings, "list_lag_ms", std::chrono::seconds(2))),
        m_vms(settings.at("vms")),
        m_listed_vms(m_vms) {
    const double writes_per_second =
        settings.value("writes_per_second", kDefaultWritesPerSecond);
    const double reads_per_second =
        settings.value("reads_per_second", kDefaultReadsPerSecond);
    m_write_limit.Configure(writes_per_second, writes_per_second);
    m_read_limit.Configure(reads_per_second, reads_per_second);
    HttpServer::Options options;
    options.address = *ParseAddress(settings.at("address").get<std::string>());
    // Requests with larger bodies are refused by the HTTP server.
    options.max_body_bytes = kMaxObjectBytes;
    m_server = std::make_unique<HttpServer>(loop, options, this);
  }

  void OnRequest(ExchangeId id, HttpRequest request) override {
    if (request.path.starts_with("/admin/")) return OnAdmin(id, request);
    ++m_call_counts[request.method +
                    (request.path == "/v1/watch" ? " watch" : "")];
    if (m_is_down) return m_server->Abort(id);
    const bool is_write = request.method != "GET";
    RateLimit& rate_limit = is_write ? m_write_limit : m_read_limit;
    if (!rate_limit.TryAcquire(m_clock->Now())) {
      ++m_call_counts["refused"];
      return RespondJson(m_server.get(), id, kStatusTooManyRequests,
                         {{"error", "too many calls"}});
    }
    if (m_request_delay > Duration(0)) {
      m_delayed_requests.emplace_back(m_clock->Now() + m_request_delay,
                                      std::pair(id, std::move(request)));
      return;
    }
    Serve(id, request);
  }

  void OnClosed(ExchangeId id) override {
    m_watches.remove_if(
        [&](const PendingWatch& watch) { return watch.id == id; });
    m_delayed_requests.remove_if(
        [&](const auto& item) { return item.second.first == id; });
  }

  void Tick() {
    m_server->Flush();
    const TimePoint now = m_clock->Now();
    while (!m_delayed_requests.empty() &&
           m_delayed_requests.front().first <= now) {
      const auto [id, request] = std::move(m_delayed_requests.front().second);
      m_delayed_requests.pop_front();
      Serve(id, request);
    }
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
      watch =
          AnswerWatch(*watch, now) ? m_watches.erase(watch) : std::next(watch);
    }
    if (now - m_vms_listed_at >= m_vm_list_lag) {
      m_vms_listed_at = now;
      m_listed_vms = m_vms;
    }
  }

 private:
  struct PendingWatch {
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
      return RespondJson(m_server.get(), id, ToHttpStatus(status),
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
    if (m_answers_to_lose > 0) {
      --m_answers_to_lose;
      return m_server->Abort(id);
    }
    RespondJson(m_server.get(), id, ToHttpStatus(status),
                status == StoreStatus::kOk ? json{{"version", version}}
                                           : json{{"error", "refused"}});
  }

  void OnWatch(ExchangeId id, const HttpRequest& request) {
    PendingWatch watch;
    watch.id = id;
    watch.kinds = Split(QueryValue(request.query, "kinds", ""), ',');
    watch.since = std::stoull("0" + QueryValue(request.query, "since", "0"));
    const int64_t wait_ms =
        std::stoll("0" + QueryValue(request.query, "wait_ms", "0"));
    watch.deadline = m_clock->Now() + std::chrono::milliseconds(wait_ms);
    if (!AnswerWatch(watch, m_clock->Now())) m_watches.push_back(watch);
  }

  bool AnswerWatch(const PendingWatch& poll, TimePoint now) {
    if (!m_model.HasHistorySince(poll.since)) {
      RespondJson(m_server.get(), poll.id, kStatusGone, json::object());
      return true;
    }
    const std::vector<StoredObject> changes =
        poll.since >= m_model.Revision() && poll.since != 0
            ? std::vector<StoredObject>()
            : m_model.ChangesSince(poll.kinds, poll.since);
    if (changes.empty() && poll.since != 0 && now < poll.deadline) return false;
    json objects = json::array();
    for (const StoredObject& object : changes) {
      objects.push_back(ToJson(object));
    }
    RespondJson(m_server.get(), poll.id, kStatusOk,
                {{"revision", m_model.Revision()}, {"objects", objects}});
    return true;
  }

  void OnAdmin(ExchangeId id, const HttpRequest& request) {
    const auto int_parameter = [&](const char* name) {
      return std::stoll("0" + QueryValue(request.query, name, "0"));
    };
    if (request.path == "/admin/outage") {
      m_is_down = int_parameter("on") != 0;
      if (m_is_down) AbortWatches();
    } else if (request.path == "/admin/slow") {
      m_request_delay = std::chrono::milliseconds(int_parameter("ms"));
    } else if (request.path == "/admin/lose-answers") {
      m_answers_to_lose = int_parameter("count");
    } else if (request.path == "/admin/copy") {
      m_copy = m_model;
    } else if (request.path == "/admin/restore") {
      m_model.Restore(m_copy);
    } else if (request.path == "/admin/vm") {
      ChangeVm(request.query);
    }
    RespondJson(m_server.get(), id, kStatusOk,
                {{"revision", m_model.Revision()}, {"calls", m_call_counts}});
  }

  void AbortWatches() {
    for (const PendingWatch& watch : m_watches) m_server->Abort(watch.id);
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
  Duration m_vm_list_lag;
  json m_vms;
  json m_listed_vms;
  TimePoint m_vms_listed_at{};
  std::unique_ptr<HttpServer> m_server;
  PlatformModel m_model;
  PlatformModel m_copy;  // To restore the model from.
  RateLimit m_write_limit;
  RateLimit m_read_limit;
  bool m_is_down = false;
  Duration m_request_delay{0};
  int64_t m_answers_to_lose = 0;
  std::list<PendingWatch> m_watches;
  std::list<std::pair<TimePoint, std::pair<ExchangeId, HttpRequest>>>
      m_delayed_requests;
  std::map<std::string, int64_t> m_call_counts;
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
    server.Tick();
  }
  return 0;
}

}  // namespace burdockhill::standins

int main(int argc, char** argv) {
  return burdockhill::standins::RunStandin(argc, argv,
                                           burdockhill::standins::Run);
}

// Stand-in for a plain HTTP service, such as bookings or orders. Counts the
// executions of every method but GET by request body, so that tests can detect
// a request that ran twice.

#include <map>

#include "burdockhill/src/daemon/stop_signal.h"
#include "standins/standin_main.h"

namespace burdockhill::standins {
namespace {

using nlohmann::json;

class PlainServer : public HttpHandler {
 public:
  PlainServer(EventLoop* loop, const Clock* clock, const json& settings)
      : m_clock(clock),
        m_name(settings.value("name", "plain")),
        m_delay(MillisecondsOr(settings, "delay_ms", Duration(5000))) {
    HttpServer::Options options;
    options.address = *ParseAddress(settings.at("address").get<std::string>());
    m_server = std::make_unique<HttpServer>(loop, options, this);
  }

  void OnRequest(ExchangeId id, HttpRequest request) override {
    if (request.path == "/healthz") {
      return RespondJson(m_server.get(), id, 200, {{"status", "ok"}});
    }
    if (request.path == "/admin/executions") {
      return RespondJson(m_server.get(), id, 200,
                         {{"total", m_execution_count},
                          {"by_body", m_executions_by_body},
                          {"reads", m_read_count}});
    }
    if (request.path == "/admin/delay") {
      m_delay = std::chrono::milliseconds(
          std::stoll("0" + QueryValue(request.query, "ms", "0")));
      return RespondJson(m_server.get(), id, 200, json::object());
    }
    m_delayed_answers.emplace_back(m_clock->Now() + m_delay,
                                   Answer{id, Execute(request)});
  }

  void OnClosed(ExchangeId id) override {
    std::erase_if(m_delayed_answers,
                  [&](const auto& item) { return item.second.id == id; });
  }

  void Tick() {
    m_server->Flush();
    const TimePoint now = m_clock->Now();
    while (!m_delayed_answers.empty() &&
           m_delayed_answers.front().first <= now) {
      const Answer answer = m_delayed_answers.front().second;
      m_delayed_answers.erase(m_delayed_answers.begin());
      RespondJson(m_server.get(), answer.id, 200, answer.body);
    }
  }

 private:
  struct Answer {
    ExchangeId id;
    json body;
  };

  json Execute(const HttpRequest& request) {
    if (request.method == "GET") {
      ++m_read_count;
      return {{"service", m_name},
              {"path", request.path},
              {"total", m_execution_count}};
    }
    ++m_execution_count;
    ++m_executions_by_body[request.body];
    return {{"service", m_name},
            {"path", request.path},
            {"number", m_execution_count},
            {"status", "accepted"}};
  }

  const Clock* m_clock;
  std::string m_name;
  Duration m_delay;
  std::unique_ptr<HttpServer> m_server;
  std::vector<std::pair<TimePoint, Answer>> m_delayed_answers;
  int64_t m_execution_count = 0;
  int64_t m_read_count = 0;
  std::map<std::string, int64_t> m_executions_by_body;
};

}  // namespace

// Serves until SIGINT or SIGTERM.
static int Run(const json& settings) {
  const SystemClock clock;
  EventLoop loop;
  WatchStopSignals(&loop);
  PlainServer server(&loop, &clock, settings);
  while (!StopRequested()) {
    loop.WakeAfter(std::chrono::milliseconds(2));
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

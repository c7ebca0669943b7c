// burdockhill-load: open-loop load generator. Sends streamed completions as a
// Poisson process of a given rate, without waiting for responses, and prints
// latencies, tokens and statuses as JSON. Arrivals are drawn from a seed, so
// runs with the same flags send the same requests at the same times.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "burdockhill/transport.h"

ABSL_FLAG(std::vector<std::string>, callers, {},
          "Callers' addresses of entries, used in turn.");
ABSL_FLAG(std::vector<std::string>, direct_prefill, {},
          "Prefill engines, to be called without the router.");
ABSL_FLAG(std::vector<std::string>, direct_decode, {},
          "Decode engines, to be called without the router.");
ABSL_FLAG(std::string, key, "demo-adjusters", "API key.");
ABSL_FLAG(std::string, model, "digest-llm", "Model to ask.");
ABSL_FLAG(double, rate, 10.0, "Requests a second.");
ABSL_FLAG(double, seconds, 10.0, "Time during which requests are sent.");
ABSL_FLAG(int, prompt_bytes, 400, "Length of prompts.");
ABSL_FLAG(int, answer_tokens, 20, "Length of answers.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the arrivals.");

namespace burdockhill {
namespace {

using nlohmann::json;

// One request and what its caller received.
struct Sent {
  TimePoint at{};
  std::optional<TimePoint> first;
  std::optional<TimePoint> last;
  int status = 0;
  int64_t tokens = 0;
  bool whole = false;
  // The last line, while incomplete: an event may be split over reads.
  std::string tail;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0.0;
  std::sort(values.begin(), values.end());
  const auto at =
      static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  return values[at];
}

class Load {
 public:
  Load() : m_client(&m_loop), m_random(absl::GetFlag(FLAGS_seed)) {
    for (const std::string& text : absl::GetFlag(FLAGS_callers)) {
      m_callers.push_back(*ParseAddress(text));
    }
    for (const std::string& text : absl::GetFlag(FLAGS_direct_prefill)) {
      m_prefill.push_back(*ParseAddress(text));
    }
    for (const std::string& text : absl::GetFlag(FLAGS_direct_decode)) {
      m_decode.push_back(*ParseAddress(text));
    }
  }

  void Run() {
    const TimePoint start = m_clock.Now();
    const TimePoint end = start + Seconds(absl::GetFlag(FLAGS_seconds));
    const TimePoint give_up = end + std::chrono::seconds(60);
    TimePoint next = start;
    while (m_clock.Now() < give_up && (next < end || m_open > 0)) {
      while (next < end && next <= m_clock.Now()) {
        Send(next);
        const double gap = -std::log(1.0 - m_random.UniformDouble()) /
                           absl::GetFlag(FLAGS_rate);
        next += Seconds(gap);
      }
      const Duration wait = next < end
                                ? next - m_clock.Now()
                                : Duration(std::chrono::milliseconds(50));
      m_loop.WakeAfter(std::max(wait, Duration(1)));
      m_loop.RunOnce();
    }
    m_elapsed = m_clock.Now() - start;
  }

  json Report() const {
    std::vector<double> first_ms;
    std::vector<double> gap_ms;
    int64_t tokens = 0;
    int64_t whole = 0;
    std::map<std::string, int64_t> statuses;
    for (const auto& sent : m_sent) {
      ++statuses[std::to_string(sent->status)];
      tokens += sent->tokens;
      if (sent->whole) ++whole;
      if (!sent->first.has_value()) continue;
      first_ms.push_back(Milliseconds(*sent->first - sent->at));
      if (sent->tokens > 1) {
        gap_ms.push_back(Milliseconds(*sent->last - *sent->first) /
                         static_cast<double>(sent->tokens - 1));
      }
    }
    const double seconds = Milliseconds(m_elapsed) / 1e3;
    return {{"sent", m_sent.size()},
            {"whole", whole},
            {"statuses", statuses},
            {"first_token_ms_p50", Percentile(first_ms, 0.5)},
            {"first_token_ms_p95", Percentile(first_ms, 0.95)},
            {"per_token_ms_p95", Percentile(gap_ms, 0.95)},
            {"tokens", tokens},
            {"tokens_per_second", static_cast<double>(tokens) / seconds},
            {"seconds", seconds}};
  }

 private:
  static Duration Seconds(double seconds) {
    return Duration(static_cast<int64_t>(seconds * 1e6));
  }
  static double Milliseconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1e3;
  }

  std::string Prompt(size_t number) const {
    std::string prompt =
        "[[length=" + std::to_string(absl::GetFlag(FLAGS_answer_tokens)) +
        "]] request " + std::to_string(number) + " ";
    prompt.resize(std::max<size_t>(
                      prompt.size(),
                      static_cast<size_t>(absl::GetFlag(FLAGS_prompt_bytes))),
                  'x');
    return prompt;
  }

  void Send(TimePoint due) {
    m_sent.push_back(std::make_shared<Sent>());
    const std::shared_ptr<Sent> sent = m_sent.back();
    sent->at = due;
    ++m_open;
    if (m_callers.empty()) return SendDirect(sent);
    ClientRequest request;
    request.address = m_callers[m_sent.size() % m_callers.size()];
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"authorization", "Bearer " + absl::GetFlag(FLAGS_key)}};
    request.body = json{{"model", absl::GetFlag(FLAGS_model)},
                        {"stream", true},
                        {"max_tokens", absl::GetFlag(FLAGS_answer_tokens)},
                        {"prompt", Prompt(m_sent.size())}}
                       .dump();
    m_client.Start(std::move(request), Stream(sent, "\"text\":\"", "[DONE]"));
  }

  // Sends the prefill and the decode calls that the router would send.
  void SendDirect(const std::shared_ptr<Sent>& sent) {
    const size_t number = m_sent.size();
    const std::string id = "direct-" + std::to_string(number);
    const Address prefill = m_prefill[number % m_prefill.size()];
    const Address decode = m_decode[number % m_decode.size()];
    ClientRequest request;
    request.address = prefill;
    request.method = "POST";
    request.path = "/v1/prefill";
    request.body = json{{"id", id}, {"prompt", Prompt(number)}}.dump();
    FetchResponse(
        &m_client, std::move(request),
        [this, sent, id, prefill, decode](CallEnd end, int status,
                                          const std::string& body) {
          sent->status = status;
          if (end != CallEnd::kComplete || status != 200) {
            --m_open;
            return;
          }
          const json done = json::parse(body);
          ClientRequest next;
          next.address = decode;
          next.method = "POST";
          next.path = "/v1/decode";
          next.body = json{{"id", id},
                           {"kv_handle", done["kv_handle"]},
                           {"kv_source",
                            prefill.host + ":" + std::to_string(prefill.port)},
                           {"max_tokens", absl::GetFlag(FLAGS_answer_tokens)}}
                          .dump();
          m_client.Start(std::move(next),
                         Stream(sent, "\"text\":\"", "finish_reason"));
        });
  }

  ClientEvents Stream(const std::shared_ptr<Sent>& sent,
                      const std::string& token_mark,
                      const std::string& end_mark) {
    ClientEvents events;
    events.on_head = [sent](int status, const std::string& /*type*/) {
      sent->status = status;
    };
    events.on_data = [this, sent, token_mark, end_mark](std::string_view data) {
      if (sent->status != 200) return;
      const TimePoint now = m_clock.Now();
      if (!sent->first.has_value()) sent->first = now;
      sent->last = now;
      sent->tail.append(data);
      size_t at = 0;
      while ((at = sent->tail.find(token_mark, at)) != std::string::npos) {
        at += token_mark.size();
        // The last event from the router has an empty text and holds no token.
        if (at < sent->tail.size() && sent->tail[at] != '"') ++sent->tokens;
      }
      if (sent->tail.find(end_mark) != std::string::npos) sent->whole = true;
      const size_t line = sent->tail.rfind('\n');
      if (line != std::string::npos) sent->tail.erase(0, line + 1);
    };
    events.on_end = [this](CallEnd /*end*/) { --m_open; };
    return events;
  }

  SystemClock m_clock;
  EventLoop m_loop;
  HttpClient m_client;
  Random m_random;
  std::vector<Address> m_callers;
  std::vector<Address> m_prefill;
  std::vector<Address> m_decode;
  std::vector<std::shared_ptr<Sent>> m_sent;
  int64_t m_open = 0;
  Duration m_elapsed{0};
};

}  // namespace
}  // namespace burdockhill

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "burdockhill-load --callers=ADDRESS,... --rate=N --seconds=N\n"
      "burdockhill-load --direct_prefill=ADDRESS,... "
      "--direct_decode=ADDRESS,... --rate=N --seconds=N");
  absl::ParseCommandLine(argc, argv);
  const bool direct = !absl::GetFlag(FLAGS_direct_prefill).empty() &&
                      !absl::GetFlag(FLAGS_direct_decode).empty();
  if (!direct && absl::GetFlag(FLAGS_callers).empty()) {
    std::cerr << "burdockhill-load: name --callers, or both --direct_prefill "
                 "and --direct_decode\n";
    return 2;
  }
  burdockhill::Load load;
  load.Run();
  std::cout << load.Report().dump() << "\n";
  return 0;
}

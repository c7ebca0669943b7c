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

#include "burdockhill/http.h"
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
struct CallRecord {
  TimePoint due_at{};
  std::optional<TimePoint> first_token_at;
  std::optional<TimePoint> last_token_at;
  int status = 0;
  int64_t tokens = 0;
  bool whole = false;
  // The last line, while incomplete: an event may be split over reads.
  std::string tail;
};

double Percentile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0.0;
  std::sort(values.begin(), values.end());
  const auto at =
      static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[at];
}

class LoadGenerator {
 public:
  LoadGenerator() : m_client(&m_loop), m_random(absl::GetFlag(FLAGS_seed)) {
    for (const std::string& text : absl::GetFlag(FLAGS_callers)) {
      m_entries.push_back(*ParseAddress(text));
    }
    for (const std::string& text : absl::GetFlag(FLAGS_direct_prefill)) {
      m_prefill_engines.push_back(*ParseAddress(text));
    }
    for (const std::string& text : absl::GetFlag(FLAGS_direct_decode)) {
      m_decode_engines.push_back(*ParseAddress(text));
    }
  }

  void Run() {
    const TimePoint start = m_clock.Now();
    const TimePoint end = start + FromSeconds(absl::GetFlag(FLAGS_seconds));
    const TimePoint give_up = end + std::chrono::seconds(60);
    TimePoint next_arrival = start;
    while (m_clock.Now() < give_up &&
           (next_arrival < end || m_open_requests > 0)) {
      while (next_arrival < end && next_arrival <= m_clock.Now()) {
        SendRequest(next_arrival);
        const double gap = -std::log(1.0 - m_random.UniformDouble()) /
                           absl::GetFlag(FLAGS_rate);
        next_arrival += FromSeconds(gap);
      }
      const Duration wait = next_arrival < end
                                ? next_arrival - m_clock.Now()
                                : Duration(std::chrono::milliseconds(50));
      m_loop.WakeAfter(std::max(wait, Duration(1)));
      m_loop.RunOnce();
    }
    m_elapsed = m_clock.Now() - start;
  }

  json Report() const {
    std::vector<double> first_token_ms;
    std::vector<double> per_token_ms;
    int64_t tokens = 0;
    int64_t whole = 0;
    std::map<std::string, int64_t> statuses;
    for (const auto& call : m_calls) {
      ++statuses[std::to_string(call->status)];
      tokens += call->tokens;
      if (call->whole) ++whole;
      if (!call->first_token_at.has_value()) continue;
      first_token_ms.push_back(
          ToMilliseconds(*call->first_token_at - call->due_at));
      if (call->tokens > 1) {
        per_token_ms.push_back(
            ToMilliseconds(*call->last_token_at - *call->first_token_at) /
            static_cast<double>(call->tokens - 1));
      }
    }
    const double seconds = ToMilliseconds(m_elapsed) / 1e3;
    return {{"sent", m_calls.size()},
            {"whole", whole},
            {"statuses", statuses},
            {"first_token_ms_p50", Percentile(first_token_ms, 0.5)},
            {"first_token_ms_p95", Percentile(first_token_ms, 0.95)},
            {"per_token_ms_p95", Percentile(per_token_ms, 0.95)},
            {"tokens", tokens},
            {"tokens_per_second", static_cast<double>(tokens) / seconds},
            {"seconds", seconds}};
  }

 private:
  static Duration FromSeconds(double seconds) {
    return Duration(static_cast<int64_t>(seconds * 1e6));
  }
  static double ToMilliseconds(Duration duration) {
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

  void SendRequest(TimePoint due_at) {
    m_calls.push_back(std::make_shared<CallRecord>());
    const std::shared_ptr<CallRecord> call = m_calls.back();
    call->due_at = due_at;
    ++m_open_requests;
    if (m_entries.empty()) return SendDirect(call);
    ClientRequest request;
    request.address = m_entries[m_calls.size() % m_entries.size()];
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers.Add("Authorization", "Bearer " + absl::GetFlag(FLAGS_key));
    request.body = json{{"model", absl::GetFlag(FLAGS_model)},
                        {"stream", true},
                        {"max_tokens", absl::GetFlag(FLAGS_answer_tokens)},
                        {"prompt", Prompt(m_calls.size())}}
                       .dump();
    m_client.Start(std::move(request),
                   StreamCallbacks(call, "\"text\":\"", "[DONE]"));
  }

  // Sends the prefill and the decode calls that the router would send.
  void SendDirect(const std::shared_ptr<CallRecord>& call) {
    const size_t number = m_calls.size();
    const std::string id = "direct-" + std::to_string(number);
    const Address prefill =
        m_prefill_engines[number % m_prefill_engines.size()];
    const Address decode = m_decode_engines[number % m_decode_engines.size()];
    ClientRequest request;
    request.address = prefill;
    request.method = "POST";
    request.path = "/v1/prefill";
    request.body = json{{"id", id}, {"prompt", Prompt(number)}}.dump();
    FetchResponse(
        &m_client, std::move(request),
        [this, call, id, prefill, decode](CallEnd end, int status,
                                          const std::string& body) {
          call->status = status;
          if (end != CallEnd::kComplete || status != 200) {
            --m_open_requests;
            return;
          }
          const json done = json::parse(body);
          ClientRequest decode_request;
          decode_request.address = decode;
          decode_request.method = "POST";
          decode_request.path = "/v1/decode";
          decode_request.body =
              json{{"id", id},
                   {"kv_handle", done["kv_handle"]},
                   {"kv_source",
                    prefill.host + ":" + std::to_string(prefill.port)},
                   {"max_tokens", absl::GetFlag(FLAGS_answer_tokens)}}
                  .dump();
          m_client.Start(std::move(decode_request),
                         StreamCallbacks(call, "\"text\":\"", "finish_reason"));
        });
  }

  ClientEvents StreamCallbacks(const std::shared_ptr<CallRecord>& call,
                               const std::string& token_marker,
                               const std::string& end_marker) {
    ClientEvents events;
    events.on_head = [call](const http::Head& head) {
      call->status = head.status;
    };
    events.on_stream_data = [this, call, token_marker,
                             end_marker](std::string_view data) -> size_t {
      if (call->status != 200) return 0;
      const TimePoint now = m_clock.Now();
      if (!call->first_token_at.has_value()) call->first_token_at = now;
      call->last_token_at = now;
      call->tail.append(data);
      size_t at = 0;
      while ((at = call->tail.find(token_marker, at)) != std::string::npos) {
        at += token_marker.size();
        // The last event from the router has an empty text and holds no token.
        if (at < call->tail.size() && call->tail[at] != '"') ++call->tokens;
      }
      if (call->tail.find(end_marker) != std::string::npos) call->whole = true;
      const size_t line = call->tail.rfind('\n');
      if (line != std::string::npos) call->tail.erase(0, line + 1);
      return call->tail.size();
    };
    events.on_end = [this](CallEnd /*end*/) { --m_open_requests; };
    return events;
  }

  SystemClock m_clock;
  EventLoop m_loop;
  HttpClient m_client;
  Random m_random;
  std::vector<Address> m_entries;
  std::vector<Address> m_prefill_engines;
  std::vector<Address> m_decode_engines;
  std::vector<std::shared_ptr<CallRecord>> m_calls;
  int64_t m_open_requests = 0;
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
  burdockhill::LoadGenerator load;
  load.Run();
  std::cout << load.Report().dump() << "\n";
  return 0;
}

#include "emulation/model_runner_fake.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace burdockhill::emulation {

namespace {

std::string HeaderValue(const http::Head& head, const char* name) {
  const std::string* value = head.headers.Find(name);
  return value == nullptr ? "" : *value;
}

int64_t FirstNumberInHeader(const http::Head& head, const char* name) {
  const std::string text = HeaderValue(head, name);
  return http::ParseNumber(text.substr(0, text.find(','))).value_or(0);
}

constexpr int kAcceptedStatus = 202;
constexpr int kConflictStatus = 409;
constexpr int kWrongRunnerStatus = 421;
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kKvHandleLifetime = std::chrono::milliseconds(500);

}  // namespace

ModelRunnerFake::ModelRunnerFake(const Options& options, Sockets* sockets,
                                 EventQueue* queue, const Clock* clock,
                                 KvHandles* handles, RunnerCounters* counts)
    : m_options(options),
      m_clock(clock),
      m_queue(queue),
      m_handles(handles),
      m_counts(counts),
      m_server(sockets, clock, this) {
  m_server.Listen(*ParseAddress(options.address));
  StepBatch();
}

void ModelRunnerFake::Respond(http::ExchangeId id, int status,
                              const std::string& request_id,
                              const std::string& body, bool not_run) {
  http::Head head;
  head.status = status;
  if (!request_id.empty()) head.headers.Add("X-Request-Id", request_id);
  if (not_run) head.headers.Add("X-Not-Executed", "1");
  m_rate.StateLimit(&head);
  m_server.Respond(id, head, body);
}

void ModelRunnerFake::Restart(const std::string& name,
                              const std::string& version,
                              int64_t started_at_ms) {
  m_options.name = name;
  m_options.version = version;
  m_options.started_at_ms = started_at_ms;
  for (const auto& [id, run] : m_runs) m_server.Abort(id);
  for (const Prompt& prompt : m_queued_prompts) m_server.Abort(prompt.id);
  m_runs.clear();
  m_queued_prompts.clear();
  std::erase_if(*m_handles, [this](const std::string& handle) {
    return handle.starts_with(m_options.address + "-");
  });
  m_orders_accepted = 0;
  ++m_lifetime;
}

void ModelRunnerFake::OnRequest(http::ExchangeId id, http::Head head,
                                std::string body) {
  if (m_crashed) return;
  const std::string request_id = HeaderValue(head, "X-Request-Id");
  if (head.target == "/-/report") return RespondWithReport(id);
  if (head.method == "DELETE") {
    m_handles->erase(head.target.substr(head.target.rfind('/') + 1));
    return Respond(id, http::kOk, "", "");
  }
  if (head.target == "/-/order") return HandleRoleOrder(id, body);
  const TimePoint now = m_clock->Now();
  m_rate.Count(now, request_id);
  const std::string expected = HeaderValue(head, "X-Expect-Instance");
  if (!m_options.name.empty() && !expected.empty() &&
      expected != m_options.name) {
    m_counts->stream_retries.CountArrival(request_id, now);
    return Respond(id, kWrongRunnerStatus, request_id, "", /*not_run=*/true);
  }
  if (m_is_changing_role) {
    m_counts->stream_retries.CountArrival(request_id, now);
    return Respond(id, http::kUnavailable, request_id, "", /*not_run=*/true);
  }
  if (HeaderValue(head, "X-Stage") == "prefill") {
    m_rate.NotePrompt();
    m_counts->stream_retries.CountPrefill(request_id, now);
    m_queued_prompts.push_back(
        {id, FirstNumberInHeader(head, "X-Token-Counts"), request_id});
    return StartNextPrefill();
  }
  m_counts->stream_retries.CountArrival(request_id, now);
  StartDecode(id, head);
}

void ModelRunnerFake::RespondWithReport(http::ExchangeId id) {
  std::string runs;
  for (const auto& [exchange, run] : m_runs) {
    if (!runs.empty()) runs += ",";
    runs += "[\"" + run.request_id + "\"," +
            std::to_string(run.prompt + run.produced) + "," +
            std::to_string(run.produced / m_options.tokens_per_event) + ",5]";
  }
  const bool prefill = m_options.role == EngineRole::kPrefill;
  const std::string born =
      m_options.started_at_ms == 0
          ? ""
          : R"("born":)" + std::to_string(m_options.started_at_ms) + ",";
  Respond(id, http::kOk, "",
          "{" + born + R"("stage":")" + (prefill ? "prefill" : "decode") +
              R"(","busy":)" + (m_is_changing_role ? "true" : "false") +
              R"(,"seq":)" + std::to_string(m_orders_accepted) +
              R"(,"queued":0,"active":0,"kvUsed":0,)" + R"("kvTotal":)" +
              std::to_string(m_options.memory) + R"(,"runs":[)" + runs + "]}");
}

void ModelRunnerFake::HandleRoleOrder(http::ExchangeId id,
                                      const std::string& body) {
  if (m_is_changing_role || m_options.ignores_orders) {
    return Respond(id, kConflictStatus, "", "");
  }
  m_is_changing_role = true;
  ++m_orders_accepted;
  const bool prefill = body.find(R"("prefill")") != std::string::npos;
  FinishRoleChange(prefill ? EngineRole::kPrefill : EngineRole::kDecode);
  Respond(id, kAcceptedStatus, "", "");
}

void ModelRunnerFake::FinishRoleChange(EngineRole role) {
  const bool is_idle =
      m_runs.empty() && m_queued_prompts.empty() && !m_is_prefilling;
  if (!is_idle) {
    m_queue->Schedule(kIdleCheckInterval,
                      [this, role] { FinishRoleChange(role); });
    return;
  }
  m_queue->Schedule(m_options.role_change_time, [this, role] {
    m_options.role = role;
    m_is_changing_role = false;
  });
}

Duration ModelRunnerFake::PrefillTime(int64_t tokens) const {
  return m_options.prefill_overhead +
         Duration(static_cast<int64_t>(1000.0 * static_cast<double>(tokens) /
                                       m_options.prefill_tokens_per_ms));
}

void ModelRunnerFake::StartNextPrefill() {
  if (m_is_prefilling || m_queued_prompts.empty()) return;
  m_is_prefilling = true;
  const Prompt prompt = m_queued_prompts.front();
  m_queued_prompts.pop_front();
  const int lifetime = m_lifetime;
  m_queue->Schedule(PrefillTime(prompt.tokens), [this, prompt, lifetime] {
    m_is_prefilling = false;
    if (m_crashed) return;
    if (lifetime != m_lifetime) {
      m_server.Abort(prompt.id);
      return StartNextPrefill();
    }
    const std::string handle =
        m_options.address + "-" + std::to_string(++m_last_number);
    if (!m_options.loses_kv) m_handles->insert(handle);
    m_queue->Schedule(kKvHandleLifetime,
                      [this, handle] { m_handles->erase(handle); });
    ++m_prefill_count;
    ++m_counts->prompts_computed;
    if (m_options.lose_every_nth_prefill > 0 &&
        m_prefill_count % m_options.lose_every_nth_prefill == 0) {
      m_server.Abort(prompt.id);
      return StartNextPrefill();
    }
    Respond(prompt.id, http::kOk, prompt.request_id,
            R"({"kvHandle":")" + handle + R"("})");
    StartNextPrefill();
  });
}

void ModelRunnerFake::StartDecode(http::ExchangeId id, const http::Head& head) {
  const std::string request_id = HeaderValue(head, "X-Request-Id");
  const std::string source = HeaderValue(head, "X-Kv-Source");
  const int64_t prompt = FirstNumberInHeader(head, "X-Token-Counts");
  if (!source.empty()) {
    const std::string handle = source.substr(source.find('/') + 1);
    if (m_handles->erase(handle) == 0) {
      return Respond(id, http::kUnavailable, request_id, "", /*not_run=*/true);
    }
    ++m_counts->kv_handles_consumed;
  }
  if (MemoryUsed() + prompt > m_options.memory) {
    return Respond(id, http::kUnavailable, request_id, "", /*not_run=*/true);
  }
  if (source.empty()) m_batch_delay += 2 * PrefillTime(prompt);
  ++m_counts->starts_by_request[request_id];
  Run run;
  run.request_id = request_id;
  run.prompt = prompt;
  run.length = FirstNumberInHeader(head, "X-True-Length");
  const int64_t last_event_id = FirstNumberInHeader(head, "Last-Event-Id");
  run.produced = last_event_id * m_options.tokens_per_event;
  run.start_number = ++m_last_number;
  http::Head answer;
  answer.status = http::kOk;
  answer.headers.Add("X-Request-Id", request_id);
  answer.headers.Add("X-Response-Seal", "seal");
  m_rate.StateLimit(&answer);
  m_server.StartStream(id, answer);
  // A stream that is resumed after its last event only ends.
  if (last_event_id > 0 && run.produced >= run.length) {
    return m_server.EndStream(id);
  }
  m_runs[id] = run;
}

int64_t ModelRunnerFake::MemoryUsed() const {
  int64_t used = 0;
  for (const auto& [id, run] : m_runs) {
    if (run.recompute_left == Duration(0)) used += run.prompt + run.produced;
  }
  return used;
}

void ModelRunnerFake::PreemptUntilMemorySuffices() {
  while (MemoryUsed() > m_options.memory) {
    Run* newest = nullptr;
    for (auto& [id, run] : m_runs) {
      const bool running = run.recompute_left == Duration(0);
      if (running &&
          (newest == nullptr || run.start_number > newest->start_number)) {
        newest = &run;
      }
    }
    ++m_counts->preemptions;
    newest->recompute_left = std::chrono::milliseconds(500);
  }
}

void ModelRunnerFake::StepBatch() {
  if (m_crashed) return;
  if (m_batch_delay > Duration(0)) {
    m_queue->Schedule(std::exchange(m_batch_delay, Duration(0)),
                      [this] { StepBatch(); });
    return;
  }
  const std::string version =
      m_options.version.empty() ? "" : " " + m_options.version;
  std::vector<http::ExchangeId> ended;
  for (auto& [id, run] : m_runs) {
    if (run.recompute_left > Duration(0)) {
      run.recompute_left =
          std::max(run.recompute_left - m_options.event_interval, Duration(0));
      continue;
    }
    run.produced += m_options.tokens_per_event;
    const int64_t event = run.produced / m_options.tokens_per_event;
    m_server.WriteStream(id, "id: " + std::to_string(event) + "\ndata: " +
                                 run.request_id + version + "\n\n");
    if (run.produced >= run.length) ended.push_back(id);
  }
  for (const http::ExchangeId id : ended) {
    m_server.EndStream(id);
    m_runs.erase(id);
  }
  PreemptUntilMemorySuffices();
  m_queue->Schedule(m_options.event_interval, [this] { StepBatch(); });
}

void ModelRunnerFake::OnCallerDisconnected(http::ExchangeId id) {
  m_runs.erase(id);
  std::erase_if(m_queued_prompts,
                [&](const Prompt& prompt) { return prompt.id == id; });
}

}  // namespace burdockhill::emulation

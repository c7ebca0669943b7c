#include "emulation/upstream_fake.h"

#include <utility>

namespace burdockhill::emulation {

namespace {
constexpr Duration kBackEndDelay = std::chrono::microseconds(200);
constexpr Duration kStatePollTimeout = std::chrono::seconds(2);

EngineName EngineNameAt(size_t index) {
  return EngineName("engine-" + std::to_string(index));
}

size_t EngineIndex(const EngineName& name) {
  return std::stoul(name.Value().substr(std::string("engine-").size()));
}

}  // namespace

UpstreamFake::UpstreamFake(const Options& options, EventQueue* queue,
                           ManualClock* clock, Random* random,
                           NetworkFake* network, EngineDirectory* directory,
                           ExecutionLog* executions)
    : Node(options.hello),
      m_options(options),
      m_queue(queue),
      m_clock(clock),
      m_random(random),
      m_link(network, options.hello.vm),
      m_directory(directory),
      m_executions(executions),
      m_network(network) {
  for (const standins::EngineOptions& engine : m_options.engines) {
    m_engines.push_back(
        std::make_unique<standins::EngineModel>(engine, m_clock));
    m_attempts.emplace_back();
    (*m_directory)[EngineAddress(m_engines.size() - 1)] =
        m_engines.back().get();
  }
}

std::string UpstreamFake::EngineAddress(size_t index) const {
  return m_options.hello.vm.Value() + ":" + std::to_string(index);
}

void UpstreamFake::Start() {
  MarkStarted(Incarnation(m_random->NextId()));
  AgentIdentity self;
  self.vm = Self().vm;
  self.zone = Self().zone;
  self.region = Self().region;
  self.incarnation = Self().incarnation;
  self.upstream = UpstreamName(Self().vm.Value());
  self.service = m_options.service;
  self.serves_plain = m_options.plain;
  std::vector<std::pair<EngineName, std::string>> back_ends;
  const size_t count = m_options.plain ? 1 : m_engines.size();
  for (size_t i = 0; i < count; ++i) {
    back_ends.emplace_back(EngineNameAt(i), EngineAddress(i));
  }
  m_core = std::make_unique<AgentCore>(self, back_ends, m_clock, &m_link, this);
}

void UpstreamFake::Crash() {
  if (!IsUp()) return;
  MarkCrashed();
  m_network->OnCrash(Self().vm);
  m_core.reset();
}

void UpstreamFake::CrashEngine(size_t index) {
  m_engines[index]->Crash();
  for (const AttemptId& attempt : std::exchange(m_attempts[index], {})) {
    Fail(attempt, true);
  }
}

void UpstreamFake::Tick() {
  if (IsUp() && !IsPaused()) m_core->Tick();
}

void UpstreamFake::StepEngines() {
  for (size_t i = 0; i < m_engines.size(); ++i) {
    if (m_faults.hangs) continue;
    if (m_engines[i]->CrashRequested()) CrashEngine(i);
    m_engines[i]->Tick();
  }
}

void UpstreamFake::SendToBackEnd(std::function<void()> command,
                                 std::function<void()> failed) {
  m_queue->Schedule(kBackEndDelay, [this, command = std::move(command),
                                    failed = std::move(failed)] {
    if (m_faults.hangs) return;
    if (m_faults.unreachable) return failed();
    ++m_command_count;
    command();
  });
}

void UpstreamFake::NotifyAgent(std::function<void(AgentCore*)> event) {
  const uint64_t epoch = Epoch();
  m_queue->Schedule(kBackEndDelay, [this, epoch, event = std::move(event)] {
    RunInEpoch(epoch, [this, event] { event(m_core.get()); });
  });
}

void UpstreamFake::Fail(const AttemptId& attempt, bool ran) {
  NotifyAgent([attempt, ran](AgentCore* core) {
    core->OnCommandFailed(attempt, ErrorKind::kUpstreamFailed, ran);
  });
}

standins::EngineModel& UpstreamFake::FindEngine(const EngineName& name) {
  return *m_engines[EngineIndex(name)];
}

void UpstreamFake::Prefill(const EngineName& engine,
                           const PrefillCommand& command) {
  const size_t index = EngineIndex(engine);
  const std::string source = EngineAddress(index);
  SendToBackEnd(
      [this, index, command, source] {
        m_attempts[index].insert(command.attempt);
        m_engines[index]->Prefill(
            EngineRequestId(command.attempt),
            static_cast<int>(command.request_class), command.text,
            [this, index, command,
             source](const std::optional<standins::PrefillResult>& result) {
              m_attempts[index].erase(command.attempt);
              if (!result.has_value()) return Fail(command.attempt, true);
              NotifyAgent([command, source, result](AgentCore* core) {
                core->OnPrefillDone(command.attempt, result->kv_handle, source,
                                    Tokens(result->prompt_tokens),
                                    Tokens(result->reused_tokens));
              });
            });
      },
      [this, command] { Fail(command.attempt, false); });
}

void UpstreamFake::Decode(const EngineName& engine,
                          const DecodeCommand& command) {
  const size_t index = EngineIndex(engine);
  SendToBackEnd(
      [this, index, command] {
        const auto source = m_directory->find(command.kv_source);
        std::optional<standins::ExportedKv> kv;
        if (source != m_directory->end()) {
          kv = source->second->FindExport(command.kv_handle);
        }
        if (!kv.has_value()) {
          return NotifyAgent([command](AgentCore* core) {
            core->OnCommandFailed(command.attempt, ErrorKind::kKvGone, false);
          });
        }
        m_attempts[index].insert(command.attempt);
        const bool accepted = m_engines[index]->Decode(
            EngineRequestId(command.attempt),
            static_cast<int>(command.request_class), *kv,
            command.max_output.Value(), command.first_offset,
            [this, index, command](uint64_t offset, const std::string& text,
                                   const std::string& finish) {
              if (!finish.empty()) m_attempts[index].erase(command.attempt);
              if (finish == "preempted") return Fail(command.attempt, true);
              NotifyAgent([=](AgentCore* core) {
                core->OnTokens(command.attempt, offset, 1, text, finish);
              });
            });
        if (accepted) return;
        m_attempts[index].erase(command.attempt);
        NotifyAgent([command](AgentCore* core) {
          core->OnCommandFailed(command.attempt, ErrorKind::kOverloaded, false);
        });
      },
      [this, command] { Fail(command.attempt, false); });
}

void UpstreamFake::Cancel(const EngineName& engine, const AttemptId& attempt) {
  if (m_faults.loses_cancels) return;
  const size_t index = EngineIndex(engine);
  SendToBackEnd(
      [this, index, attempt] {
        --m_command_count;
        m_attempts[index].erase(attempt);
        m_engines[index]->Cancel(EngineRequestId(attempt));
        NotifyAgent(
            [attempt](AgentCore* core) { core->OnCancelConfirmed(attempt); });
      },
      [] {});
}

void UpstreamFake::CancelOrphanedRequest(const EngineName& engine,
                                         const std::string& request) {
  standins::EngineModel* model = &FindEngine(engine);
  SendToBackEnd(
      [this, model, request] {
        --m_command_count;
        model->Cancel(request);
      },
      [] {});
}

void UpstreamFake::PollState(const EngineName& engine) {
  if (m_faults.hangs || m_faults.unreachable) {
    const uint64_t epoch = Epoch();
    m_queue->Schedule(m_faults.hangs ? kStatePollTimeout : kBackEndDelay,
                      [this, epoch, engine] {
                        RunInEpoch(epoch, [this, engine] {
                          m_core->OnEngineState(engine, std::nullopt);
                        });
                      });
    return;
  }
  if (m_options.plain) {
    return NotifyAgent([engine](AgentCore* core) {
      core->OnEngineState(engine, EngineState());
    });
  }
  standins::EngineModel& model = FindEngine(engine);
  EngineState state;
  state.boot_id = model.BootId();
  state.role =
      model.Options().is_prefill ? EngineRole::kPrefill : EngineRole::kDecode;
  state.slots = static_cast<uint32_t>(model.Options().slots);
  state.pieces = Pieces(model.Options().pieces);
  state.piece_size = Tokens(model.Options().piece_tokens);
  state.prefill_rate = model.Options().prefill_rate;
  state.request_ids = model.ReportedRequests();
  NotifyAgent(
      [engine, state](AgentCore* core) { core->OnEngineState(engine, state); });
}

void UpstreamFake::Call(const EngineName& /*engine*/, const CallService& call) {
  if (m_faults.hangs) {
    m_queue->Schedule(call.timeout, [this, call] { Fail(call.attempt, true); });
    return;
  }
  SendToBackEnd(
      [this, call] {
        if (call.method != "GET") ++m_executions->by_body[call.body];
        m_queue->Schedule(m_options.call_time, [this, call] {
          NotifyAgent([call](AgentCore* core) {
            core->OnCallAnswered(call.attempt, 200, "text/plain",
                                 "done " + call.body);
          });
        });
      },
      [this, call] { Fail(call.attempt, false); });
}

}  // namespace burdockhill::emulation

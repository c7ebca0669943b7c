#include "emulation/upstream_fake.h"

#include <utility>

namespace burdockhill::emulation {

namespace {
constexpr Duration kDelay = std::chrono::microseconds(200);
constexpr Duration kStateTimeout = std::chrono::seconds(2);

EngineName NameOf(size_t index) {
  return EngineName("engine-" + std::to_string(index));
}

size_t IndexOf(const EngineName& name) {
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
    m_open.emplace_back();
    (*m_directory)[AddressOf(m_engines.size() - 1)] = m_engines.back().get();
  }
}

std::string UpstreamFake::AddressOf(size_t index) const {
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
  self.plain = m_options.plain;
  std::vector<std::pair<EngineName, std::string>> back_ends;
  const size_t count = m_options.plain ? 1 : m_engines.size();
  for (size_t i = 0; i < count; ++i) {
    back_ends.emplace_back(NameOf(i), AddressOf(i));
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
  for (const AttemptId& attempt : std::exchange(m_open[index], {})) {
    TellFailed(attempt, true);
  }
}

void UpstreamFake::Tick() {
  if (IsUp() && !IsPaused()) m_core->Tick();
}

void UpstreamFake::StepEngines() {
  for (size_t i = 0; i < m_engines.size(); ++i) {
    if (m_faults.hangs) continue;
    if (m_engines[i]->CrashRequested()) CrashEngine(i);
    m_engines[i]->Step();
  }
}

void UpstreamFake::Deliver(std::function<void()> order,
                           std::function<void()> failed) {
  m_queue->Schedule(
      kDelay, [this, order = std::move(order), failed = std::move(failed)] {
        if (m_faults.hangs) return;
        if (m_faults.unreachable) return failed();
        ++m_orders_taken;
        order();
      });
}

void UpstreamFake::Tell(std::function<void(AgentCore*)> event) {
  const uint64_t epoch = Epoch();
  m_queue->Schedule(kDelay, [this, epoch, event = std::move(event)] {
    RunInEpoch(epoch, [this, event] { event(m_core.get()); });
  });
}

void UpstreamFake::TellFailed(const AttemptId& attempt, bool ran) {
  Tell([attempt, ran](AgentCore* core) {
    core->OnCommandFailed(attempt, ErrorKind::kUpstreamFailed, ran);
  });
}

standins::EngineModel& UpstreamFake::ModelOf(const EngineName& name) {
  return *m_engines[IndexOf(name)];
}

void UpstreamFake::Prefill(const EngineName& engine,
                           const PrefillCommand& order) {
  const size_t index = IndexOf(engine);
  const std::string source = AddressOf(index);
  Deliver(
      [this, index, order, source] {
        m_open[index].insert(order.attempt);
        m_engines[index]->Prefill(
            EngineRequestId(order.attempt),
            static_cast<int>(order.request_class), order.text,
            [this, index, order,
             source](const std::optional<standins::PrefillResult>& result) {
              m_open[index].erase(order.attempt);
              if (!result.has_value()) return TellFailed(order.attempt, true);
              Tell([order, source, result](AgentCore* core) {
                core->OnPrefillDone(order.attempt, result->kv_handle, source,
                                    Tokens(result->prompt_tokens),
                                    Tokens(result->reused_tokens));
              });
            });
      },
      [this, order] { TellFailed(order.attempt, false); });
}

void UpstreamFake::Decode(const EngineName& engine,
                          const DecodeCommand& order) {
  const size_t index = IndexOf(engine);
  Deliver(
      [this, index, order] {
        const auto source = m_directory->find(order.kv_source);
        std::optional<standins::ExportedKv> kv;
        if (source != m_directory->end()) {
          kv = source->second->FindExport(order.kv_handle);
        }
        if (!kv.has_value()) {
          return Tell([order](AgentCore* core) {
            core->OnCommandFailed(order.attempt, ErrorKind::kKvGone, false);
          });
        }
        m_open[index].insert(order.attempt);
        const bool taken = m_engines[index]->Decode(
            EngineRequestId(order.attempt),
            static_cast<int>(order.request_class), *kv,
            order.max_output.Value(), order.first_offset,
            [this, index, order](uint64_t offset, const std::string& text,
                                 const std::string& finish) {
              if (!finish.empty()) m_open[index].erase(order.attempt);
              if (finish == "preempted") return TellFailed(order.attempt, true);
              Tell([=](AgentCore* core) {
                core->OnTokens(order.attempt, offset, 1, text, finish);
              });
            });
        if (taken) return;
        m_open[index].erase(order.attempt);
        Tell([order](AgentCore* core) {
          core->OnCommandFailed(order.attempt, ErrorKind::kOverloaded, false);
        });
      },
      [this, order] { TellFailed(order.attempt, false); });
}

void UpstreamFake::Cancel(const EngineName& engine, const AttemptId& attempt) {
  if (m_faults.loses_cancels) return;
  const size_t index = IndexOf(engine);
  Deliver(
      [this, index, attempt] {
        --m_orders_taken;
        m_open[index].erase(attempt);
        m_engines[index]->Cancel(EngineRequestId(attempt));
        Tell([attempt](AgentCore* core) { core->OnCancelConfirmed(attempt); });
      },
      [] {});
}

void UpstreamFake::CancelOrphanedRequest(const EngineName& engine,
                                         const std::string& request) {
  standins::EngineModel* model = &ModelOf(engine);
  Deliver(
      [this, model, request] {
        --m_orders_taken;
        model->Cancel(request);
      },
      [] {});
}

void UpstreamFake::PollState(const EngineName& engine) {
  if (m_faults.hangs || m_faults.unreachable) {
    const uint64_t epoch = Epoch();
    m_queue->Schedule(m_faults.hangs ? kStateTimeout : kDelay,
                      [this, epoch, engine] {
                        RunInEpoch(epoch, [this, engine] {
                          m_core->OnEngineState(engine, std::nullopt);
                        });
                      });
    return;
  }
  if (m_options.plain) {
    return Tell([engine](AgentCore* core) {
      core->OnEngineState(engine, EngineState());
    });
  }
  standins::EngineModel& model = ModelOf(engine);
  EngineState state;
  state.boot_id = model.Boot();
  state.role =
      model.Options().prefill ? EngineRole::kPrefill : EngineRole::kDecode;
  state.slots = static_cast<uint32_t>(model.Options().slots);
  state.pieces = Pieces(model.Options().pieces);
  state.piece_size = Tokens(model.Options().piece_tokens);
  state.prefill_rate = model.Options().prefill_rate;
  state.request_ids = model.ReportedRequests();
  Tell(
      [engine, state](AgentCore* core) { core->OnEngineState(engine, state); });
}

void UpstreamFake::Call(const EngineName& /*engine*/, const CallService& call) {
  if (m_faults.hangs) {
    m_queue->Schedule(call.timeout,
                      [this, call] { TellFailed(call.attempt, true); });
    return;
  }
  Deliver(
      [this, call] {
        if (call.method != "GET") ++m_executions->by_body[call.body];
        m_queue->Schedule(m_options.call_time, [this, call] {
          Tell([call](AgentCore* core) {
            core->OnCallAnswered(call.attempt, 200, "text/plain",
                                 "done " + call.body);
          });
        });
      },
      [this, call] { TellFailed(call.attempt, false); });
}

}  // namespace burdockhill::emulation

#include "tests/promise_commands.h"

namespace burdockhill {

using emulation::EntryFake;
using emulation::UpstreamFake;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Output tokens of a long answer. It runs longer than the time in which the
// engine memory of a closed request has to be freed (kReleaseTime).
constexpr int64_t kLongAnswer = 3000;

int64_t AnswerLength(const Command& command) {
  return command.b % 4 == 0 ? kLongAnswer : 1 + command.b % 150;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << "{" << static_cast<int>(command.kind) << "," << command.a << ","
             << command.b << "}";
}

EntryFake& CommandRunner::Entry(uint32_t number) {
  return *m_deployment->Entries()[number % m_deployment->Entries().size()];
}

UpstreamFake& CommandRunner::Upstream(uint32_t number) {
  return *m_deployment->Upstreams()[number % m_deployment->Upstreams().size()];
}

void CommandRunner::SendPrompt(const Command& command, int64_t bytes) {
  const std::string prompt =
      "[[seed=" + std::to_string(++m_next_number) +
      "]][[length=" + std::to_string(AnswerLength(command)) + "]]";
  const auto id = m_deployment->SendPrompt(
      command.a % m_deployment->Entries().size(),
      prompt + std::string(static_cast<size_t>(bytes), 'x'),
      command.b % 4 == 0 ? kLongAnswer : 1 + command.a % 200);
  if (id.has_value()) m_ids.push_back(*id);
}

void CommandRunner::SendCall(const Command& command,
                             const std::string& method) {
  const auto id =
      m_deployment->SendCall(command.a % m_deployment->Entries().size(), method,
                             "order-" + std::to_string(++m_next_number));
  if (id.has_value()) m_ids.push_back(*id);
}

void CommandRunner::Execute(const Command& command) {
  ++m_counts[command.kind];
  EntryFake& entry = Entry(command.a);
  UpstreamFake& upstream = Upstream(command.b);
  auto& network = m_deployment->Network();
  auto& store = m_deployment->Platform().Faults();
  switch (command.kind) {
    case CommandKind::kSendPrompt:
      return SendPrompt(command, 40 + command.b % 400);
    case CommandKind::kSendLongPrompt:
      return SendPrompt(command, 4000 + command.b % 40000);
    case CommandKind::kSendCall:
      return SendCall(command, "POST");
    case CommandKind::kSendRead:
      return SendCall(command, "GET");
    case CommandKind::kDisconnectCaller:
      if (!m_ids.empty()) m_deployment->Close(m_ids[command.a % m_ids.size()]);
      return;
    case CommandKind::kWait:
      return m_deployment->RunFor(milliseconds(1 + command.a % 200));
    case CommandKind::kWaitLong:
      return m_deployment->RunFor(seconds(1 + command.a % 8));
    case CommandKind::kCrashEntry:
      if (entry.IsUp()) {
        m_deployment->CrashEntry(command.a % m_deployment->Entries().size());
      } else {
        entry.Start();
      }
      return;
    case CommandKind::kPauseEntry:
      return entry.IsPaused() ? entry.Resume() : entry.Pause();
    case CommandKind::kCrashAgent:
      return upstream.IsUp() ? upstream.Crash() : upstream.Start();
    case CommandKind::kPauseAgent:
      return upstream.IsPaused() ? upstream.Resume() : upstream.Pause();
    case CommandKind::kCrashEngine:
      if (upstream.EngineCount() > 0) upstream.CrashEngine(0);
      return;
    case CommandKind::kHangBackEnd:
      upstream.Faults().hangs = !upstream.Faults().hangs;
      return;
    case CommandKind::kMakeBackEndUnreachable:
      upstream.Faults().unreachable = !upstream.Faults().unreachable;
      return;
    case CommandKind::kLoseCancels:
      upstream.Faults().loses_cancels = !upstream.Faults().loses_cancels;
      return;
    case CommandKind::kBreakConnection:
      return network.BreakConnection(entry.Self().vm, upstream.Self().vm);
    case CommandKind::kSilenceConnection:
      return network.SilenceConnection(entry.Self().vm, upstream.Self().vm);
    case CommandKind::kPartitionLink:
      return command.a % 2 == 0
                 ? network.PartitionLink(entry.Self().vm, upstream.Self().vm)
                 : network.HealLink(entry.Self().vm, upstream.Self().vm);
    case CommandKind::kStoreOutage:
      store.outage = !store.outage;
      return;
    case CommandKind::kStoreSlow:
      store.added_latency = store.added_latency == Duration(0)
                                ? Duration(seconds(2))
                                : Duration(0);
      return;
    case CommandKind::kStoreLosesAnswers:
      store.lose_answer_per_mille = store.lose_answer_per_mille == 0 ? 300 : 0;
      return;
    case CommandKind::kCopyStore:
      m_store_copy = m_deployment->Platform().Model();
      return;
    case CommandKind::kRestoreStore:
      return RestoreStore();
    case CommandKind::kDuplicateMessages:
      m_network_faults.duplicate = m_network_faults.duplicate == 0 ? 50 : 0;
      return network.SetFaults(m_network_faults);
    case CommandKind::kReorderMessages:
      m_network_faults.reorder = m_network_faults.reorder == 0 ? 50 : 0;
      return network.SetFaults(m_network_faults);
    case CommandKind::kDrainAgent:
      if (upstream.IsUp()) upstream.Core()->Leave();
      return;
    case CommandKind::kWriteConfiguration:
      return m_deployment->WriteResource(
          "RoutingPolicy", "default",
          R"({"first_token_limit_ms":)" +
              std::to_string(4000 + command.a % 99) + "}");
    case CommandKind::kWriteBadConfiguration:
      return m_deployment->WriteResource("RoutingPolicy", "default",
                                         R"({"first_token_limit_ms":"soon"})");
    case CommandKind::kCount:
      return;
  }
}

void CommandRunner::RestoreStore() {
  const std::vector<std::string> kinds(std::begin(kResourceKinds),
                                       std::end(kResourceKinds));
  standins::PlatformModel& model = m_deployment->Platform().Model();
  const std::vector<StoredObject> written = model.ChangesSince(kinds, 0);
  model.Restore(m_store_copy);
  for (const StoredObject& object : written) {
    StoredObject restored;
    model.Get(object.key, &restored);
    if (restored.value == object.value) continue;
    m_deployment->WriteResource(object.key.kind, object.key.name, object.value);
  }
}

void CommandRunner::EndFaults() {
  m_network_faults = {};
  m_deployment->Network().SetFaults({});
  m_deployment->Platform().Faults() = {};
  for (const auto& entry : m_deployment->Entries()) {
    if (!entry->IsUp()) entry->Start();
    if (entry->IsPaused()) entry->Resume();
    for (const auto& upstream : m_deployment->Upstreams()) {
      m_deployment->Network().HealLink(entry->Self().vm, upstream->Self().vm);
    }
  }
  for (const auto& upstream : m_deployment->Upstreams()) {
    upstream->Faults() = {};
    if (upstream->IsPaused()) upstream->Resume();
    // An agent that was drained is replaced by a new process.
    const bool leaving = upstream->IsUp() && upstream->Core()->Board().leaving;
    if (leaving) upstream->Crash();
    if (!upstream->IsUp()) upstream->Start();
  }
}

}  // namespace burdockhill

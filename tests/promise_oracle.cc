#include "tests/promise_oracle.h"

#include <algorithm>

namespace burdockhill {

using emulation::CallerView;
using standins::EngineModel;

namespace {

// Value of the parameter "[[name=NUMBER]]" in a prompt of the test.
uint64_t PromptParameter(const std::string& prompt, const std::string& name) {
  const size_t at = prompt.find("[[" + name + "=");
  return std::stoull(prompt.substr(at + name.size() + 3));
}

}  // namespace

std::string PromiseOracle::ExpectedText(const std::string& prompt,
                                        uint64_t tokens) {
  const uint64_t seed = PromptParameter(prompt, "seed");
  std::string text;
  for (uint64_t i = 0; i < tokens; ++i) {
    text += EngineModel::AnswerToken(seed, i);
  }
  return text;
}

void PromiseOracle::AddViolation(const std::string& what) {
  if (m_violations.size() < 20) m_violations.push_back(what);
}

void PromiseOracle::CheckInvariants() {
  for (const auto& [id, view] : m_deployment->Callers().Views()) {
    CheckCaller(view, false);
  }
  for (const auto& [body, count] : m_deployment->Executions().by_body) {
    if (count > 1) AddViolation("call ran twice: " + body);
  }
  CheckGenerations();
}

void PromiseOracle::CheckCaller(const CallerView& view, bool at_rest) {
  const std::string name = FormatRequestId(view.request.id);
  if (view.final_responses > 1) AddViolation(name + " answered twice");
  if (at_rest && view.IsOpen()) AddViolation(name + " never answered");
  if (view.request.plain) {
    const auto& runs = m_deployment->Executions().by_body;
    const auto found = runs.find(view.request.body);
    const int64_t count = found == runs.end() ? 0 : found->second;
    const bool told_not_run =
        view.error.has_value() && view.error->outcome == Outcome::kNotRun;
    if (told_not_run && count > 0) AddViolation(name + " not run, but ran");
    if (view.answer.has_value() &&
        *view.answer != "done " + view.request.body) {
      AddViolation(name + " got the answer of another");
    }
    return;
  }
  const auto limit =
      std::min(PromptParameter(view.request.prompt, "length"),
               static_cast<uint64_t>(view.request.max_output->Value()));
  const std::string whole = ExpectedText(view.request.prompt, limit);
  if (!whole.starts_with(view.text)) AddViolation(name + " got wrong tokens");
  if (!view.finish_reason.empty() && view.text != whole) {
    AddViolation(name + " finished before its end");
  }
}

void PromiseOracle::CheckGenerations() {
  const auto check = [&](const emulation::Node& node, Generation current) {
    auto& [epoch, highest] = m_in_force[node.Self().vm];
    if (epoch != node.Epoch()) {
      epoch = node.Epoch();
      highest = Generation();
    }
    if (current < highest) {
      AddViolation(node.Self().vm.Value() +
                   " went back to an older generation");
    }
    highest = std::max(highest, current);
  };
  for (const auto& entry : m_deployment->Entries()) {
    if (entry->IsUp()) check(*entry, entry->Core()->Board().in_force);
  }
  for (const auto& upstream : m_deployment->Upstreams()) {
    if (upstream->IsUp()) check(*upstream, upstream->Core()->Board().in_force);
  }
}

void PromiseOracle::CheckMemoryIsFreed() {
  for (const std::string& held : m_deployment->RequestsHeldInEngines()) {
    for (const auto& [id, view] : m_deployment->Callers().Views()) {
      // Engines know requests by "ENTRY-REQUEST-NUMBER" in hex.
      const std::string hex = FormatRequestId(id).substr(4);
      const bool is_of_caller = held.find("-" + hex + "-") != std::string::npos;
      if (is_of_caller && !view.IsOpen()) {
        AddViolation("engine memory held at rest for a caller who is gone: " +
                     held);
      }
    }
  }
}

void PromiseOracle::CheckAtRest() {
  CheckInvariants();
  for (const auto& [id, view] : m_deployment->Callers().Views()) {
    CheckCaller(view, true);
  }
  for (const std::string& held : m_deployment->RequestsHeldInEngines()) {
    AddViolation("engine memory held at rest: " + held);
  }
  StoredObject object;
  m_deployment->Platform().Model().Get(ConfigurationStateKey(), &object);
  const auto state = ParseState(object.value);
  const Generation accepted =
      state.has_value() ? state->accepted : Generation();
  for (const auto& entry : m_deployment->Entries()) {
    const EntryBlackboard& board = entry->Core()->Board();
    const std::string vm = entry->Self().vm.Value();
    if (board.requests.Size() > 0) AddViolation(vm + " has requests at rest");
    if (board.attempts.Size() > 0) AddViolation(vm + " has attempts at rest");
    if (board.in_force != accepted) AddViolation(vm + " is behind at rest");
  }
  for (const auto& upstream : m_deployment->Upstreams()) {
    const AgentBlackboard& board = upstream->Core()->Board();
    const std::string vm = upstream->Self().vm.Value();
    if (board.attempts.Size() > 0) AddViolation(vm + " has attempts at rest");
    if (board.in_force != accepted) AddViolation(vm + " is behind at rest");
    for (const auto& [name, engine] : board.engines) {
      if (engine.used_slots > 0 || engine.used_pieces.Value() > 0 ||
          engine.queued_prefill.Value() > 0) {
        AddViolation(vm + " counts memory as used at rest");
      }
    }
  }
}

}  // namespace burdockhill

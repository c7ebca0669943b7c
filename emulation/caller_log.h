#ifndef BURDOCKHILL_EMULATION_CALLER_LOG_H_
#define BURDOCKHILL_EMULATION_CALLER_LOG_H_

#include <map>
#include <optional>
#include <string>

#include "burdockhill/entry.h"

namespace burdockhill::emulation {

// A caller's request and everything that the caller received for it.
struct CallerView {
  CallerRequest request;
  size_t entry = 0;  // Index of the entry that got the request.
  TimePoint sent_at{};
  std::string text;
  int64_t token_events = 0;
  int64_t final_responses = 0;  // A caller must get at most one final response.
  std::string finish_reason;
  std::optional<RequestError> error;
  std::optional<std::string> answer;  // Response body of a plain service.
  std::optional<TimePoint> first_token_at;
  std::optional<TimePoint> ended_at;
  bool disconnected = false;   // The caller closed its connection.
  bool entry_crashed = false;  // The entry crashed before a final response.

  bool IsOpen() const {
    return final_responses == 0 && !disconnected && !entry_crashed;
  }
};

// Stands in for the callers' connections and records what is sent to them.
class CallerLog : public CallerPort {
 public:
  explicit CallerLog(const Clock* clock) : m_clock(clock) {}

  CallerView& Add(const CallerRequest& request, size_t entry) {
    CallerView& view = m_views[request.id];
    view.request = request;
    view.entry = entry;
    view.sent_at = m_clock->Now();
    return view;
  }

  std::map<RequestId, CallerView>& Views() { return m_views; }

  void OnTokens(RequestId id, const std::string& text) override {
    CallerView& view = m_views.at(id);
    view.text += text;
    ++view.token_events;
    if (!view.first_token_at) view.first_token_at = m_clock->Now();
  }
  void OnFinished(RequestId id, const std::string& finish_reason,
                  const TokenUsage& /*usage*/) override {
    RecordFinalResponse(id).finish_reason = finish_reason;
  }
  void OnAnswer(RequestId id, int /*status*/,
                const std::string& /*content_type*/,
                const std::string& body) override {
    RecordFinalResponse(id).answer = body;
  }
  void OnError(RequestId id, const RequestError& error) override {
    RecordFinalResponse(id).error = error;
  }

 private:
  CallerView& RecordFinalResponse(RequestId id) {
    CallerView& view = m_views.at(id);
    ++view.final_responses;
    view.ended_at = m_clock->Now();
    return view;
  }

  const Clock* m_clock;
  std::map<RequestId, CallerView> m_views;
};

}  // namespace burdockhill::emulation

#endif  // BURDOCKHILL_EMULATION_CALLER_LOG_H_

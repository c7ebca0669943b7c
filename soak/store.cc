#include "soak/store.h"

#include <iterator>

namespace burdockhill::soak {

namespace {

using nlohmann::json;

constexpr int kGone = 410;

// Specs that cannot be read, and the text in an object that stands for each.
std::string UnreadableSpec(uint64_t number) {
  const std::string specs[] = {
      "1e400", R"({"service":"plain\udcff"})",
      R"({"service":)" + std::string(3000, '[') + std::string(3000, ']') + "}",
      "{\"service\":\"\xff\xfe\"}",
      R"({"service":"plain","address":"127.0.0.1:99999","zone":"z","slots":1,
          "state":"ready","version":"v1","coldRemainingMs":0,"seq":1})"};
  return specs[number % std::size(specs)];
}
constexpr char kUnreadableMark[] = "unreadable-";
constexpr uint64_t kUnreadableKinds = 5;

// The numeric query parameter `name` of a request target, or 0 if absent.
uint64_t NumericParameter(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return 0;
  const std::string rest = target.substr(at + name.size() + 1);
  return static_cast<uint64_t>(
      http::ParseNumber(rest.substr(0, rest.find('&'))).value_or(0));
}

}  // namespace

Store::Store(Sockets* sockets, const Clock* clock, const std::string& address)
    : m_clock(clock), m_server(sockets, clock, this) {
  m_server.Listen(*ParseAddress(address));
}

void Store::Put(const std::string& kind, const std::string& name,
                const json& spec) {
  ++m_revision;
  json& object = m_objects[kind][name];
  object = {{"metadata", {{"name", name}, {"revision", m_revision}}},
            {"spec", spec}};
  m_changes.push_back(
      {kind, m_revision, {{"deleted", false}, {"object", object}}});
}

void Store::PutUnreadable(const std::string& kind, const std::string& name,
                          uint64_t number) {
  Put(kind, name, kUnreadableMark + std::to_string(number % kUnreadableKinds));
}

void Store::Delete(const std::string& kind, const std::string& name) {
  if (m_objects[kind].erase(name) == 0) return;
  ++m_revision;
  const json object = {
      {"metadata", {{"name", name}, {"revision", m_revision}}}};
  m_changes.push_back(
      {kind, m_revision, {{"deleted", true}, {"object", object}}});
}

void Store::DiscardHistory() {
  m_oldest_watch_revision = ++m_revision;
  m_changes.clear();
}

void Store::Restore() {
  ++m_era;
  m_objects = m_copy.objects;
  m_revision = m_copy.revision;
  m_oldest_watch_revision = 0;
  std::erase_if(m_changes, [this](const Change& change) {
    return change.revision > m_revision;
  });
}

void Store::OnRequest(http::ExchangeId id, http::Head head,
                      std::string /*body*/) {
  if (m_outage == Outage::kSilent) return;
  if (m_outage == Outage::kErrors) return Respond(id, http::kUnavailable, {});
  const size_t start = head.target.rfind('/') + 1;
  const std::string kind =
      head.target.substr(start, head.target.find('?') - start);
  if (head.target.find("watch=") != std::string::npos) {
    const uint64_t wait_ms = NumericParameter(head.target, "waitMs");
    m_watches[id] = {kind, NumericParameter(head.target, "watch"),
                     m_clock->Now() + std::chrono::milliseconds(wait_ms)};
    return;
  }
  json items = json::array();
  for (const auto& [name, object] : m_objects[kind]) items.push_back(object);
  Respond(id, http::kOk,
          {{"items", items}, {"hasMore", false}, {"asOf", m_revision}});
}

bool Store::AnswerWatch(http::ExchangeId id, const Watch& watch,
                        bool is_expired) {
  if (watch.since < m_oldest_watch_revision || watch.since > m_revision) {
    Respond(id, kGone, json::object());
    return true;
  }
  json events = json::array();
  for (const Change& change : m_changes) {
    if (change.kind == watch.kind && change.revision > watch.since) {
      events.push_back(change.event);
    }
  }
  if (events.empty() && !is_expired) return false;
  Respond(id, http::kOk, {{"events", events}, {"asOf", m_revision}});
  return true;
}

void Store::Tick() {
  if (m_outage != Outage::kNone) return;
  const TimePoint now = m_clock->Now();
  for (auto it = m_watches.begin(); it != m_watches.end();) {
    const bool done =
        AnswerWatch(it->first, it->second, now >= it->second.deadline);
    it = done ? m_watches.erase(it) : std::next(it);
  }
}

void Store::Respond(http::ExchangeId id, int status, const json& body) {
  http::Head head;
  head.status = status;
  head.headers.Add("Content-Type", "application/json");
  head.headers.Add("Store-Era", std::to_string(m_era));
  std::string text = body.dump();
  for (uint64_t number = 0; number < kUnreadableKinds; ++number) {
    const std::string mark =
        "\"" + std::string(kUnreadableMark) + std::to_string(number) + "\"";
    for (size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at)) {
      text.replace(at, mark.size(), UnreadableSpec(number));
    }
  }
  m_server.Respond(id, head, text);
}

}  // namespace burdockhill::soak

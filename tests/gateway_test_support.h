#ifndef BURDOCKHILL_TESTS_GATEWAY_TEST_SUPPORT_H_
#define BURDOCKHILL_TESTS_GATEWAY_TEST_SUPPORT_H_

// What the parts of gateway_test share: agents and a log played by the test,
// and short ways to write upstreams and answers.

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "burdockhill/gateway.h"

namespace burdockhill {

class SilentLog : public EventLog {
 public:
  void Write(std::string_view event, LogFields fields) override {
    events.emplace_back(event);
    for (const auto& field : fields) {
      const auto* text = std::get_if<std::string>(&field.second);
      if (text != nullptr) last[std::string(field.first)] = *text;
    }
  }
  size_t Count(std::string_view event) const {
    return static_cast<size_t>(std::count(events.begin(), events.end(), event));
  }
  std::vector<std::string> events;
  std::map<std::string, std::string> last;  // Latest text of each field.
};

// Agents that the test plays.
class Agents : public PeerLink {
 public:
  void Connect(const VmName& vm, const std::string& /*address*/) override {
    connected.push_back(vm);
  }
  void Disconnect(const VmName& /*vm*/) override {}
  void Send(const VmName& vm, Message message) override {
    sent.emplace_back(vm, std::move(message));
  }
  std::vector<VmName> connected;
  std::vector<std::pair<VmName, Message>> sent;
};

inline RegisteredUpstream MakeUpstream(const std::string& name,
                                       const std::string& service,
                                       const std::string& address) {
  RegisteredUpstream upstream;
  upstream.name = UpstreamName(name);
  upstream.service = ServiceName(service);
  upstream.address = address;
  upstream.zone = ZoneName("z");
  upstream.revision = 1;
  upstream.slots = 64;
  return upstream;
}

inline std::string Answer(int status, const std::string& extra,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_GATEWAY_TEST_SUPPORT_H_

#ifndef BURDOCKHILL_SRC_CTL_CTL_CLIENT_H_
#define BURDOCKHILL_SRC_CTL_CTL_CLIENT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "burdockhill/http.h"
#include "burdockhill/transport.h"

namespace burdockhill {

// Response to one HTTP call of the command-line tool.
struct CtlAnswer {
  bool reached = false;  // A complete response arrived.
  int status = 0;        // HTTP status.
  std::string body;

  bool IsOk() const { return reached && status == 200; }
  // The body as JSON; a discarded value if it is not valid JSON.
  nlohmann::json Json() const {
    return nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  }
};

// Blocking HTTP client for the command-line tool.
class CtlClient {
 public:
  CtlAnswer Call(const Address& to, const std::string& method,
                 const std::string& path, const std::string& body = {});

  // Blocks for `time`.
  void Sleep(Duration time);

 private:
  EventLoop m_loop;
  HttpClient m_client{&m_loop};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_CTL_CTL_CLIENT_H_

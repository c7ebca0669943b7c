#ifndef BURDOCKHILL_SRC_HTTP_RESPONSE_OBSERVER_H_
#define BURDOCKHILL_SRC_HTTP_RESPONSE_OBSERVER_H_

#include <string>

#include "burdockhill/src/http/message_syntax.h"

namespace burdockhill::http {

// A response that was received by a client, and rejected as malformed.
struct RejectedResponse {
  std::string source;   // "IP:port" of the server.
  std::string request;  // Its id, or else its method and target.
  Malformation reason = Malformation::kNone;
};

class ResponseObserver {
 public:
  virtual ~ResponseObserver() = default;
  // Called before the call fails.
  virtual void OnResponseRejected(const RejectedResponse& response) = 0;
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_RESPONSE_OBSERVER_H_

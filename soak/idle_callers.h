#ifndef BURDOCKHILL_SOAK_IDLE_CALLERS_H_
#define BURDOCKHILL_SOAK_IDLE_CALLERS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "burdockhill/src/base/random.h"
#include "burdockhill/src/http/message_reader.h"
#include "soak/environment.h"

namespace burdockhill::soak {

class Caller;

// Callers that keep their connections, and use them again when they have been
// idle for at most as long as they may.
class IdleCallers : private SocketEvents {
 public:
  struct Request {
    Caller* caller = nullptr;
    std::string bytes;
  };
  using NextRequest = std::function<Request(int entry, bool on_kept)>;

  IdleCallers(const Environment& environment, NextRequest next);

  // Opens the connections that are missing, and sends the requests that are
  // due. `limit` is the newest limit on the idle time.
  void SendDue(Duration limit);

 private:
  struct Connection {
    int entry = 0;
    Caller* caller = nullptr;  // Of the request in progress.
    bool is_kept = false;      // It has had an answer.
    TimePoint idle_since{};
    Duration announced{0};  // The time for which it is kept.
    double share = 1;       // Of that time, in which it stays idle.
    http::MessageReader reader{http::MessageKind::kResponse, 65536};
  };

  void OnConnected(SocketId id) override;
  void OnBytes(SocketId id, std::string_view bytes) override;
  void OnEndOfInput(SocketId id) override;
  void OnFailed(SocketId id) override;
  void Send(SocketId id);
  void EndAnswer(SocketId id);
  void Fail(SocketId id);

  const Environment& m_environment;
  NextRequest m_next;
  Random m_random;
  TimePoint m_connect_at{};
  std::map<SocketId, Connection> m_connections;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_IDLE_CALLERS_H_

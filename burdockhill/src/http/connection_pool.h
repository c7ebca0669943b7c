#ifndef BURDOCKHILL_SRC_HTTP_CONNECTION_POOL_H_
#define BURDOCKHILL_SRC_HTTP_CONNECTION_POOL_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/http/message_reader.h"
#include "burdockhill/src/transport/sockets.h"

namespace burdockhill::http {

// One request to an upstream.
using CallId = NumericId<struct CallIdTag>;

enum class CallFailure {
  kNotSent,    // No byte of the request left this process.
  kBroken,     // The connection ended before the whole answer was here.
  kMalformed,  // The upstream sent bytes that are no answer.
};

class CallEvents {
 public:
  virtual ~CallEvents() = default;
  // Returns false for an answer to some other request: it is skipped, and the
  // next one on the connection is waited for.
  virtual bool OnResponseHead(CallId id, const Head& head) = 0;
  virtual void OnResponseBody(CallId id, std::string_view bytes) = 0;
  // The whole answer was read. `id` is over.
  virtual void OnResponseEnd(CallId id) = 0;
  // `id` is over.
  virtual void OnCallFailed(CallId id, CallFailure failure) = 0;
};

// How one call may use connections.
struct CallPolicy {
  // A connection is made within one way there and back, 24 ms between regions;
  // a lost packet is sent again after a second only, when another try is
  // faster.
  Duration connect_timeout = std::chrono::milliseconds(350);
  // A kept connection that was idle for longer is not used. The other side may
  // have dropped it, and what is sent then may or may not have run.
  Duration max_idle_time = std::chrono::seconds(4);
};

// Connections to upstreams, kept for as long as the other side states, or for
// less where it has been seen to drop idle connections unannounced.
class ConnectionPool : private SocketEvents {
 public:
  ConnectionPool(Sockets* sockets, const Clock* clock);

  // Sends `request` on a kept or a new connection. Never calls back before it
  // returns. Invalid when no connection can be had.
  CallId Start(const std::string& address, std::string request,
               CallEvents* events, const CallPolicy& policy);

  // Drops the call and closes its connection. No more events.
  void Cancel(CallId id);

  void SetReading(CallId id, bool reading);
  bool WasSent(CallId id) const;

  // Fails connection attempts and closes idle connections that are due. Call
  // about every 20 ms.
  void CheckTimeouts(TimePoint now);

 private:
  struct Connection {
    std::string address;
    MessageReader reader{MessageKind::kResponse, kMaxAnswerHeaderBytes};
    CallId call;
    bool connected = false;
    bool skipping = false;  // The answer being read belongs to no call.
    bool head_given = false;
    TimePoint idle_since{};
    Duration rested{0};     // Before the current call.
    bool answered = false;  // Some byte of the current answer came.
    TimePoint usable_until{};
    TimePoint connect_by{};
  };
  struct Call {
    SocketId socket;
    CallEvents* events = nullptr;
    std::string request;  // Empty once it was sent.
  };

  static constexpr size_t kMaxAnswerHeaderBytes = size_t{64} << 10;

  void OnConnected(SocketId id) override;
  void OnBytes(SocketId id, std::string_view bytes) override;
  void OnEndOfInput(SocketId id) override;
  void OnFailed(SocketId id) override;

  // How long connections to one address may rest, until when that is believed.
  struct RestLimit {
    Duration longest{0};
    TimePoint until{};
  };

  Duration LongestRest(const std::string& address, TimePoint now) const;
  SocketId TakeIdle(const std::string& address, Duration max_idle_time);
  void Process(SocketId id, std::string_view bytes);
  // Hands on what the reader has; false when the connection is gone.
  bool Deliver(SocketId id);
  void EndCall(SocketId id, bool reusable);
  void Fail(SocketId id, CallFailure failure);

  Sockets* m_sockets;
  const Clock* m_clock;
  uint64_t m_last_call = 0;
  Table<SocketId, Connection> m_connections;
  Table<CallId, Call> m_calls;
  std::unordered_map<std::string, std::vector<SocketId>> m_idle;
  std::unordered_map<std::string, RestLimit> m_rest_limits;
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_CONNECTION_POOL_H_

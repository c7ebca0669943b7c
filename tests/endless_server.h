#ifndef BURDOCKHILL_TESTS_ENDLESS_SERVER_H_
#define BURDOCKHILL_TESTS_ENDLESS_SERVER_H_

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "burdockhill/transport.h"
#include "tests/loopback_listener.h"

namespace burdockhill {

// A server on loopback that answers each connection with `start`, and then with
// `part` again and again, as fast as the client reads.
class EndlessServer {
 public:
  EndlessServer(uint16_t port, std::string start, std::string part)
      : m_start(std::move(start)),
        m_part(std::move(part)),
        m_listener(ListenOnLoopback(port, kBacklog, SOCK_NONBLOCK)) {}
  ~EndlessServer() {
    for (const Connection& connection : m_connections) close(connection.fd);
    close(m_listener);
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  // Sent from now on; nothing if it is empty.
  void SetPart(std::string part) { m_part = std::move(part); }

  // Bytes that the operating system has taken.
  size_t SentBytes() const { return m_sent; }

  // Serves and runs the event loop until `done` returns true. Fails after some
  // seconds, or if more was sent than any bound allows.
  void RunUntil(EventLoop* loop, const std::function<bool()>& done) {
    constexpr std::chrono::seconds kWaitTimeout{10};
    constexpr size_t kTooManyBytes = size_t{512} << 20;
    const SystemClock clock;
    const TimePoint end = clock.Now() + kWaitTimeout;
    bool is_done = done();
    while (!is_done && clock.Now() < end && m_sent < kTooManyBytes) {
      Serve();
      loop->WakeAfter(std::chrono::milliseconds(1));
      loop->RunOnce();
      is_done = done();
    }
    CHECK(is_done);
  }

 private:
  static constexpr int kBacklog = 64;

  struct Connection {
    int fd = -1;
    bool has_request = false;
    bool failed = false;
    std::string unsent;
  };

  void Serve() {
    int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    while (fd >= 0) {
      m_connections.push_back({fd, false, false, m_start});
      fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    }
    for (Connection& connection : m_connections) Send(&connection);
  }

  void Send(Connection* connection) {
    char buffer[4096];
    if (recv(connection->fd, buffer, sizeof buffer, 0) > 0) {
      connection->has_request = true;
    }
    if (!connection->has_request || connection->failed) return;
    if (connection->unsent.empty()) connection->unsent = m_part;
    if (connection->unsent.empty()) return;
    const ssize_t sent = send(connection->fd, connection->unsent.data(),
                              connection->unsent.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      connection->failed = errno != EAGAIN && errno != EWOULDBLOCK;
      return;
    }
    m_sent += static_cast<size_t>(sent);
    connection->unsent.erase(0, static_cast<size_t>(sent));
  }

  std::string m_start;
  std::string m_part;
  int m_listener;
  size_t m_sent = 0;
  std::vector<Connection> m_connections;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_ENDLESS_SERVER_H_

#ifndef BURDOCKHILL_TESTS_RAW_SERVER_H_
#define BURDOCKHILL_TESTS_RAW_SERVER_H_

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>

#include "burdockhill/transport.h"
#include "tests/loopback_listener.h"

namespace burdockhill {

// Runs the event loop until `done` returns true, at most for some seconds.
inline void RunUntil(EventLoop* loop, const std::function<bool()>& done) {
  constexpr std::chrono::seconds kWaitTimeout{10};
  const SystemClock clock;
  const TimePoint end = clock.Now() + kWaitTimeout;
  bool is_done = done();
  while (!is_done && clock.Now() < end) {
    loop->WakeAfter(std::chrono::milliseconds(1));
    loop->RunOnce();
    is_done = done();
  }
  CHECK(is_done);
}

// A server on loopback that answers one connection with given bytes.
class RawServer {
 public:
  explicit RawServer(uint16_t port)
      : m_listener(ListenOnLoopback(port, /*backlog=*/1, /*flags=*/0)) {}
  ~RawServer() {
    if (m_answered >= 0) close(m_answered);
    close(m_listener);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // Waits for a request, sends `response`, and closes or resets the connection
  // once the client has had time to read it.
  void Answer(EventLoop* loop, const std::string& response, bool reset) const {
    const int connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    RunUntil(loop, [&] {
      char buffer[4096];
      return recv(connection, buffer, sizeof buffer, 0) > 0;
    });
    LONGS_EQUAL(response.size(),
                send(connection, response.data(), response.size(), 0));
    constexpr int kIterationsToRead = 20;
    for (int i = 0; i < kIterationsToRead; ++i) {
      loop->WakeAfter(std::chrono::milliseconds(1));
      loop->RunOnce();
    }
    if (reset) {
      const linger option = {1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    close(connection);
  }

  // Waits for a request and answers it while the loop does not run for `pause`.
  void AnswerDuringPause(EventLoop* loop, const std::string& response,
                         std::chrono::milliseconds pause) {
    const int connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    RunUntil(loop, [&] {
      char buffer[4096];
      return recv(connection, buffer, sizeof buffer, 0) > 0;
    });
    LONGS_EQUAL(response.size(),
                send(connection, response.data(), response.size(), 0));
    std::this_thread::sleep_for(pause);
    m_answered = connection;
  }

 private:
  int m_answered = -1;
  int m_listener;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_RAW_SERVER_H_

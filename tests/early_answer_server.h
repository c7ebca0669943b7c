#ifndef BURDOCKHILL_TESTS_EARLY_ANSWER_SERVER_H_
#define BURDOCKHILL_TESTS_EARLY_ANSWER_SERVER_H_

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "burdockhill/transport.h"
#include "tests/loopback_listener.h"

namespace burdockhill {

// A server on loopback that answers one request with given bytes, and ends its
// connection in one of several ways. It takes little at a time.
class EarlyAnswerServer {
 public:
  enum class Ending {
    // Answers once it has the head:
    kReset,                // Resets the connection at once.
    kClose,                // Closes it, the rest of the request unread.
    kCloseLater,           // The same 30 ms later.
    kDrainAndClose,        // Closes it, all that has arrived read.
    kShutDownAndClose,     // Closes its sending side, and all at once.
    kShutDownAndReset,     // Closes its sending side, and resets 300 ms later.
    kShutDownAndReadOn,    // The same, and reads the request to its end.
    kShutDownAndReadNone,  // The same, and neither reads nor resets.
    kReadOn,               // Keeps the connection, reads to the end.
    // Reads the whole request, answers and closes:
    kAnswerLast,
  };

  EarlyAnswerServer(uint16_t port, std::string answer, Ending ending,
                    size_t body_bytes)
      : m_answer(std::move(answer)),
        m_ending(ending),
        m_body_bytes(body_bytes),
        m_listener(ListenOnLoopback(port, /*backlog=*/1, SOCK_NONBLOCK,
                                    kReceiveBuffer)) {}
  ~EarlyAnswerServer() {
    End(/*reset=*/false);
    close(m_listener);
  }
  EarlyAnswerServer(const EarlyAnswerServer&) = delete;
  EarlyAnswerServer& operator=(const EarlyAnswerServer&) = delete;

  // Whether the whole request was read.
  bool HasRequest() const {
    return m_has_head && m_received_body >= m_body_bytes;
  }

  // Serves and runs the event loop until `done` returns true, at most for some
  // seconds.
  void RunUntil(EventLoop* loop, const std::function<bool()>& done) {
    constexpr std::chrono::seconds kWaitTimeout{10};
    const TimePoint end = m_clock.Now() + kWaitTimeout;
    bool is_done = done();
    while (!is_done && m_clock.Now() < end) {
      Serve();
      loop->WakeAfter(std::chrono::milliseconds(1));
      loop->RunOnce();
      is_done = done();
    }
    CHECK(is_done);
  }

 private:
  void Serve() {
    if (m_connection < 0 && !m_ended) {
      m_connection = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    }
    if (m_connection < 0) return;
    const bool reads = !m_answered || m_ending == Ending::kReadOn ||
                       m_ending == Ending::kShutDownAndReadOn;
    if (reads) {
      while (Read() && m_ending == Ending::kDrainAndClose) {
      }
    }
    const bool answers =
        m_ending == Ending::kAnswerLast ? HasRequest() : m_has_head;
    if (answers && !std::exchange(m_answered, true)) Answer();
    if (m_end_at != TimePoint() && m_clock.Now() >= m_end_at) {
      End(m_ending == Ending::kShutDownAndReset);
    }
  }

  // Returns whether something was read.
  bool Read() {
    char buffer[2048];
    const ssize_t size = recv(m_connection, buffer, sizeof buffer, 0);
    if (size <= 0) return false;
    m_received_body += static_cast<size_t>(size);
    if (m_has_head) return true;
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    m_head.append(buffer, static_cast<size_t>(size));
    const size_t end = m_head.find(kHeadEnd);
    m_has_head = end != std::string::npos;
    if (m_has_head) m_received_body -= end + kHeadEnd.size();
    return true;
  }

  void Answer() {
    LONGS_EQUAL(m_answer.size(), send(m_connection, m_answer.data(),
                                      m_answer.size(), MSG_NOSIGNAL));
    switch (m_ending) {
      case Ending::kReset:
        return End(/*reset=*/true);
      case Ending::kClose:
      case Ending::kDrainAndClose:
      case Ending::kAnswerLast:
        return End(/*reset=*/false);
      case Ending::kCloseLater:
        m_end_at = m_clock.Now() + std::chrono::milliseconds(30);
        return;
      case Ending::kShutDownAndClose:
        shutdown(m_connection, SHUT_WR);
        return End(/*reset=*/false);
      case Ending::kShutDownAndReset:
        m_end_at = m_clock.Now() + std::chrono::milliseconds(300);
        [[fallthrough]];
      case Ending::kShutDownAndReadOn:
      case Ending::kShutDownAndReadNone:
        shutdown(m_connection, SHUT_WR);
        return;
      case Ending::kReadOn:
        return;
    }
  }

  void End(bool reset) {
    if (m_connection < 0) return;
    if (reset) {
      const linger option = {1, 0};
      setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    close(m_connection);
    m_connection = -1;
    m_ended = true;
  }

  static constexpr int kReceiveBuffer = 16384;

  SystemClock m_clock;
  std::string m_answer;
  Ending m_ending;
  size_t m_body_bytes;
  int m_listener;
  int m_connection = -1;
  std::string m_head;
  bool m_has_head = false;
  size_t m_received_body = 0;  // With the head, until that is complete.
  bool m_answered = false;
  bool m_ended = false;
  TimePoint m_end_at{};
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_EARLY_ANSWER_SERVER_H_

#include "burdockhill/src/transport/connection_limit.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

namespace burdockhill {

namespace {

constexpr size_t kReserveDivisor = 8;
constexpr size_t kDefaultOpenFiles = 1024;

size_t DefaultMax() {
  rlimit limit = {};
  const bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  const size_t files = is_known ? limit.rlim_cur : kDefaultOpenFiles;
  return files - files / kReserveDivisor;
}

int OpenSpare() { return open("/dev/null", O_RDONLY | O_CLOEXEC); }

}  // namespace

ConnectionLimit::ConnectionLimit()
    : m_max(DefaultMax()), m_spare(OpenSpare()) {}

ConnectionLimit::~ConnectionLimit() {
  if (m_spare >= 0) close(m_spare);
}

void ConnectionLimit::AddListener(SocketAcceptor* acceptor,
                                  const Address& address) {
  m_listeners[acceptor].address = address;
}

void ConnectionLimit::RemoveListener(SocketAcceptor* acceptor) {
  m_listeners.erase(acceptor);
}

bool ConnectionLimit::MakeRoom() {
  std::vector<std::pair<size_t, SocketAcceptor*>> by_count;
  for (const auto& [acceptor, listener] : m_listeners) {
    by_count.emplace_back(listener.accepted, acceptor);
  }
  std::sort(by_count.rbegin(), by_count.rend());
  for (const auto& [accepted, acceptor] : by_count) {
    const size_t count = acceptor->ShedConnections();
    if (count == 0) continue;
    if (m_observer != nullptr) {
      m_observer->OnConnectionsShed(m_listeners[acceptor].address, count);
    }
    return true;
  }
  return false;
}

bool ConnectionLimit::RefuseConnection(int listener, SocketAcceptor* acceptor) {
  int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd < 0 && (errno == EMFILE || errno == ENFILE) && m_spare >= 0) {
    close(std::exchange(m_spare, -1));
    fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  }
  if (fd >= 0) {
    const linger reset = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(fd);
  }
  if (m_spare < 0) m_spare = OpenSpare();
  if (fd >= 0 && m_observer != nullptr) {
    m_observer->OnConnectionRefused(m_listeners[acceptor].address);
  }
  return fd >= 0;
}

ConnectionCount::~ConnectionCount() {
  if (m_limit == nullptr) return;
  --m_limit->m_open;
  const auto found = m_limit->m_listeners.find(m_acceptor);
  if (found != m_limit->m_listeners.end()) --found->second.accepted;
}

void ConnectionCount::Open(ConnectionLimit* limit) {
  m_limit = limit;
  ++limit->m_open;
}

void ConnectionCount::SetAcceptor(SocketAcceptor* acceptor) {
  m_acceptor = acceptor;
  ++m_limit->m_listeners[acceptor].accepted;
}

}  // namespace burdockhill

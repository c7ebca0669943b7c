#ifndef BURDOCKHILL_TESTS_FREE_PORT_H_
#define BURDOCKHILL_TESTS_FREE_PORT_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

#include "burdockhill/base.h"

namespace burdockhill {

// A port of loopback on which nothing listens. Its socket stays bound, so that
// no other process is given the port; a listener with SO_REUSEADDR can still
// take it.
class FreePort {
 public:
  FreePort() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const int reuse = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) !=
            0) {
      throw std::runtime_error("no free port on loopback");
    }
    m_number = ntohs(address.sin_port);
  }
  ~FreePort() { close(m_socket); }
  FreePort(const FreePort&) = delete;
  FreePort& operator=(const FreePort&) = delete;

  uint16_t Number() const { return m_number; }
  Address Loopback() const { return {"127.0.0.1", m_number}; }
  std::string Text() const { return "127.0.0.1:" + std::to_string(m_number); }

 private:
  int m_socket;
  uint16_t m_number = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_FREE_PORT_H_

#ifndef BURDOCKHILL_TESTS_LOOPBACK_LISTENER_H_
#define BURDOCKHILL_TESTS_LOOPBACK_LISTENER_H_

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstdint>

namespace burdockhill {

// A socket that listens on loopback. `flags` of socket(), as SOCK_NONBLOCK.
// Connections have a receive buffer of that size in bytes; 0 for the default.
inline int ListenOnLoopback(uint16_t port, int backlog, int flags,
                            int receive_buffer = 0) {
  const int listener = socket(AF_INET, SOCK_STREAM | flags, 0);
  const int reuse = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  if (receive_buffer > 0) {
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  LONGS_EQUAL(
      0, bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address));
  LONGS_EQUAL(0, listen(listener, backlog));
  return listener;
}

}  // namespace burdockhill

#endif  // BURDOCKHILL_TESTS_LOOPBACK_LISTENER_H_

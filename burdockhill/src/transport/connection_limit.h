#ifndef BURDOCKHILL_SRC_TRANSPORT_CONNECTION_LIMIT_H_
#define BURDOCKHILL_SRC_TRANSPORT_CONNECTION_LIMIT_H_

#include <cstddef>
#include <map>

#include "burdockhill/src/transport/sockets.h"

namespace burdockhill {

// Told what becomes of connections that exceed the limit.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  // The clients of `address` have lost `count` connections, so that others can
  // be accepted.
  virtual void OnConnectionsShed(const Address& address, size_t count) = 0;
  // A connection to `address` was reset, since no other could be closed.
  virtual void OnConnectionRefused(const Address& address) = 0;
};

// Bounds the descriptors that the connections on an event loop use together.
// Above the limit, the listening address with most connections closes some.
class ConnectionLimit {
 public:
  // The default leaves an eighth of the limit of open files for connections to
  // upstreams and for files.
  ConnectionLimit();
  ~ConnectionLimit();
  ConnectionLimit(const ConnectionLimit&) = delete;
  ConnectionLimit& operator=(const ConnectionLimit&) = delete;

  void SetMax(size_t connections) { m_max = connections; }
  size_t Max() const { return m_max; }
  size_t Open() const { return m_open; }
  bool IsReached() const { return m_open >= m_max; }
  // `observer` may be nullptr.
  void SetObserver(ConnectionObserver* observer) { m_observer = observer; }

  void AddListener(SocketAcceptor* acceptor, const Address& address);
  void RemoveListener(SocketAcceptor* acceptor);

  // Closes connections of clients. Their descriptors are free in the next
  // iteration of the event loop. Returns false if none can be closed.
  bool MakeRoom();
  // Accepts a connection and resets it. Returns false if there is none.
  bool RefuseConnection(int listener, SocketAcceptor* acceptor);

 private:
  friend class ConnectionCount;

  struct Listener {
    Address address;
    size_t accepted = 0;  // Connections that are open.
  };

  size_t m_max;
  size_t m_open = 0;
  // Closed to accept a connection when no other descriptor is left.
  int m_spare;
  ConnectionObserver* m_observer = nullptr;
  std::map<SocketAcceptor*, Listener> m_listeners;
};

// Counts one connection, until it is destroyed.
class ConnectionCount {
 public:
  ConnectionCount() = default;
  ~ConnectionCount();
  ConnectionCount(const ConnectionCount&) = delete;
  ConnectionCount& operator=(const ConnectionCount&) = delete;

  void Open(ConnectionLimit* limit);
  // The connection was accepted for `acceptor`.
  void SetAcceptor(SocketAcceptor* acceptor);

 private:
  ConnectionLimit* m_limit = nullptr;
  SocketAcceptor* m_acceptor = nullptr;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_CONNECTION_LIMIT_H_

#ifndef BURDOCKHILL_SRC_TRANSPORT_TCP_SOCKET_H_
#define BURDOCKHILL_SRC_TRANSPORT_TCP_SOCKET_H_

#include <libwebsockets.h>
#include <netinet/in.h>

#include <string>
#include <vector>

#include "burdockhill/src/base/buffer_budget.h"
#include "burdockhill/src/base/clock.h"
#include "burdockhill/src/base/table.h"
#include "burdockhill/src/transport/connection_limit.h"
#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/sockets.h"

namespace burdockhill::internal {

// State of one socket of TcpSockets.
struct TcpSocket {
  int fd = -1;
  lws* wsi = nullptr;
  SocketEvents* events = nullptr;
  Address listens_on;  // Of a listening socket.
  std::string output;
  size_t output_start = 0;
  BufferCharge output_charge;
  // Of input that the operating system keeps while reading is stopped.
  BufferCharge input_charge;
  ConnectionCount count;
  size_t discarded_bytes = 0;  // Input that arrived during a graceful close.
  bool connecting = false;
  bool reading = true;
  bool input_ended = false;
  bool closing = false;
  // Bytes were written that the remote host may not have acknowledged yet, and
  // the path is checked. Accepted connections only.
  bool checks_path = false;
  size_t unmeasured_bytes = 0;  // Written since the queue was measured.
  bool checks_queues = false;   // See MeasureQueues.
  bool accepted = false;
  TimePoint close_deadline{};

  size_t PendingBytes() const { return output.size() - output_start; }
  // Removes what was sent, and the memory of it if that is large.
  void DropSent(size_t bytes);
  // Charges what the operating system keeps of the output, and of the input if
  // that is not being read. Returns whether it keeps any.
  bool MeasureQueues();
};

// Measures the queues of sockets every 50 ms while the operating system keeps
// something in them, and enforces the budget of the process then.
class QueueChecks {
 public:
  QueueChecks(EventLoop* loop, Table<SocketId, TcpSocket>* sockets)
      : m_loop(loop), m_sockets(sockets) {}
  ~QueueChecks() { m_loop->CancelTimer(m_timer); }
  QueueChecks(const QueueChecks&) = delete;
  QueueChecks& operator=(const QueueChecks&) = delete;

  void Add(SocketId id, TcpSocket* socket);

 private:
  void Check();

  EventLoop* m_loop;
  Table<SocketId, TcpSocket>* m_sockets;
  std::vector<SocketId> m_ids;
  TimerId m_timer;
};

// The sockets among `to_check` whose path is lost. Removes those whose bytes
// have all been acknowledged.
std::vector<SocketId> TakeLostPaths(Table<SocketId, TcpSocket>* sockets,
                                    std::vector<SocketId>* to_check);

// Sent bytes that the remote host has not acknowledged.
size_t UnacknowledgedBytes(int fd);

// Whether an established connection was reset, or was given up since its path
// is lost. The operating system reports the error to one call only, a send or a
// peek included; the next recv returns 0, as at the end of the input. It also
// does so if the end of the input had arrived before the reset.
bool HasFailed(int fd);

sockaddr_in SocketAddress(const Address& address);
void SetOption(int fd, int level, int option, int value);
void SetTcpOptions(int fd);
// The receive buffer of a connection to an upstream, which may fill it at once
// with an answer that its caller does not read. All those of a process have to
// fit into its memory.
int ReceiveBufferBytes(const BufferBudget& buffers, size_t open_connections);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_TRANSPORT_TCP_SOCKET_H_

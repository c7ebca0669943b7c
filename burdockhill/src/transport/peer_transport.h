#ifndef BURDOCKHILL_SRC_TRANSPORT_PEER_TRANSPORT_H_
#define BURDOCKHILL_SRC_TRANSPORT_PEER_TRANSPORT_H_

#include <memory>
#include <string>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/base/random.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

class EventLoop;

// Bytes and frames that went over all peer connections of this process.
struct PeerTraffic {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t frames_sent = 0;
  uint64_t messages_sent = 0;
};

// Peer connections over TCP. Messages to one peer that are sent in the same
// turn of the loop travel in one frame.
class PeerTransport : public PeerLink {
 public:
  struct Options {
    Address listen;
    std::string shared_key;
    Hello self;  // The nonce is filled in for each connection.
  };

  // Throws std::runtime_error when the address cannot be listened on.
  PeerTransport(EventLoop* loop, const Options& options, Random* random);
  ~PeerTransport() override;

  // Has to be called before the first turn of the loop.
  void SetEvents(PeerEvents* events);

  void Connect(const VmName& vm, const std::string& address) override;
  void Disconnect(const VmName& vm) override;
  void Send(const VmName& vm, Message message) override;

  // Hands queued messages to the sockets and reconnects what is due. Call once
  // a turn of the loop.
  void Flush(TimePoint now);

  const PeerTraffic& Traffic() const;

  class Impl;

 private:
  std::unique_ptr<Impl> m_impl;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_PEER_TRANSPORT_H_

#ifndef BURDOCKHILL_SRC_TRANSPORT_PEER_TRANSPORT_H_
#define BURDOCKHILL_SRC_TRANSPORT_PEER_TRANSPORT_H_

#include <memory>
#include <string>

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/base/random.h"
#include "burdockhill/src/peer/peer_link.h"

namespace burdockhill {

class EventLoop;

// Traffic over all peer connections of this process.
struct PeerTraffic {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t frames_sent = 0;
  uint64_t messages_sent = 0;
};

// Peer connections over TCP. The messages that are sent to one peer in the same
// iteration of the event loop share a frame.
class PeerTransport : public PeerLink {
 public:
  struct Options {
    Address listen;
    std::string shared_key;
    Hello self;  // A new nonce is set for each connection.
  };

  // Throws std::runtime_error if the address cannot be listened on.
  PeerTransport(EventLoop* loop, const Options& options, Random* random);
  ~PeerTransport() override;

  // Must be called before the first iteration of the event loop.
  void SetEvents(PeerEvents* events);

  void Connect(const VmName& vm, const std::string& address) override;
  void Disconnect(const VmName& vm) override;
  void Send(const VmName& vm, Message message) override;

  // Writes queued messages to the sockets, closes outgoing connections that
  // exceed the handshake timeout and reconnects lost ones. Call once per
  // iteration of the event loop.
  void Flush(TimePoint now);

  const PeerTraffic& Traffic() const;

  class Impl;

 private:
  std::unique_ptr<Impl> m_impl;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_TRANSPORT_PEER_TRANSPORT_H_

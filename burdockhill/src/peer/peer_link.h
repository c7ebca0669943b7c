#ifndef BURDOCKHILL_SRC_PEER_PEER_LINK_H_
#define BURDOCKHILL_SRC_PEER_PEER_LINK_H_

#include <string>

#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// Sends messages to peers. Delivery is neither guaranteed nor reported: a
// message to a peer that is not connected is dropped. Replies, heartbeats and
// holds that expire make up for lost messages.
class PeerLink {
 public:
  virtual ~PeerLink() = default;

  // Connects to `address` ("host:port") and reconnects when the connection is
  // lost. An existing connection to the same VM is replaced only once the new
  // one has been authenticated.
  virtual void Connect(const VmName& vm, const std::string& address) = 0;

  // Closes the connection to `vm` and does not reconnect.
  virtual void Disconnect(const VmName& vm) = 0;

  virtual void Send(const VmName& vm, Message message) = 0;
};

// Receives messages and connection changes of peers. Implemented by the cores
// of both roles.
class PeerEvents {
 public:
  virtual ~PeerEvents() = default;
  virtual void OnPeerUp(const Hello& peer) = 0;
  virtual void OnPeerDown(const VmName& vm) = 0;
  virtual void OnMessage(const VmName& from, const Message& message) = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_PEER_PEER_LINK_H_

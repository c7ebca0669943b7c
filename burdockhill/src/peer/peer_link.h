#ifndef BURDOCKHILL_SRC_PEER_PEER_LINK_H_
#define BURDOCKHILL_SRC_PEER_PEER_LINK_H_

#include <string>

#include "burdockhill/src/peer/message.h"

namespace burdockhill {

// Sends messages to peers. Delivery is neither certain nor reported: a message
// to a peer that is not connected is dropped, and the controllers' own answers,
// heartbeats and holds make up for it.
class PeerLink {
 public:
  virtual ~PeerLink() = default;

  // Opens a connection to `address` ("host:port") and keeps it open. Replaces
  // a connection to the same VM only once the new one has been authenticated.
  virtual void Connect(const VmName& vm, const std::string& address) = 0;

  // Closes the connection to `vm` and forgets its address.
  virtual void Disconnect(const VmName& vm) = 0;

  virtual void Send(const VmName& vm, Message message) = 0;
};

// Receives what peers send. Implemented by the cores of both roles.
class PeerEvents {
 public:
  virtual ~PeerEvents() = default;
  virtual void OnPeerUp(const Hello& peer) = 0;
  virtual void OnPeerDown(const VmName& vm) = 0;
  virtual void OnMessage(const VmName& from, const Message& message) = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_PEER_PEER_LINK_H_

#ifndef BURDOCKHILL_SRC_WIRE_PEER_SESSION_H_
#define BURDOCKHILL_SRC_WIRE_PEER_SESSION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "burdockhill/src/peer/message.h"

namespace burdockhill::wire {

// Largest frame that a session accepts.
inline constexpr size_t kMaxFrameBytes = size_t{8} << 20;

// One authenticated connection between two peers, without I/O.
//
// A frame is a 4-byte big-endian length, a 16-byte code and a FlatBuffers
// payload. The accepting side speaks first: its Hello carries a nonce. The
// connecting side answers with its own Hello and nonce. Every later frame is
// authenticated by HMAC-SHA-256 under a key made from the shared key, both
// nonces and both incarnations, over direction, sequence number and payload.
// So a frame that is forged, repeated, left out, reflected or recorded on an
// earlier connection, or to an earlier incarnation, fails the session.
class PeerSession {
 public:
  enum class Side { kConnecting, kAccepting };

  // `self` must have a fresh random nonce of at least 16 bytes.
  PeerSession(Side side, std::string shared_key, Hello self);

  // Bytes to send when the connection opens; empty on the connecting side.
  std::string Open();

  // Consumes received bytes; appends the messages of complete frames. After an
  // error the connection must be closed: ErrorKind::kPeerRefused for a frame
  // that fails authentication, ErrorKind::kBadRequest for a malformed one.
  std::error_code Receive(std::string_view bytes,
                          std::vector<Message>* messages);

  // One frame with `messages`. Requires IsEstablished().
  std::string Encode(const std::vector<Message>& messages);

  // Whether both sides know each other and messages may be sent.
  bool IsEstablished() const { return m_established; }

  // Bytes that Receive wants sent back as part of the handshake.
  std::string TakeReply();

  // Who is on the other side. Meaningful once established.
  const Hello& Peer() const { return m_peer; }

 private:
  std::error_code ReceiveFrame(std::string_view code, std::string_view payload,
                               std::vector<Message>* messages);
  std::error_code ReceiveHello(std::string_view code, std::string_view payload);
  std::string SealFrame(std::string_view key, std::string_view payload);
  std::string CodeFor(std::string_view key, Side sender, uint64_t sequence,
                      std::string_view payload) const;
  std::string SessionKey(const Hello& accepting, const Hello& connecting) const;

  Side m_side;
  std::string m_shared_key;
  Hello m_self;
  Hello m_peer;
  std::string m_session_key;
  std::string m_received;
  std::string m_reply;
  uint64_t m_next_sent = 0;
  uint64_t m_next_received = 0;
  bool m_established = false;
};

}  // namespace burdockhill::wire

#endif  // BURDOCKHILL_SRC_WIRE_PEER_SESSION_H_

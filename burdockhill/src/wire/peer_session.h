#ifndef BURDOCKHILL_SRC_WIRE_PEER_SESSION_H_
#define BURDOCKHILL_SRC_WIRE_PEER_SESSION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "burdockhill/src/peer/message.h"

namespace burdockhill::wire {

// Largest payload of a frame that a session accepts.
inline constexpr size_t kMaxPayloadBytes = size_t{8} << 20;
// Before the peer is authenticated.
inline constexpr size_t kMaxHelloBytes = size_t{16} << 10;

// State of one authenticated connection between two peers, without I/O.
//
// A frame is a 4-byte big-endian payload length, a 16-byte message
// authentication code (MAC) and a FlatBuffers payload. The MAC is a truncated
// HMAC-SHA-256 over direction, sequence number and payload. The accepting side
// sends first: its Hello contains a nonce and is authenticated with the shared
// key. The connecting side replies with its own Hello and nonce. This and all
// later frames are authenticated with a session key, derived from the shared
// key, both nonces and both incarnations. The session therefore fails when a
// frame is forged, replayed, dropped, reflected, or recorded on another
// connection or with an earlier incarnation. The exception is a recorded Hello
// of the accepting side: it is accepted, and the next frame fails.
class PeerSession {
 public:
  enum class Side { kConnecting, kAccepting };

  // `self` is the Hello to send. Its nonce must be random, of at least 16
  // bytes, and not used for another session.
  PeerSession(Side side, std::string shared_key, Hello self);

  // Returns the bytes to send when the connection opens; empty on the
  // connecting side.
  std::string StartHandshake();

  // Consumes received bytes and appends the messages of complete frames.
  // Returns ErrorKind::kPeerRefused for a frame that fails authentication and
  // ErrorKind::kBadRequest for one that is malformed or too large; the
  // connection must then be closed.
  std::error_code Receive(std::string_view bytes,
                          std::vector<Message>* messages);

  // Returns one frame with `messages`. Requires IsEstablished().
  std::string EncodeFrame(const std::vector<Message>& messages);

  // Whether the peer's Hello has been accepted, so that messages may be sent.
  bool IsEstablished() const { return m_established; }

  // Returns, and clears, the handshake bytes to send after Receive; may be
  // empty.
  std::string DrainHandshakeReply();

  // Returns the peer's Hello. Valid only if IsEstablished().
  const Hello& Peer() const { return m_peer; }

  // Bytes of a frame that has arrived in part.
  size_t BufferedBytes() const { return m_receive_buffer.size(); }

 private:
  std::error_code ReceiveFrame(std::string_view mac, std::string_view payload,
                               std::vector<Message>* messages);
  std::error_code ReceiveHello(std::string_view mac, std::string_view payload);
  std::string BuildFrame(std::string_view key, std::string_view payload);
  std::string ComputeMac(std::string_view key, Side sender, uint64_t sequence,
                         std::string_view payload) const;
  std::string DeriveSessionKey(const Hello& accepting,
                               const Hello& connecting) const;

  Side m_side;
  std::string m_shared_key;
  Hello m_self;
  Hello m_peer;
  std::string m_session_key;
  std::string m_receive_buffer;
  std::string m_handshake_reply;
  uint64_t m_next_send_sequence = 0;
  uint64_t m_next_receive_sequence = 0;
  bool m_established = false;
};

}  // namespace burdockhill::wire

#endif  // BURDOCKHILL_SRC_WIRE_PEER_SESSION_H_

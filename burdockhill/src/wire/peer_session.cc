#include "burdockhill/src/wire/peer_session.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cassert>
#include <utility>

#include "burdockhill/src/wire/codec.h"

namespace burdockhill::wire {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kMacBytes = 16;
constexpr size_t kHeaderBytes = kLengthBytes + kMacBytes;
constexpr size_t kMinNonceBytes = 16;
constexpr int kBitsPerByte = 8;

void AppendBigEndian(uint64_t value, size_t bytes, std::string* out) {
  for (size_t i = bytes; i > 0; --i) {
    out->push_back(static_cast<char>(value >> ((i - 1) * kBitsPerByte)));
  }
}

uint64_t ReadBigEndian(std::string_view bytes) {
  uint64_t value = 0;
  for (const char c : bytes) {
    value = (value << kBitsPerByte) | static_cast<uint8_t>(c);
  }
  return value;
}

std::string Hmac(std::string_view key, std::string_view data) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest,
       &size);
  return {reinterpret_cast<const char*>(digest), size};
}

}  // namespace

PeerSession::PeerSession(Side side, std::string shared_key, Hello self)
    : m_side(side),
      m_shared_key(std::move(shared_key)),
      m_self(std::move(self)) {
  assert(m_self.nonce.size() >= kMinNonceBytes &&
         "give every session a fresh random nonce");
}

std::string PeerSession::StartHandshake() {
  if (m_side == Side::kConnecting) return {};
  const Message hello = m_self;
  return BuildFrame(m_shared_key, EncodeMessages({&hello, 1}));
}

std::error_code PeerSession::Receive(std::string_view bytes,
                                     std::vector<Message>* messages) {
  m_receive_buffer.append(bytes);
  size_t start = 0;
  while (m_receive_buffer.size() - start >= kHeaderBytes) {
    const std::string_view rest =
        std::string_view{m_receive_buffer}.substr(start);
    const size_t length = ReadBigEndian(rest.substr(0, kLengthBytes));
    const size_t max_length = m_established ? kMaxPayloadBytes : kMaxHelloBytes;
    if (length > max_length) return ErrorKind::kBadRequest;
    if (rest.size() < kHeaderBytes + length) break;
    const std::error_code error =
        ReceiveFrame(rest.substr(kLengthBytes, kMacBytes),
                     rest.substr(kHeaderBytes, length), messages);
    if (error) return error;
    start += kHeaderBytes + length;
  }
  m_receive_buffer.erase(0, start);
  if (m_receive_buffer.empty()) m_receive_buffer.shrink_to_fit();
  return {};
}

std::string PeerSession::EncodeFrame(const std::vector<Message>& messages) {
  assert(m_established && "wait for IsEstablished before sending");
  return BuildFrame(m_session_key, EncodeMessages(messages));
}

std::string PeerSession::DrainHandshakeReply() {
  return std::exchange(m_handshake_reply, {});
}

std::error_code PeerSession::ReceiveFrame(std::string_view mac,
                                          std::string_view payload,
                                          std::vector<Message>* messages) {
  if (!m_established) return ReceiveHello(mac, payload);
  const Side sender =
      m_side == Side::kConnecting ? Side::kAccepting : Side::kConnecting;
  const std::string expected =
      ComputeMac(m_session_key, sender, m_next_receive_sequence, payload);
  if (CRYPTO_memcmp(expected.data(), mac.data(), kMacBytes) != 0) {
    return ErrorKind::kPeerRefused;
  }
  ++m_next_receive_sequence;
  return DecodeMessages(payload, messages)
             ? std::error_code()
             : make_error_code(ErrorKind::kBadRequest);
}

std::error_code PeerSession::ReceiveHello(std::string_view mac,
                                          std::string_view payload) {
  std::vector<Message> messages;
  if (!DecodeMessages(payload, &messages) || messages.size() != 1 ||
      !std::holds_alternative<Hello>(messages.front())) {
    return ErrorKind::kBadRequest;
  }
  m_peer = std::get<Hello>(messages.front());
  if (m_peer.nonce.size() < kMinNonceBytes) return ErrorKind::kBadRequest;

  const bool connecting = m_side == Side::kConnecting;
  m_session_key = connecting ? DeriveSessionKey(m_peer, m_self)
                             : DeriveSessionKey(m_self, m_peer);
  const std::string_view key = connecting ? m_shared_key : m_session_key;
  const Side sender = connecting ? Side::kAccepting : Side::kConnecting;
  const std::string expected =
      ComputeMac(key, sender, m_next_receive_sequence, payload);
  if (CRYPTO_memcmp(expected.data(), mac.data(), kMacBytes) != 0) {
    return ErrorKind::kPeerRefused;
  }
  ++m_next_receive_sequence;
  if (connecting) {
    const Message hello = m_self;
    m_handshake_reply = BuildFrame(m_session_key, EncodeMessages({&hello, 1}));
  }
  m_established = true;
  return {};
}

std::string PeerSession::BuildFrame(std::string_view key,
                                    std::string_view payload) {
  std::string frame;
  frame.reserve(kHeaderBytes + payload.size());
  AppendBigEndian(payload.size(), kLengthBytes, &frame);
  frame += ComputeMac(key, m_side, m_next_send_sequence, payload);
  frame += payload;
  ++m_next_send_sequence;
  return frame;
}

std::string PeerSession::ComputeMac(std::string_view key, Side sender,
                                    uint64_t sequence,
                                    std::string_view payload) const {
  std::string data;
  data.reserve(1 + sizeof(sequence) + payload.size());
  data.push_back(sender == Side::kConnecting ? 'c' : 'a');
  AppendBigEndian(sequence, sizeof(sequence), &data);
  data += payload;
  return Hmac(key, data).substr(0, kMacBytes);
}

std::string PeerSession::DeriveSessionKey(const Hello& accepting,
                                          const Hello& connecting) const {
  std::string data;
  AppendBigEndian(accepting.incarnation.Value(), sizeof(uint64_t), &data);
  AppendBigEndian(connecting.incarnation.Value(), sizeof(uint64_t), &data);
  AppendBigEndian(accepting.nonce.size(), sizeof(uint64_t), &data);
  data += accepting.nonce;
  data += connecting.nonce;
  return Hmac(m_shared_key, data);
}

}  // namespace burdockhill::wire

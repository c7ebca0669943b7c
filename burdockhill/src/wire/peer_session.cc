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
constexpr size_t kCodeBytes = 16;
constexpr size_t kHeaderBytes = kLengthBytes + kCodeBytes;
constexpr size_t kMinNonceBytes = 16;
constexpr int kBitsPerByte = 8;

void AppendNumber(uint64_t value, size_t bytes, std::string* out) {
  for (size_t i = bytes; i > 0; --i) {
    out->push_back(static_cast<char>(value >> ((i - 1) * kBitsPerByte)));
  }
}

uint64_t ReadNumber(std::string_view bytes) {
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

std::string PeerSession::Open() {
  if (m_side == Side::kConnecting) return {};
  const Message hello = m_self;
  return SealFrame(m_shared_key, EncodeMessages({&hello, 1}));
}

std::error_code PeerSession::Receive(std::string_view bytes,
                                     std::vector<Message>* messages) {
  m_received.append(bytes);
  size_t start = 0;
  while (m_received.size() - start >= kHeaderBytes) {
    const std::string_view rest = std::string_view{m_received}.substr(start);
    const size_t length = ReadNumber(rest.substr(0, kLengthBytes));
    if (length > kMaxFrameBytes) return ErrorKind::kBadRequest;
    if (rest.size() < kHeaderBytes + length) break;
    const std::error_code error =
        ReceiveFrame(rest.substr(kLengthBytes, kCodeBytes),
                     rest.substr(kHeaderBytes, length), messages);
    if (error) return error;
    start += kHeaderBytes + length;
  }
  m_received.erase(0, start);
  return {};
}

std::string PeerSession::Encode(const std::vector<Message>& messages) {
  assert(m_established && "wait for IsEstablished before sending");
  return SealFrame(m_session_key, EncodeMessages(messages));
}

std::string PeerSession::TakeReply() { return std::exchange(m_reply, {}); }

std::error_code PeerSession::ReceiveFrame(std::string_view code,
                                          std::string_view payload,
                                          std::vector<Message>* messages) {
  if (!m_established) return ReceiveHello(code, payload);
  const Side sender =
      m_side == Side::kConnecting ? Side::kAccepting : Side::kConnecting;
  const std::string expected =
      CodeFor(m_session_key, sender, m_next_received, payload);
  if (CRYPTO_memcmp(expected.data(), code.data(), kCodeBytes) != 0) {
    return ErrorKind::kPeerRefused;
  }
  ++m_next_received;
  return DecodeMessages(payload, messages)
             ? std::error_code()
             : make_error_code(ErrorKind::kBadRequest);
}

std::error_code PeerSession::ReceiveHello(std::string_view code,
                                          std::string_view payload) {
  std::vector<Message> messages;
  if (!DecodeMessages(payload, &messages) || messages.size() != 1 ||
      !std::holds_alternative<Hello>(messages.front())) {
    return ErrorKind::kBadRequest;
  }
  m_peer = std::get<Hello>(messages.front());
  if (m_peer.nonce.size() < kMinNonceBytes) return ErrorKind::kBadRequest;

  const bool connecting = m_side == Side::kConnecting;
  m_session_key =
      connecting ? SessionKey(m_peer, m_self) : SessionKey(m_self, m_peer);
  const std::string_view key = connecting ? m_shared_key : m_session_key;
  const Side sender = connecting ? Side::kAccepting : Side::kConnecting;
  const std::string expected = CodeFor(key, sender, m_next_received, payload);
  if (CRYPTO_memcmp(expected.data(), code.data(), kCodeBytes) != 0) {
    return ErrorKind::kPeerRefused;
  }
  ++m_next_received;
  if (connecting) {
    const Message hello = m_self;
    m_reply = SealFrame(m_session_key, EncodeMessages({&hello, 1}));
  }
  m_established = true;
  return {};
}

std::string PeerSession::SealFrame(std::string_view key,
                                   std::string_view payload) {
  std::string frame;
  frame.reserve(kHeaderBytes + payload.size());
  AppendNumber(payload.size(), kLengthBytes, &frame);
  frame += CodeFor(key, m_side, m_next_sent, payload);
  frame += payload;
  ++m_next_sent;
  return frame;
}

std::string PeerSession::CodeFor(std::string_view key, Side sender,
                                 uint64_t sequence,
                                 std::string_view payload) const {
  std::string data;
  data.reserve(1 + sizeof(sequence) + payload.size());
  data.push_back(sender == Side::kConnecting ? 'c' : 'a');
  AppendNumber(sequence, sizeof(sequence), &data);
  data += payload;
  return Hmac(key, data).substr(0, kCodeBytes);
}

std::string PeerSession::SessionKey(const Hello& accepting,
                                    const Hello& connecting) const {
  std::string data;
  AppendNumber(accepting.incarnation.Value(), sizeof(uint64_t), &data);
  AppendNumber(connecting.incarnation.Value(), sizeof(uint64_t), &data);
  AppendNumber(accepting.nonce.size(), sizeof(uint64_t), &data);
  data += accepting.nonce;
  data += connecting.nonce;
  return Hmac(m_shared_key, data);
}

}  // namespace burdockhill::wire

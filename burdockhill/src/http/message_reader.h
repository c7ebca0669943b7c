#ifndef BURDOCKHILL_SRC_HTTP_MESSAGE_READER_H_
#define BURDOCKHILL_SRC_HTTP_MESSAGE_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "burdockhill/src/http/message.h"

namespace burdockhill::http {

enum class MessageKind { kRequest, kResponse };

// Why a message cannot be read any further.
enum class ReadError { kNone, kMalformed, kHeaderTooLarge };

// Reads HTTP/1.1 messages from the bytes of one connection, without I/O.
// Stricter than its parser library (http-parser): a message whose end could be
// understood in two ways is malformed, as are blanks in header names.
class MessageReader {
 public:
  MessageReader(MessageKind kind, size_t max_header_bytes);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Reads up to the end of the current message and returns how many bytes
  // belong to it. Body bytes are appended to Body().
  size_t Consume(std::string_view bytes);

  // The connection ended. Completes an answer that ends with it.
  void ConsumeEnd();

  // For answers: the request was a HEAD, so no body follows.
  void ExpectNoBody();

  // Starts the next message. Requires IsComplete().
  void Reset();

  bool HasStarted() const;  // Some byte of the message was read.
  bool HasHead() const;
  bool IsComplete() const;
  ReadError Error() const;
  const Head& MessageHead() const;
  // Body bytes read and not yet taken.
  std::string& Body();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_MESSAGE_READER_H_

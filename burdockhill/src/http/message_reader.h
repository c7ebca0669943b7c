#ifndef BURDOCKHILL_SRC_HTTP_MESSAGE_READER_H_
#define BURDOCKHILL_SRC_HTTP_MESSAGE_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "burdockhill/src/http/message.h"
#include "burdockhill/src/http/message_syntax.h"

namespace burdockhill::http {

// Why a message was rejected. A header that is too large includes everything
// that is neither body nor necessary: interim responses, chunk extensions and
// trailers.
enum class ReadError { kNone, kMalformed, kHeaderTooLarge };

// Incremental parser for the HTTP/1.1 messages of one connection; does no I/O.
// Stricter than the library http-parser that it uses: as a protection against
// request smuggling it rejects ambiguous framing (more than one Content-Length
// or Transfer-Encoding, or both). Malformed are also versions other than
// HTTP/1.x and what MessageSyntax rejects. Trailers are dropped, whatever their
// names: the body is complete before them.
class MessageReader {
 public:
  MessageReader(MessageKind kind, size_t max_header_bytes);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Parses up to the end of the current message and returns the number of bytes
  // that were consumed. Appends body bytes to Body().
  size_t Consume(std::string_view bytes);

  // Reports the end of the input. Completes a response whose body extends to
  // the end of the connection; any other unfinished message is malformed.
  void ConsumeEndOfInput();

  // Declares that the current response has no body, as after a HEAD request.
  void ExpectNoBody();

  // Limits the header of the current message and of later ones.
  void SetMaxHeaderBytes(size_t bytes);

  // Prepares for the next message, after a complete one or before the first.
  void Reset();

  bool HasStarted() const;  // At least one byte of the message was consumed.
  bool HasHead() const;
  bool IsComplete() const;
  ReadError Error() const;
  // Why the message is malformed; kNone unless Error() is kMalformed.
  Malformation Fault() const;
  const Head& MessageHead() const;
  // Memory of the head so far, in bytes, with what its allocations take.
  size_t HeadMemory() const;
  // Moves the texts and fields of the head out. What describes the framing and
  // the connection stays in MessageHead.
  Head TakeHead();
  // Decoded body bytes. The caller may move them out or clear them.
  std::string& Body();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_MESSAGE_READER_H_

#ifndef BURDOCKHILL_SRC_HTTP_MESSAGE_SYNTAX_H_
#define BURDOCKHILL_SRC_HTTP_MESSAGE_SYNTAX_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace burdockhill::http {

enum class MessageKind { kRequest, kResponse };

// Why bytes are no HTTP/1.1 message.
enum class Malformation {
  kNone,
  kStartLine,         // Not that of a request or a response.
  kVersion,           // Not HTTP/1.x.
  kStatus,            // Not three digits from 100 to 599, or 101.
  kFieldName,         // Not a token that is followed by a colon at once.
  kFoldedField,       // A line of a field begins with white space.
  kControlCharacter,  // In a start line or a field value; also a lone CR.
  kFraming,           // The length of the body is ambiguous or unreadable.
  kChunk,             // A chunk does not have the size that it states.
  kNestedResponse,    // A response begins inside the head of another one.
  // The input ended inside the message, or that of a response without a length
  // before its request was taken.
  kEndedEarly,
};

// Name for logs and metrics.
std::string_view MalformationName(Malformation malformation);

// Whether a message may have this status code: RFC 9110, section 15, defines
// five classes of them.
constexpr bool IsStatus(int status) {
  constexpr int kMin = 100;
  constexpr int kMax = 599;
  return status >= kMin && status <= kMax;
}

// Checks what the library http-parser does not of the lines of a head (RFC
// 9112, sections 2.2, 4 and 5) and of chunks (section 7.1). The library takes
// any number of digits for a status, the character after a CR for an LF, a line
// that begins with white space for a part of the field before it, and any two
// characters for the end of a chunk.
//
// The standard lets a gateway discard a message with a field that is folded
// over lines: recipients differ on whether such a line is a field of its own,
// and thus on where the body ends.
//
// As the standard allows, a bare LF ends a line, empty lines may precede a
// message, and a status may have more than one space before it. None of these
// are passed on. Trailers are not checked, since the reader drops them.
class MessageSyntax {
 public:
  explicit MessageSyntax(MessageKind kind) : m_kind(kind) {}

  // Checks bytes of the message, at most up to the end of its head. Returns how
  // many precede that end or a fault. Bytes after the message pass.
  size_t Check(std::string_view bytes);
  Malformation Fault() const { return m_fault; }
  // Whether the head was checked to its end, and its body has not begun.
  bool HasEndedHead() const { return m_state == State::kHeadEnd; }

  void BeginHead() { *this = MessageSyntax(m_kind); }
  void BeginBody(bool is_chunked) {
    m_state = is_chunked ? State::kChunkSize : State::kBody;
  }

 private:
  enum class State {
    kBegin,
    kVersion,
    kStatus,
    kStartLine,  // The rest of it.
    kLineBegin,
    kName,
    kValue,
    kHeadEnd,
    kBody,  // Not checked: one that is not chunked, or trailers.
    kChunkSize,
    kChunkPadding,  // Spaces behind the size.
    kChunkExtension,
    kChunkData,
    kChunkEnd,
  };

  // The state after the character.
  State Next(unsigned char c);
  State NextInVersion(unsigned char c);
  State NextInStatus(unsigned char c);
  State NextAtLineBegin(unsigned char c);
  State NextInName(unsigned char c);
  State NextInText(unsigned char c);
  State NextInChunkSize(unsigned char c);
  State NextAfterChunkSize(unsigned char c);
  // The state after the end of a line.
  State AfterLine();
  State Fail(Malformation fault);

  MessageKind m_kind;
  State m_state = State::kBegin;
  Malformation m_fault = Malformation::kNone;
  bool m_after_return = false;  // The last character was a CR.
  bool m_has_fields = false;
  size_t m_version_size = 0;  // Characters of the version so far.
  int m_status = 0;
  int m_status_digits = 0;
  int m_size_digits = 0;
  uint64_t m_chunk_bytes = 0;  // Still to come of the chunk.
};

}  // namespace burdockhill::http

#endif  // BURDOCKHILL_SRC_HTTP_MESSAGE_SYNTAX_H_

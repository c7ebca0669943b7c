#include "burdockhill/src/http/message_syntax.h"

#include <algorithm>
#include <cctype>

namespace burdockhill::http {

namespace {

constexpr int kStatusDigits = 3;
constexpr int kDecimalBase = 10;
// The router never asks for another protocol.
constexpr int kSwitchingProtocols = 101;

bool IsTokenCharacter(unsigned char c) {
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return std::isalnum(c) != 0 ||
         kTokenPunctuation.find(static_cast<char>(c)) != std::string_view::npos;
}

bool IsControlCharacter(unsigned char c) { return std::iscntrl(c) != 0; }

}  // namespace

std::string_view MalformationName(Malformation malformation) {
  switch (malformation) {
    case Malformation::kNone:
      return "none";
    case Malformation::kStartLine:
      return "start line";
    case Malformation::kVersion:
      return "version";
    case Malformation::kStatus:
      return "status";
    case Malformation::kFieldName:
      return "field name";
    case Malformation::kFoldedField:
      return "folded field";
    case Malformation::kControlCharacter:
      return "control character";
    case Malformation::kFraming:
      return "framing";
    case Malformation::kChunk:
      return "chunk";
    case Malformation::kNestedResponse:
      return "response inside a head";
    case Malformation::kEndedEarly:
      return "ended early";
  }
  return "unknown";
}

size_t MessageSyntax::Check(std::string_view bytes) {
  size_t checked = 0;
  while (checked < bytes.size()) {
    if (m_state == State::kBody) return bytes.size();
    if (m_state == State::kHeadEnd) return checked;
    if (m_state == State::kChunkData) {
      const auto size = static_cast<size_t>(
          std::min<uint64_t>(m_chunk_bytes, bytes.size() - checked));
      checked += size;
      m_chunk_bytes -= size;
      if (m_chunk_bytes == 0) m_state = State::kChunkEnd;
      continue;
    }
    const State next = Next(static_cast<unsigned char>(bytes[checked]));
    if (m_fault != Malformation::kNone) return checked;
    m_state = next;
    ++checked;
  }
  return checked;
}

MessageSyntax::State MessageSyntax::Next(unsigned char c) {
  const bool in_chunks = m_state >= State::kChunkSize;
  if (m_after_return) {
    m_after_return = false;
    if (c == '\n') return AfterLine();
    return Fail(in_chunks ? Malformation::kChunk
                          : Malformation::kControlCharacter);
  }
  switch (m_state) {
    case State::kBegin:
      m_after_return = c == '\r';
      if (m_after_return || c == '\n') return State::kBegin;
      if (m_kind == MessageKind::kResponse) return NextInVersion(c);
      return NextInText(c);
    case State::kVersion:
      return NextInVersion(c);
    case State::kStatus:
      return NextInStatus(c);
    case State::kLineBegin:
      return NextAtLineBegin(c);
    case State::kName:
      return NextInName(c);
    case State::kChunkSize:
      return NextInChunkSize(c);
    case State::kChunkPadding:
    case State::kChunkExtension:
      return NextAfterChunkSize(c);
    case State::kChunkEnd:
      m_after_return = c == '\r';
      return m_after_return ? State::kChunkEnd : Fail(Malformation::kChunk);
    default:
      return NextInText(c);
  }
}

MessageSyntax::State MessageSyntax::NextInVersion(unsigned char c) {
  constexpr std::string_view kName = "HTTP/";
  constexpr std::string_view kPattern = "HTTP/1.0 ";  // 0 is any digit.
  const auto expected = static_cast<unsigned char>(kPattern[m_version_size]);
  const bool matches = expected == '0' ? std::isdigit(c) != 0 : c == expected;
  if (!matches) {
    return Fail(m_version_size < kName.size() ? Malformation::kStartLine
                                              : Malformation::kVersion);
  }
  ++m_version_size;
  return m_version_size < kPattern.size() ? State::kVersion : State::kStatus;
}

MessageSyntax::State MessageSyntax::NextInStatus(unsigned char c) {
  if (c == ' ' && m_status_digits == 0) return State::kStatus;
  if (std::isdigit(c) != 0 && m_status_digits < kStatusDigits) {
    ++m_status_digits;
    m_status = m_status * kDecimalBase + (c - '0');
    return State::kStatus;
  }
  const bool ends = c == ' ' || c == '\r' || c == '\n';
  if (!ends || m_status_digits != kStatusDigits || !IsStatus(m_status) ||
      m_status == kSwitchingProtocols) {
    return Fail(Malformation::kStatus);
  }
  m_state = State::kStartLine;
  return NextInText(c);
}

MessageSyntax::State MessageSyntax::NextAtLineBegin(unsigned char c) {
  if (c == '\n') return State::kHeadEnd;
  if (c == '\r') {
    m_after_return = true;
    return State::kLineBegin;
  }
  const bool is_folded = m_has_fields && (c == ' ' || c == '\t');
  if (is_folded) return Fail(Malformation::kFoldedField);
  if (!IsTokenCharacter(c)) return Fail(Malformation::kFieldName);
  m_has_fields = true;
  return State::kName;
}

MessageSyntax::State MessageSyntax::NextInName(unsigned char c) {
  if (c == ':') return State::kValue;
  return IsTokenCharacter(c) ? State::kName : Fail(Malformation::kFieldName);
}

MessageSyntax::State MessageSyntax::NextInText(unsigned char c) {
  const State state = m_state == State::kBegin ? State::kStartLine : m_state;
  if (c == '\n') return AfterLine();
  m_after_return = c == '\r';
  const bool allows_tab =
      m_kind == MessageKind::kResponse || state != State::kStartLine;
  if (m_after_return || !IsControlCharacter(c) || (c == '\t' && allows_tab)) {
    return state;
  }
  return Fail(Malformation::kControlCharacter);
}

MessageSyntax::State MessageSyntax::NextInChunkSize(unsigned char c) {
  constexpr int kMaxDigits = 16;  // Of 64 bits.
  constexpr uint64_t kBase = 16;
  if (std::isxdigit(c) == 0) {
    return m_size_digits > 0 ? NextAfterChunkSize(c)
                             : Fail(Malformation::kChunk);
  }
  if (++m_size_digits > kMaxDigits) return Fail(Malformation::kChunk);
  const int digit =
      std::isdigit(c) != 0 ? c - '0' : std::tolower(c) - 'a' + kDecimalBase;
  m_chunk_bytes = m_chunk_bytes * kBase + static_cast<uint64_t>(digit);
  return State::kChunkSize;
}

MessageSyntax::State MessageSyntax::NextAfterChunkSize(unsigned char c) {
  if (c == '\r') {
    m_after_return = true;
    return m_state;
  }
  if (m_state == State::kChunkExtension) {
    return c == '\t' || !IsControlCharacter(c) ? m_state
                                               : Fail(Malformation::kChunk);
  }
  if (c == ';') return State::kChunkExtension;
  return c == ' ' ? State::kChunkPadding : Fail(Malformation::kChunk);
}

MessageSyntax::State MessageSyntax::AfterLine() {
  switch (m_state) {
    case State::kBegin:
      return State::kBegin;
    case State::kLineBegin:
      return State::kHeadEnd;
    case State::kChunkSize:
    case State::kChunkPadding:
    case State::kChunkExtension:
      m_size_digits = 0;
      return m_chunk_bytes > 0 ? State::kChunkData : State::kBody;
    case State::kChunkEnd:
      return State::kChunkSize;
    default:
      return State::kLineBegin;
  }
}

MessageSyntax::State MessageSyntax::Fail(Malformation fault) {
  m_fault = fault;
  return m_state;
}

}  // namespace burdockhill::http

#include "burdockhill/src/http/message_syntax.h"

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
    case Malformation::kNestedResponse:
      return "response inside a head";
    case Malformation::kEndedEarly:
      return "ended early";
  }
  return "unknown";
}

size_t MessageSyntax::Check(std::string_view bytes) {
  size_t checked = 0;
  for (const char c : bytes) {
    if (m_state == State::kBody) return bytes.size();
    if (m_state == State::kHeadEnd) return checked;
    const State next = Next(static_cast<unsigned char>(c));
    if (m_fault != Malformation::kNone) return checked;
    m_state = next;
    ++checked;
  }
  return checked;
}

MessageSyntax::State MessageSyntax::Next(unsigned char c) {
  if (m_after_return) {
    m_after_return = false;
    return c == '\n' ? AfterLine() : Fail(Malformation::kControlCharacter);
  }
  switch (m_state) {
    case State::kBegin:
      if (c == '\r' || c == '\n') return State::kBegin;
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

MessageSyntax::State MessageSyntax::AfterLine() const {
  return m_state == State::kLineBegin ? State::kHeadEnd : State::kLineBegin;
}

MessageSyntax::State MessageSyntax::Fail(Malformation fault) {
  m_fault = fault;
  return m_state;
}

}  // namespace burdockhill::http

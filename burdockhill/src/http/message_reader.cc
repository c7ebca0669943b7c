#include "burdockhill/src/http/message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

#include "burdockhill/src/base/heap_size.h"

namespace burdockhill::http {

namespace {

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContentStatus = 204;
constexpr unsigned kNotModifiedStatus = 304;
// Each field takes memory beside its text.
constexpr size_t kMaxFields = 512;
// Bytes that frame one chunk: its size, two line ends, and a short extension.
constexpr size_t kChunkFramingBytes = 128;
// A header of short fields has more bytes of framing than of text.
constexpr size_t kFramingPerHeaderByte = 4;

// Whether a response has no body, whatever its fields say (RFC 9112, section
// 6.3). The library reads as many bytes as they say.
bool NeverHasBody(unsigned status) {
  return status < kFirstFinalStatus || status == kNoContentStatus ||
         status == kNotModifiedStatus;
}

// The reason for which the library rejects a message.
Malformation MalformationOf(http_errno error) {
  switch (error) {
    case HPE_INVALID_VERSION:
      return Malformation::kVersion;
    case HPE_INVALID_STATUS:
      return Malformation::kStatus;
    case HPE_INVALID_HEADER_TOKEN:
      return Malformation::kFieldName;
    case HPE_INVALID_CONTENT_LENGTH:
    case HPE_UNEXPECTED_CONTENT_LENGTH:
      return Malformation::kFraming;
    case HPE_INVALID_CHUNK_SIZE:
      return Malformation::kChunk;
    default:
      return Malformation::kStartLine;
  }
}

// Whether the text has the begin of a response in it: "HTTP/1.1 200", with any
// digits.
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kName = "HTTP/";
  constexpr std::string_view kPattern = "0.0 000";  // 0 stands for any digit.
  for (size_t at = text.find(kName); at != std::string_view::npos;
       at = text.find(kName, at + 1)) {
    const std::string_view rest =
        text.substr(at + kName.size(), kPattern.size());
    const bool matches = std::equal(
        rest.begin(), rest.end(), kPattern.begin(), kPattern.end(),
        [](char c, char pattern) {
          return pattern == '0' ? c >= '0' && c <= '9' : c == pattern;
        });
    if (matches) return true;
  }
  return false;
}

}  // namespace

struct MessageReader::State {
  http_parser parser{};
  MessageKind kind = MessageKind::kRequest;
  size_t max_header_bytes = 0;
  size_t header_bytes = 0;
  // Of the message, those of the body and of the framing of chunks excepted.
  size_t other_bytes = 0;
  size_t chunk_framing_bytes = 0;  // That the chunks so far may have.
  Head head;
  std::string reason;       // Text of the status of a response.
  size_t field_memory = 0;  // Of the texts of all fields.
  std::string body;
  std::string field_name;
  std::string field_value;
  bool in_value = false;
  bool started = false;
  bool has_head = false;
  bool complete = false;
  bool expects_no_body = false;
  ReadError error = ReadError::kNone;
  Malformation fault = Malformation::kNone;
  MessageSyntax syntax{MessageKind::kRequest};

  void Init() {
    syntax = MessageSyntax(kind);
    http_parser_init(
        &parser, kind == MessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    parser.data = this;
    header_bytes = other_bytes = chunk_framing_bytes = 0;
    head = Head();
    reason.clear();
    field_memory = 0;
    field_name.clear();
    field_value.clear();
    in_value = false;
    started = has_head = complete = false;
  }

  static State* FromParser(http_parser* parser) {
    return static_cast<State*>(parser->data);
  }

  // Returns false if there are too many fields. Trailers are not kept.
  bool FinishField() {
    if (!in_value) return true;
    in_value = false;
    std::string name = std::exchange(field_name, {});
    std::string value = std::exchange(field_value, {});
    if (has_head) return true;
    field_memory += HeapBytes(name) + HeapBytes(value);
    head.headers.Add(std::move(name), std::move(value));
    return head.headers.Fields().size() <= kMaxFields;
  }

  int Fail(ReadError reason) {
    error = reason;
    return -1;
  }

  int FailMalformed(Malformation reason) {
    fault = reason;
    return Fail(ReadError::kMalformed);
  }

  int CountHeaderBytes(size_t length) {
    header_bytes += length;
    return header_bytes > max_header_bytes ? Fail(ReadError::kHeaderTooLarge)
                                           : 0;
  }

  // Whether the header fields determine the end of the body in one way only.
  // Requires all fields.
  bool HasClearFraming() const {
    int content_lengths = 0;
    int transfer_encodings = 0;
    for (const Headers::Field& header : head.headers.Fields()) {
      if (EqualsIgnoringCase(header.name, "Content-Length")) {
        ++content_lengths;
        if (!ParseNumber(header.value).has_value()) return false;
      }
      if (EqualsIgnoringCase(header.name, "Transfer-Encoding")) {
        ++transfer_encodings;
        if (!EqualsIgnoringCase(header.value, "chunked")) return false;
      }
    }
    return content_lengths + transfer_encodings <= 1;
  }

  // Whether a response begins inside the head of this one: bytes that belong to
  // no request, and that end anywhere, precede the response to the request.
  bool HoldsAnotherResponse() const {
    if (kind != MessageKind::kResponse) return false;
    const std::vector<Headers::Field>& fields = head.headers.Fields();
    return ContainsStatusLine(reason) ||
           std::any_of(fields.begin(), fields.end(),
                       [](const Headers::Field& field) {
                         return ContainsStatusLine(field.value);
                       });
  }

  static int OnStatus(http_parser* parser, const char* at, size_t length) {
    State* state = FromParser(parser);
    state->reason.append(at, length);
    return state->CountHeaderBytes(length);
  }

  static int OnTarget(http_parser* parser, const char* at, size_t length) {
    State* state = FromParser(parser);
    state->head.target.append(at, length);
    return state->CountHeaderBytes(length);
  }

  static int OnField(http_parser* parser, const char* at, size_t length) {
    State* state = FromParser(parser);
    if (!state->FinishField()) return state->Fail(ReadError::kHeaderTooLarge);
    state->field_name.append(at, length);
    return state->CountHeaderBytes(length);
  }

  static int OnValue(http_parser* parser, const char* at, size_t length) {
    State* state = FromParser(parser);
    state->in_value = true;
    state->field_value.append(at, length);
    return state->CountHeaderBytes(length);
  }

  static int OnHeadersComplete(http_parser* parser) {
    State* state = FromParser(parser);
    if (!state->FinishField()) return state->Fail(ReadError::kHeaderTooLarge);
    if (parser->http_major != 1) {
      return state->FailMalformed(Malformation::kVersion);
    }
    if (!state->HasClearFraming()) {
      return state->FailMalformed(Malformation::kFraming);
    }
    if (state->HoldsAnotherResponse()) {
      return state->FailMalformed(Malformation::kNestedResponse);
    }
    Head& head = state->head;
    if (state->kind == MessageKind::kRequest) {
      head.method = http_method_str(static_cast<http_method>(parser->method));
      if (head.target.empty() || head.target.front() != '/') {
        return state->FailMalformed(Malformation::kStartLine);
      }
    }
    head.status = parser->status_code;
    head.keep_alive = http_should_keep_alive(parser) != 0;
    head.chunked = (parser->flags & F_CHUNKED) != 0;
    head.allows_interim = parser->http_minor >= 1;
    if (const std::string* length = head.headers.Find("Content-Length")) {
      head.content_length = static_cast<uint64_t>(*ParseNumber(*length));
    }
    state->has_head = true;
    state->syntax.BeginBody(head.chunked);
    const bool has_no_body = state->kind == MessageKind::kResponse &&
                             NeverHasBody(parser->status_code);
    return state->expects_no_body || has_no_body ? 1 : 0;
  }

  static int OnChunkHeader(http_parser* parser) {
    FromParser(parser)->chunk_framing_bytes += kChunkFramingBytes;
    return 0;
  }

  static int OnBody(http_parser* parser, const char* at, size_t length) {
    FromParser(parser)->body.append(at, length);
    return 0;
  }

  static int OnComplete(http_parser* parser) {
    State* state = FromParser(parser);
    // Interim (1xx) responses precede the final response and are skipped.
    if (state->kind == MessageKind::kResponse &&
        parser->status_code < kFirstFinalStatus) {
      state->head = Head();
      state->reason.clear();
      state->field_memory = 0;
      state->has_head = false;
      state->syntax.BeginHead();
      return 0;
    }
    state->complete = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  // Returns how many bytes were consumed.
  size_t Parse(std::string_view bytes);

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings result{};
      http_parser_settings_init(&result);
      result.on_url = &OnTarget;
      result.on_status = &OnStatus;
      result.on_header_field = &OnField;
      result.on_header_value = &OnValue;
      result.on_headers_complete = &OnHeadersComplete;
      result.on_chunk_header = &OnChunkHeader;
      result.on_body = &OnBody;
      result.on_message_complete = &OnComplete;
      return result;
    }();
    return settings;
  }
};

MessageReader::MessageReader(MessageKind kind, size_t max_header_bytes)
    : m_state(std::make_unique<State>()) {
  m_state->kind = kind;
  m_state->max_header_bytes = max_header_bytes;
  m_state->Init();
}

MessageReader::~MessageReader() = default;

size_t MessageReader::Consume(std::string_view bytes) {
  State& state = *m_state;
  size_t consumed = 0;
  while (consumed < bytes.size() && !state.complete &&
         state.error == ReadError::kNone) {
    state.started = true;
    const std::string_view rest = bytes.substr(consumed);
    const size_t checked = state.syntax.Check(rest);
    if (checked > 0) consumed += state.Parse(rest.substr(0, checked));
    if (state.complete || state.error != ReadError::kNone) break;
    if (state.syntax.Fault() != Malformation::kNone) {
      state.FailMalformed(state.syntax.Fault());
    } else if (state.syntax.HasEndedHead()) {
      // The library sees no end of the head there.
      state.FailMalformed(Malformation::kFraming);
    }
  }
  if (state.parser.upgrade != 0 && !state.complete &&
      state.error == ReadError::kNone) {
    state.FailMalformed(Malformation::kFraming);
  }
  return consumed;
}

size_t MessageReader::State::Parse(std::string_view bytes) {
  const size_t body_before = body.size();
  const size_t consumed =
      http_parser_execute(&parser, &Settings(), bytes.data(), bytes.size());
  other_bytes += consumed - (body.size() - body_before);
  const http_errno parser_error = HTTP_PARSER_ERRNO(&parser);
  if (parser_error != HPE_OK && parser_error != HPE_PAUSED &&
      error == ReadError::kNone) {
    if (parser_error == HPE_HEADER_OVERFLOW) {
      Fail(ReadError::kHeaderTooLarge);
    } else {
      FailMalformed(MalformationOf(parser_error));
    }
  }
  const size_t max_other_bytes =
      kFramingPerHeaderByte * max_header_bytes + chunk_framing_bytes;
  if (error == ReadError::kNone && other_bytes > max_other_bytes) {
    Fail(ReadError::kHeaderTooLarge);
  }
  return consumed;
}

void MessageReader::ConsumeEndOfInput() {
  State& state = *m_state;
  if (state.complete || state.error != ReadError::kNone || !state.started) {
    return;
  }
  http_parser_execute(&state.parser, &State::Settings(), nullptr, 0);
  if (!state.complete) state.FailMalformed(Malformation::kEndedEarly);
}

void MessageReader::ExpectNoBody() { m_state->expects_no_body = true; }

void MessageReader::SetMaxHeaderBytes(size_t bytes) {
  m_state->max_header_bytes = bytes;
}

void MessageReader::Reset() {
  m_state->expects_no_body = false;
  m_state->body.clear();
  m_state->Init();
}

bool MessageReader::HasStarted() const { return m_state->started; }
bool MessageReader::HasHead() const { return m_state->has_head; }
bool MessageReader::IsComplete() const { return m_state->complete; }
ReadError MessageReader::Error() const { return m_state->error; }
Malformation MessageReader::Fault() const { return m_state->fault; }
const Head& MessageReader::MessageHead() const { return m_state->head; }
size_t MessageReader::HeadMemory() const {
  const State& state = *m_state;
  const size_t fields = state.head.headers.Fields().capacity();
  return AllocationBytes(fields * sizeof(Headers::Field)) + state.field_memory +
         HeapBytes(state.head.target) + HeapBytes(state.reason) +
         HeapBytes(state.field_name) + HeapBytes(state.field_value);
}
Head MessageReader::TakeHead() {
  m_state->field_memory = 0;
  return std::move(m_state->head);
}
std::string& MessageReader::Body() { return m_state->body; }

}  // namespace burdockhill::http

#include "burdockhill/src/http/message_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

namespace burdockhill::http {

namespace {

constexpr int kInformational = 100;
constexpr int kFirstFinalStatus = 200;

bool IsTokenCharacter(unsigned char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return std::isalnum(c) != 0 ||
         kOthers.find(static_cast<char>(c)) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

}  // namespace

struct MessageReader::State {
  http_parser parser{};
  MessageKind kind = MessageKind::kRequest;
  size_t max_header_bytes = 0;
  size_t header_bytes = 0;
  Head head;
  std::string body;
  std::string field;
  std::string value;
  bool in_value = false;
  bool started = false;
  bool has_head = false;
  bool complete = false;
  bool no_body = false;
  ReadError error = ReadError::kNone;

  void Init() {
    http_parser_init(
        &parser, kind == MessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    parser.data = this;
    header_bytes = 0;
    head = Head();
    field.clear();
    value.clear();
    in_value = false;
    started = has_head = complete = false;
  }

  static State* Of(http_parser* parser) {
    return static_cast<State*>(parser->data);
  }

  void EndField() {
    if (!in_value) return;
    head.headers.Add(std::exchange(field, {}), std::exchange(value, {}));
    in_value = false;
  }

  int Fail(ReadError reason) {
    error = reason;
    return -1;
  }

  int CountHeader(size_t length) {
    header_bytes += length;
    return header_bytes > max_header_bytes ? Fail(ReadError::kHeaderTooLarge)
                                           : 0;
  }

  // Whether the header fields determine the end of the body in one way only.
  // Also false if a field name is not a token. Requires all fields.
  bool HasClearEnd() const {
    int lengths = 0;
    int codings = 0;
    for (const Headers::Field& header : head.headers.Fields()) {
      if (!IsToken(header.name)) return false;
      if (EqualsIgnoringCase(header.name, "Content-Length")) {
        ++lengths;
        if (!ParseNumber(header.value).has_value()) return false;
      }
      if (EqualsIgnoringCase(header.name, "Transfer-Encoding")) {
        ++codings;
        if (!EqualsIgnoringCase(header.value, "chunked")) return false;
      }
    }
    return lengths + codings <= 1;
  }

  static int OnTarget(http_parser* parser, const char* at, size_t length) {
    State* state = Of(parser);
    state->head.target.append(at, length);
    return state->CountHeader(length);
  }

  static int OnField(http_parser* parser, const char* at, size_t length) {
    State* state = Of(parser);
    state->EndField();
    state->field.append(at, length);
    return state->CountHeader(length);
  }

  static int OnValue(http_parser* parser, const char* at, size_t length) {
    State* state = Of(parser);
    state->in_value = true;
    state->value.append(at, length);
    return state->CountHeader(length);
  }

  static int OnHeadersComplete(http_parser* parser) {
    State* state = Of(parser);
    state->EndField();
    if (!state->HasClearEnd()) return state->Fail(ReadError::kMalformed);
    Head& head = state->head;
    if (state->kind == MessageKind::kRequest) {
      head.method = http_method_str(static_cast<http_method>(parser->method));
      if (head.target.empty() || head.target.front() != '/') {
        return state->Fail(ReadError::kMalformed);
      }
    }
    head.status = parser->status_code;
    head.keep_alive = http_should_keep_alive(parser) != 0;
    head.chunked = (parser->flags & F_CHUNKED) != 0;
    if (const std::string* length = head.headers.Find("Content-Length")) {
      head.content_length = static_cast<uint64_t>(*ParseNumber(*length));
    }
    state->has_head = true;
    return state->no_body ? 1 : 0;
  }

  static int OnBody(http_parser* parser, const char* at, size_t length) {
    Of(parser)->body.append(at, length);
    return 0;
  }

  static int OnComplete(http_parser* parser) {
    State* state = Of(parser);
    // Interim (1xx) responses precede the final response and are skipped.
    if (state->kind == MessageKind::kResponse &&
        parser->status_code >= kInformational &&
        parser->status_code < kFirstFinalStatus) {
      state->head = Head();
      state->has_head = false;
      return 0;
    }
    state->complete = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings result{};
      http_parser_settings_init(&result);
      result.on_url = &OnTarget;
      result.on_header_field = &OnField;
      result.on_header_value = &OnValue;
      result.on_headers_complete = &OnHeadersComplete;
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
  if (state.complete || state.error != ReadError::kNone || bytes.empty()) {
    return 0;
  }
  state.started = true;
  const size_t used = http_parser_execute(&state.parser, &State::Settings(),
                                          bytes.data(), bytes.size());
  const http_errno code = HTTP_PARSER_ERRNO(&state.parser);
  if (code != HPE_OK && code != HPE_PAUSED && state.error == ReadError::kNone) {
    state.error = code == HPE_HEADER_OVERFLOW ? ReadError::kHeaderTooLarge
                                              : ReadError::kMalformed;
  }
  if (state.parser.upgrade != 0 && !state.complete) {
    state.error = ReadError::kMalformed;
  }
  return used;
}

void MessageReader::ConsumeEnd() {
  State& state = *m_state;
  if (state.complete || state.error != ReadError::kNone || !state.started) {
    return;
  }
  http_parser_execute(&state.parser, &State::Settings(), nullptr, 0);
  if (!state.complete) state.error = ReadError::kMalformed;
}

void MessageReader::ExpectNoBody() { m_state->no_body = true; }

void MessageReader::Reset() {
  m_state->no_body = false;
  m_state->body.clear();
  m_state->Init();
}

bool MessageReader::HasStarted() const { return m_state->started; }
bool MessageReader::HasHead() const { return m_state->has_head; }
bool MessageReader::IsComplete() const { return m_state->complete; }
ReadError MessageReader::Error() const { return m_state->error; }
const Head& MessageReader::MessageHead() const { return m_state->head; }
std::string& MessageReader::Body() { return m_state->body; }

}  // namespace burdockhill::http

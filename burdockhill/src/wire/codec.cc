#include "burdockhill/src/wire/codec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "generated/peer_generated.h"

namespace burdockhill::wire {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// ---- Encoding ----

Attempt ToWire(const AttemptId& id) {
  return Attempt(id.request.Value(), id.entry.Value(), id.number);
}

Offset<flatbuffers::String> CreateText(Builder& b, const std::string& text) {
  return text.empty() ? 0 : b.CreateString(text);
}

template <typename Tag>
Offset<flatbuffers::String> CreateText(Builder& b, const NameId<Tag>& name) {
  return CreateText(b, name.Value());
}

Offset<RateLimitNotice> CreateRateLimit(
    Builder& b, const burdockhill::RateLimitNotice& notice) {
  return CreateRateLimitNotice(
      b, CreateText(b, notice.upstream), notice.requests_per_second.has_value(),
      notice.requests_per_second.value_or(0), notice.age.count());
}

template <typename E>
uint8_t EnumNumber(E value) {
  return static_cast<uint8_t>(value);
}

// Converts to a smaller unsigned type; values out of range become the nearest
// limit.
template <typename T>
T SaturatingCast(int64_t value) {
  constexpr int64_t kMax = std::numeric_limits<T>::max();
  return static_cast<T>(std::clamp<int64_t>(value, 0, kMax));
}

// Visitor of Message, with one overload per message type. Stores the union type
// and the offset of the encoded message.
struct Encoder {
  Builder& b;
  Body type = Body::NONE;
  Offset<void> value = 0;

  template <typename T>
  void SetBody(Body body, Offset<T> offset) {
    type = body;
    value = offset.Union();
  }

  void operator()(const burdockhill::Hello& m) {
    const auto nonce = b.CreateVector(
        reinterpret_cast<const uint8_t*>(m.nonce.data()), m.nonce.size());
    SetBody(Body::Hello,
            CreateHello(b, CreateText(b, m.vm), EnumNumber(m.role),
                        CreateText(b, m.zone), CreateText(b, m.region),
                        m.incarnation.Value(), nonce, m.keeps_origins,
                        m.grants_leases));
  }
  void operator()(const burdockhill::Heartbeat& m) {
    SetBody(Body::Heartbeat, CreateHeartbeat(b, m.sequence, m.reply));
  }
  void operator()(const burdockhill::ReserveDecode& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::ReserveDecode,
            CreateReserveDecode(b, &a, CreateText(b, m.service),
                                EnumNumber(m.request_class), m.prompt.Value(),
                                m.expected_output.Value(),
                                m.wait_budget.count(), m.target_left.count(),
                                m.priority, CreateText(b, m.team)));
  }
  void operator()(const burdockhill::Registrations& m) {
    std::vector<Offset<RelayedObject>> objects;
    objects.reserve(m.objects.size());
    for (const burdockhill::RelayedObject& object : m.objects) {
      objects.push_back(CreateRelayedObject(
          b, CreateText(b, object.name), object.revision.number,
          CreateText(b, object.content), object.revision.era));
    }
    SetBody(Body::Registrations,
            CreateRegistrations(b, m.request, m.revision.number,
                                b.CreateVector(objects), m.revision.era));
  }
  void operator()(const burdockhill::PromptPartNotice& m) {
    SetBody(Body::PromptPartNotice,
            CreatePromptPartNotice(b, CreateText(b, m.part),
                                   CreateText(b, m.upstream), m.age.count()));
  }
  void operator()(const burdockhill::RateLimitNotice& m) {
    SetBody(Body::RateLimitNotice, CreateRateLimit(b, m));
  }
  void operator()(const burdockhill::PermitRequest& m) {
    SetBody(Body::PermitRequest,
            CreatePermitRequest(b, m.id, m.max_wait.count(),
                                CreateRateLimit(b, m.limit)));
  }
  void operator()(const burdockhill::PermitAnswer& m) {
    SetBody(Body::PermitAnswer,
            CreatePermitAnswer(b, m.id, m.granted, m.wait.count(), m.entries));
  }
  void operator()(const burdockhill::StreamOrigin& m) {
    SetBody(
        Body::StreamOrigin,
        CreateStreamOrigin(b, CreateText(b, m.service), m.stream.Value(),
                           CreateText(b, m.version), m.keep.count(), m.holder,
                           static_cast<uint32_t>(m.owner.Value())));
  }
  void operator()(const burdockhill::StreamOriginQuery& m) {
    SetBody(Body::StreamOriginQuery,
            CreateStreamOriginQuery(b, m.id, CreateText(b, m.service),
                                    m.stream.Value(),
                                    static_cast<uint32_t>(m.owner.Value())));
  }
  void operator()(const burdockhill::StreamOriginAnswer& m) {
    SetBody(Body::StreamOriginAnswer,
            CreateStreamOriginAnswer(b, m.id, CreateText(b, m.version),
                                     m.wait.count()));
  }
  void operator()(const burdockhill::TeamLeaseRequest& m) {
    SetBody(Body::TeamLeaseRequest,
            CreateTeamLeaseRequest(b, m.id, CreateText(b, m.team), m.needed,
                                   m.wanted, m.used_elsewhere, m.held));
  }
  void operator()(const burdockhill::TeamLeaseAnswer& m) {
    SetBody(Body::TeamLeaseAnswer,
            CreateTeamLeaseAnswer(b, m.id, CreateText(b, m.team), m.granted,
                                  m.lifetime.count(), m.wait.count(), m.entries,
                                  m.available));
  }
  void operator()(const burdockhill::TeamLeaseReturn& m) {
    SetBody(Body::TeamLeaseReturn,
            CreateTeamLeaseReturn(b, CreateText(b, m.team), m.amount));
  }
  void operator()(const burdockhill::CrashNotice& m) {
    SetBody(Body::CrashNotice,
            CreateCrashNotice(b, m.fingerprint, CreateText(b, m.upstream)));
  }
  void operator()(const burdockhill::ReservePrefill& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::ReservePrefill,
            CreateReservePrefill(b, &a, m.prompt.Value(), m.wait_budget.count(),
                                 m.target_left.count(), m.priority,
                                 CreateText(b, m.team)));
  }
  void operator()(const burdockhill::StartPrefill& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::StartPrefill,
            CreateStartPrefill(
                b, &a, CreateText(b, m.service), EnumNumber(m.request_class),
                m.prompt.Value(), CreateText(b, m.text),
                CreateText(b, m.parameters), m.wait_budget.count()));
  }
  void operator()(const burdockhill::StartDecode& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::StartDecode,
            CreateStartDecode(b, &a, CreateText(b, m.kv_handle),
                              CreateText(b, m.kv_source), m.prompt.Value(),
                              m.max_output.Value(), m.first_offset,
                              CreateText(b, m.parameters)));
  }
  void operator()(const burdockhill::CancelAttempt& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::CancelAttempt, CreateCancelAttempt(b, &a));
  }
  void operator()(const burdockhill::RenewHolds& m) {
    std::vector<Attempt> attempts;
    attempts.reserve(m.attempts.size());
    for (const AttemptId& id : m.attempts) attempts.push_back(ToWire(id));
    SetBody(Body::RenewHolds,
            CreateRenewHolds(b, b.CreateVectorOfStructs(attempts)));
  }
  void operator()(const burdockhill::AttachAttempt& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::AttachAttempt, CreateAttachAttempt(b, &a, m.offset));
  }
  void operator()(const burdockhill::CallService& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::CallService,
            CreateCallService(b, &a, CreateText(b, m.service),
                              CreateText(b, m.method), CreateText(b, m.path),
                              CreateText(b, m.content_type),
                              CreateText(b, m.idempotency_key),
                              CreateText(b, m.body), m.timeout.count()));
  }
  void operator()(const burdockhill::ReserveGranted& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::ReserveGranted,
            CreateReserveGranted(b, &a, CreateText(b, m.engine),
                                 m.engine_started_at_ms));
  }
  void operator()(const burdockhill::AttemptRefused& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(
        Body::AttemptRefused,
        CreateAttemptRefused(b, &a, EnumNumber(m.kind), m.retry_after.count()));
  }
  void operator()(const burdockhill::PrefillDone& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::PrefillDone,
            CreatePrefillDone(b, &a, CreateText(b, m.kv_handle),
                              CreateText(b, m.kv_source), m.prompt.Value(),
                              m.reused.Value()));
  }
  void operator()(const burdockhill::StreamChunk& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::StreamChunk,
            CreateStreamChunk(b, &a, m.offset, m.tokens, CreateText(b, m.text),
                              CreateText(b, m.finish_reason)));
  }
  void operator()(const burdockhill::AttemptFailed& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::AttemptFailed,
            CreateAttemptFailed(b, &a, EnumNumber(m.kind)));
  }
  void operator()(const burdockhill::CallAnswered& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::CallAnswered,
            CreateCallAnswered(b, &a, m.status, CreateText(b, m.content_type),
                               CreateText(b, m.body)));
  }
  void operator()(const burdockhill::AttemptReleased& m) {
    const Attempt a = ToWire(m.attempt);
    SetBody(Body::AttemptReleased, CreateAttemptReleased(b, &a));
  }
  void operator()(const burdockhill::LoadReport& m) {
    std::vector<EngineLoad> engines;
    std::vector<std::string> names;
    for (const burdockhill::EngineLoad& e : m.engines) {
      engines.emplace_back(EnumNumber(e.role), e.healthy,
                           SaturatingCast<uint16_t>(e.running),
                           SaturatingCast<uint16_t>(e.slots),
                           SaturatingCast<uint16_t>(e.waiting),
                           SaturatingCast<uint32_t>(e.free_pieces.Value()),
                           SaturatingCast<uint32_t>(e.queued_prefill.Value()),
                           SaturatingCast<uint32_t>(e.prefill_rate));
      if (e.name.IsValid()) names.push_back(e.name.Value());
    }
    const auto names_offset =
        names.empty() ? 0 : b.CreateVectorOfStrings(names);
    const auto engines_offset = b.CreateVectorOfStructs(engines);
    SetBody(Body::LoadReport,
            CreateLoadReport(
                b, CreateText(b, m.upstream), CreateText(b, m.service), m.plain,
                m.leaving, m.in_force.Value(), m.staged.Value(), engines_offset,
                names_offset, m.service_rate, m.prompt_rate, m.output_rate,
                m.decode_wait.count()));
  }
  void operator()(const burdockhill::ConfigurationOffer& m) {
    SetBody(Body::ConfigurationOffer,
            CreateConfigurationOffer(b, m.generation.Value(), m.accepted,
                                     CreateText(b, m.content)));
  }
  void operator()(const burdockhill::PoolRates& m) {
    SetBody(Body::PoolRates, CreatePoolRates(b, m.prefill, m.decode));
  }
  void operator()(const burdockhill::ConfigurationState& m) {
    std::vector<Offset<VmConfiguration>> vms;
    vms.reserve(m.vms.size());
    for (const auto& vm : m.vms) {
      vms.push_back(CreateVmConfiguration(
          b, CreateText(b, vm.name), vm.staged.Value(), vm.in_force.Value()));
    }
    SetBody(Body::ConfigurationState,
            CreateConfigurationState(b, b.CreateVector(vms)));
  }
};

// ---- Decoding ----

std::string ReadText(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

AttemptId FromWire(const Attempt* a) {
  if (a == nullptr) return {};
  return {RequestId(a->request()), a->number(), Incarnation(a->entry())};
}

// Converts `number` to an enumerator. Returns false if it is greater than
// `last`.
template <typename E>
bool ReadEnum(uint8_t number, E last, E* value) {
  if (number > static_cast<uint8_t>(last)) return false;
  *value = static_cast<E>(number);
  return true;
}

std::optional<Message> Decode(const Hello& m) {
  burdockhill::Hello out;
  if (!ReadEnum(m.role(), Role::kAgent, &out.role)) return std::nullopt;
  out.vm = VmName(ReadText(m.vm()));
  out.zone = ZoneName(ReadText(m.zone()));
  out.region = RegionName(ReadText(m.region()));
  out.incarnation = Incarnation(m.incarnation());
  out.keeps_origins = m.keeps_origins();
  out.grants_leases = m.grants_leases();
  if (m.nonce() != nullptr) {
    out.nonce.assign(m.nonce()->begin(), m.nonce()->end());
  }
  return out;
}

std::optional<Message> Decode(const Heartbeat& m) {
  return burdockhill::Heartbeat{m.sequence(), m.reply()};
}

std::optional<Message> Decode(const ReserveDecode& m) {
  burdockhill::ReserveDecode out;
  if (!ReadEnum(m.request_class(), RequestClass::kBatch, &out.request_class)) {
    return std::nullopt;
  }
  out.attempt = FromWire(m.attempt());
  out.service = ServiceName(ReadText(m.service()));
  out.prompt = Tokens(m.prompt());
  out.expected_output = Tokens(m.expected_output());
  out.wait_budget = Duration(m.wait_budget_us());
  out.target_left = Duration(m.target_left_us());
  out.priority = m.priority();
  out.team = TeamName(ReadText(m.team()));
  return out;
}

std::optional<Message> Decode(const Registrations& m) {
  burdockhill::Registrations out;
  out.request = m.request();
  out.revision = {m.era(), m.revision()};
  if (m.objects() == nullptr) return out;
  for (const RelayedObject* object : *m.objects()) {
    out.objects.push_back({ReadText(object->name()),
                           {object->era(), object->revision()},
                           ReadText(object->content())});
  }
  return out;
}

std::optional<Message> Decode(const PromptPartNotice& m) {
  burdockhill::PromptPartNotice out;
  out.part = PromptPartName(ReadText(m.part()));
  out.upstream = UpstreamName(ReadText(m.upstream()));
  out.age = Duration(m.age_us());
  return out;
}

// Nullopt if the limit is no possible rate.
std::optional<burdockhill::RateLimitNotice> ReadRateLimit(
    const RateLimitNotice& m) {
  burdockhill::RateLimitNotice out;
  out.upstream = UpstreamName(ReadText(m.upstream()));
  out.age = Duration(m.age_us());
  if (!m.limited()) return out;
  const double limit = m.requests_per_second();
  if (!std::isfinite(limit) || limit < 0) return std::nullopt;
  out.requests_per_second = limit;
  return out;
}

std::optional<Message> Decode(const RateLimitNotice& m) {
  const auto limit = ReadRateLimit(m);
  return limit.has_value() ? std::optional<Message>(*limit) : std::nullopt;
}

std::optional<Message> Decode(const PermitRequest& m) {
  if (m.limit() == nullptr) return std::nullopt;
  const auto limit = ReadRateLimit(*m.limit());
  if (!limit.has_value()) return std::nullopt;
  return burdockhill::PermitRequest{m.id(), Duration(m.max_wait_us()), *limit};
}

std::optional<Message> Decode(const PermitAnswer& m) {
  return burdockhill::PermitAnswer{m.id(), m.granted(), Duration(m.wait_us()),
                                   m.entries()};
}

std::optional<Message> Decode(const StreamOrigin& m) {
  return burdockhill::StreamOrigin{ServiceName(ReadText(m.service())),
                                   RequestId(m.stream()),
                                   SoftwareVersion(ReadText(m.version())),
                                   Duration(m.keep_us()),
                                   m.holder(),
                                   StreamOwner(m.owner())};
}

std::optional<Message> Decode(const StreamOriginQuery& m) {
  return burdockhill::StreamOriginQuery{
      m.id(), ServiceName(ReadText(m.service())), RequestId(m.stream()),
      StreamOwner(m.owner())};
}

std::optional<Message> Decode(const StreamOriginAnswer& m) {
  return burdockhill::StreamOriginAnswer{
      m.id(), SoftwareVersion(ReadText(m.version())), Duration(m.wait_us())};
}

std::optional<Message> Decode(const TeamLeaseRequest& m) {
  if (m.needed() < 0 || m.wanted() < 0 || m.used_elsewhere() < 0 ||
      m.held() < 0) {
    return std::nullopt;
  }
  return burdockhill::TeamLeaseRequest{
      m.id(),     TeamName(ReadText(m.team())), m.needed(),
      m.wanted(), m.used_elsewhere(),           m.held()};
}

std::optional<Message> Decode(const TeamLeaseAnswer& m) {
  if (m.granted() < 0) return std::nullopt;
  return burdockhill::TeamLeaseAnswer{m.id(),
                                      TeamName(ReadText(m.team())),
                                      m.granted(),
                                      Duration(m.lifetime_us()),
                                      Duration(m.wait_us()),
                                      m.entries(),
                                      m.available()};
}

std::optional<Message> Decode(const TeamLeaseReturn& m) {
  if (m.amount() < 0) return std::nullopt;
  return burdockhill::TeamLeaseReturn{TeamName(ReadText(m.team())), m.amount()};
}

std::optional<Message> Decode(const CrashNotice& m) {
  return burdockhill::CrashNotice{m.fingerprint(),
                                  UpstreamName(ReadText(m.upstream()))};
}

std::optional<Message> Decode(const ReservePrefill& m) {
  burdockhill::ReservePrefill out;
  out.attempt = FromWire(m.attempt());
  out.prompt = Tokens(m.prompt());
  out.wait_budget = Duration(m.wait_budget_us());
  out.target_left = Duration(m.target_left_us());
  out.priority = m.priority();
  out.team = TeamName(ReadText(m.team()));
  return out;
}

std::optional<Message> Decode(const StartPrefill& m) {
  burdockhill::StartPrefill out;
  if (!ReadEnum(m.request_class(), RequestClass::kBatch, &out.request_class)) {
    return std::nullopt;
  }
  out.attempt = FromWire(m.attempt());
  out.service = ServiceName(ReadText(m.service()));
  out.prompt = Tokens(m.prompt());
  out.text = ReadText(m.text());
  out.parameters = ReadText(m.parameters());
  out.wait_budget = Duration(m.wait_budget_us());
  return out;
}

std::optional<Message> Decode(const StartDecode& m) {
  return burdockhill::StartDecode{
      FromWire(m.attempt()),   ReadText(m.kv_handle()), ReadText(m.kv_source()),
      Tokens(m.prompt()),      Tokens(m.max_output()),  m.first_offset(),
      ReadText(m.parameters())};
}

std::optional<Message> Decode(const CancelAttempt& m) {
  return burdockhill::CancelAttempt{FromWire(m.attempt())};
}

std::optional<Message> Decode(const RenewHolds& m) {
  burdockhill::RenewHolds out;
  if (m.attempts() == nullptr) return out;
  out.attempts.reserve(m.attempts()->size());
  for (const Attempt* a : *m.attempts()) out.attempts.push_back(FromWire(a));
  return out;
}

std::optional<Message> Decode(const AttachAttempt& m) {
  return burdockhill::AttachAttempt{FromWire(m.attempt()), m.offset()};
}

std::optional<Message> Decode(const CallService& m) {
  return burdockhill::CallService{
      FromWire(m.attempt()),      ServiceName(ReadText(m.service())),
      ReadText(m.method()),       ReadText(m.path()),
      ReadText(m.content_type()), ReadText(m.idempotency_key()),
      ReadText(m.body()),         Duration(m.timeout_us())};
}

std::optional<Message> Decode(const ReserveGranted& m) {
  return burdockhill::ReserveGranted{FromWire(m.attempt()),
                                     EngineName(ReadText(m.engine())),
                                     m.engine_started_at_ms()};
}

std::optional<Message> Decode(const AttemptRefused& m) {
  burdockhill::AttemptRefused out;
  if (!ReadEnum(m.kind(), ErrorKind::kInternal, &out.kind)) return std::nullopt;
  out.attempt = FromWire(m.attempt());
  out.retry_after = Duration(m.retry_after_us());
  return out;
}

std::optional<Message> Decode(const PrefillDone& m) {
  return burdockhill::PrefillDone{
      FromWire(m.attempt()), ReadText(m.kv_handle()), ReadText(m.kv_source()),
      Tokens(m.prompt()), Tokens(m.reused())};
}

std::optional<Message> Decode(const StreamChunk& m) {
  return burdockhill::StreamChunk{FromWire(m.attempt()), m.offset(), m.tokens(),
                                  ReadText(m.text()),
                                  ReadText(m.finish_reason())};
}

std::optional<Message> Decode(const AttemptFailed& m) {
  burdockhill::AttemptFailed out;
  if (!ReadEnum(m.kind(), ErrorKind::kInternal, &out.kind)) return std::nullopt;
  out.attempt = FromWire(m.attempt());
  return out;
}

std::optional<Message> Decode(const CallAnswered& m) {
  return burdockhill::CallAnswered{FromWire(m.attempt()), m.status(),
                                   ReadText(m.content_type()),
                                   ReadText(m.body())};
}

std::optional<Message> Decode(const AttemptReleased& m) {
  return burdockhill::AttemptReleased{FromWire(m.attempt())};
}

// Whether a number from a peer is a rate, and neither negative, infinite nor
// NaN.
bool IsRate(double value) { return std::isfinite(value) && value >= 0; }

std::optional<Message> Decode(const PoolRates& m) {
  if (!IsRate(m.prefill()) || !IsRate(m.decode())) return std::nullopt;
  return burdockhill::PoolRates{m.prefill(), m.decode()};
}

std::optional<Message> Decode(const LoadReport& m) {
  burdockhill::LoadReport out;
  out.upstream = UpstreamName(ReadText(m.upstream()));
  out.service = ServiceName(ReadText(m.service()));
  out.plain = m.plain();
  out.leaving = m.leaving();
  out.in_force = Generation(m.in_force());
  out.staged = Generation(m.staged());
  if (!IsRate(m.service_rate()) || !IsRate(m.prompt_rate()) ||
      !IsRate(m.output_rate())) {
    return std::nullopt;
  }
  out.service_rate = m.service_rate();
  out.prompt_rate = m.prompt_rate();
  out.output_rate = m.output_rate();
  out.decode_wait = Duration(std::max<int64_t>(m.decode_wait_us(), 0));
  if (m.engines() == nullptr) return out;
  const auto* names = m.names();
  for (const EngineLoad* e : *m.engines()) {
    burdockhill::EngineLoad load;
    if (!ReadEnum(e->role(), EngineRole::kDecode, &load.role)) {
      return std::nullopt;
    }
    const auto index = static_cast<flatbuffers::uoffset_t>(out.engines.size());
    if (names != nullptr && index < names->size()) {
      load.name = EngineName(ReadText(names->Get(index)));
    }
    load.healthy = e->healthy();
    load.running = e->running();
    load.slots = e->slots();
    load.waiting = e->waiting();
    load.free_pieces = Pieces(e->free_pieces());
    load.queued_prefill = Tokens(e->queued_prefill());
    load.prefill_rate = e->prefill_rate();
    out.engines.push_back(std::move(load));
  }
  return out;
}

std::optional<Message> Decode(const ConfigurationOffer& m) {
  return burdockhill::ConfigurationOffer{Generation(m.generation()),
                                         m.accepted(), ReadText(m.content())};
}

std::optional<Message> Decode(const ConfigurationState& m) {
  burdockhill::ConfigurationState out;
  if (m.vms() == nullptr) return out;
  for (const VmConfiguration* vm : *m.vms()) {
    out.vms.push_back({VmName(ReadText(vm->name())), Generation(vm->staged()),
                       Generation(vm->in_force())});
  }
  return out;
}

std::optional<Message> DecodeBody(const Envelope& e) {
  switch (e.body_type()) {
    case Body::NONE:
      return std::nullopt;
    case Body::Hello:
      return Decode(*e.body_as_Hello());
    case Body::Heartbeat:
      return Decode(*e.body_as_Heartbeat());
    case Body::ReserveDecode:
      return Decode(*e.body_as_ReserveDecode());
    case Body::StartPrefill:
      return Decode(*e.body_as_StartPrefill());
    case Body::StartDecode:
      return Decode(*e.body_as_StartDecode());
    case Body::CancelAttempt:
      return Decode(*e.body_as_CancelAttempt());
    case Body::Registrations:
      return Decode(*e.body_as_Registrations());
    case Body::CrashNotice:
      return Decode(*e.body_as_CrashNotice());
    case Body::PromptPartNotice:
      return Decode(*e.body_as_PromptPartNotice());
    case Body::RateLimitNotice:
      return Decode(*e.body_as_RateLimitNotice());
    case Body::PermitRequest:
      return Decode(*e.body_as_PermitRequest());
    case Body::PermitAnswer:
      return Decode(*e.body_as_PermitAnswer());
    case Body::StreamOrigin:
      return Decode(*e.body_as_StreamOrigin());
    case Body::StreamOriginQuery:
      return Decode(*e.body_as_StreamOriginQuery());
    case Body::StreamOriginAnswer:
      return Decode(*e.body_as_StreamOriginAnswer());
    case Body::TeamLeaseRequest:
      return Decode(*e.body_as_TeamLeaseRequest());
    case Body::TeamLeaseAnswer:
      return Decode(*e.body_as_TeamLeaseAnswer());
    case Body::TeamLeaseReturn:
      return Decode(*e.body_as_TeamLeaseReturn());
    case Body::ReservePrefill:
      return Decode(*e.body_as_ReservePrefill());
    case Body::RenewHolds:
      return Decode(*e.body_as_RenewHolds());
    case Body::AttachAttempt:
      return Decode(*e.body_as_AttachAttempt());
    case Body::CallService:
      return Decode(*e.body_as_CallService());
    case Body::ReserveGranted:
      return Decode(*e.body_as_ReserveGranted());
    case Body::AttemptRefused:
      return Decode(*e.body_as_AttemptRefused());
    case Body::PrefillDone:
      return Decode(*e.body_as_PrefillDone());
    case Body::StreamChunk:
      return Decode(*e.body_as_StreamChunk());
    case Body::AttemptFailed:
      return Decode(*e.body_as_AttemptFailed());
    case Body::CallAnswered:
      return Decode(*e.body_as_CallAnswered());
    case Body::AttemptReleased:
      return Decode(*e.body_as_AttemptReleased());
    case Body::LoadReport:
      return Decode(*e.body_as_LoadReport());
    case Body::PoolRates:
      return Decode(*e.body_as_PoolRates());
    case Body::ConfigurationOffer:
      return Decode(*e.body_as_ConfigurationOffer());
    case Body::ConfigurationState:
      return Decode(*e.body_as_ConfigurationState());
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeMessages(std::span<const Message> messages) {
  Builder builder;
  std::vector<Offset<Envelope>> envelopes;
  envelopes.reserve(messages.size());
  for (const Message& message : messages) {
    Encoder encoder{builder};
    std::visit(encoder, message);
    envelopes.push_back(CreateEnvelope(builder, encoder.type, encoder.value));
  }
  builder.Finish(CreateFrame(builder, builder.CreateVector(envelopes)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

bool DecodeMessages(std::string_view payload, std::vector<Message>* messages) {
  constexpr size_t kMaxDepth = 8;
  constexpr size_t kMaxTables = 1'000'000;
  // FlatBuffers reads scalars in place, so the buffer has to be aligned.
  const std::vector<uint8_t> aligned(payload.begin(), payload.end());
  const uint8_t* bytes = aligned.data();
  flatbuffers::Verifier verifier(bytes, payload.size(), kMaxDepth, kMaxTables);
  if (!VerifyFrameBuffer(verifier)) return false;
  const Frame* frame = GetFrame(bytes);
  if (frame->messages() == nullptr) return true;
  std::vector<Message> decoded;
  decoded.reserve(frame->messages()->size());
  for (const Envelope* envelope : *frame->messages()) {
    // Of a newer process.
    if (envelope->body_type() > Body::MAX) continue;
    std::optional<Message> message = DecodeBody(*envelope);
    if (!message.has_value()) return false;
    decoded.push_back(*std::move(message));
  }
  std::move(decoded.begin(), decoded.end(), std::back_inserter(*messages));
  return true;
}

}  // namespace burdockhill::wire

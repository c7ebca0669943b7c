#ifndef BURDOCKHILL_SRC_BASE_ID_H_
#define BURDOCKHILL_SRC_BASE_ID_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace burdockhill {

// Numeric id. `Tag` makes ids of different kinds of objects distinct types that
// do not convert into each other. Zero is not a valid id.
template <typename Tag>
class NumericId {
 public:
  constexpr NumericId() = default;
  constexpr explicit NumericId(uint64_t value) : m_value(value) {}
  constexpr uint64_t Value() const { return m_value; }
  constexpr bool IsValid() const { return m_value != 0; }
  auto operator<=>(const NumericId&) const = default;

 private:
  uint64_t m_value = 0;
};

// Name used as an id, as operators write it. `Tag` makes names of different
// kinds of objects distinct types. The empty name is not valid.
template <typename Tag>
class NameId {
 public:
  NameId() = default;
  explicit NameId(std::string value) : m_value(std::move(value)) {}
  const std::string& Value() const { return m_value; }
  bool IsValid() const { return !m_value.empty(); }
  auto operator<=>(const NameId&) const = default;

 private:
  std::string m_value;
};

// A caller's request.
using RequestId = NumericId<struct RequestIdTag>;
// One run of a process; chosen at random when the process starts.
using Incarnation = NumericId<struct IncarnationTag>;
// Version of the operators' configuration as a whole; it only increases.
using Generation = NumericId<struct GenerationTag>;

using TeamName = NameId<struct TeamNameTag>;
using ServiceName = NameId<struct ServiceNameTag>;
using UpstreamName = NameId<struct UpstreamNameTag>;
using EngineName = NameId<struct EngineNameTag>;
using VmName = NameId<struct VmNameTag>;
using ZoneName = NameId<struct ZoneNameTag>;
using RegionName = NameId<struct RegionNameTag>;
// Version of the software of an upstream. Versions have no order. The empty one
// is unknown.
using SoftwareVersion = NameId<struct SoftwareVersionTag>;
// The route and the team of a stream, as one hash of 32 bits. Invalid where
// they are not known.
using StreamOwner = NumericId<struct StreamOwnerTag>;
// A part of a prompt that several prompts may begin with or contain.
using PromptPartName = NameId<struct PromptPartNameTag>;

// Whether both versions are known and the same.
inline bool AreSameVersion(const SoftwareVersion& one,
                           const SoftwareVersion& other) {
  return one.IsValid() && one == other;
}

// Identifies an attempt: work that an entry sends to one agent for a request (a
// decode reservation, a prefill or a call to a plain service). An id is never
// reused for another agent.
struct AttemptId {
  RequestId request;
  uint32_t number = 0;
  Incarnation entry;
  auto operator<=>(const AttemptId&) const = default;
};

// Formats a request id as callers and operators see it: "req-" and 16
// hexadecimal digits.
std::string FormatRequestId(RequestId id);

// Parses the output of FormatRequestId; returns nullopt for other text.
std::optional<RequestId> ParseRequestId(std::string_view text);

}  // namespace burdockhill

template <typename Tag>
struct std::hash<burdockhill::NumericId<Tag>> {
  size_t operator()(const burdockhill::NumericId<Tag>& id) const noexcept {
    return std::hash<uint64_t>()(id.Value());
  }
};

template <typename Tag>
struct std::hash<burdockhill::NameId<Tag>> {
  size_t operator()(const burdockhill::NameId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.Value());
  }
};

template <>
struct std::hash<burdockhill::AttemptId> {
  size_t operator()(const burdockhill::AttemptId& id) const noexcept {
    constexpr uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
    return (id.request.Value() * kMultiplier) ^ (id.number * kMultiplier) ^
           id.entry.Value();
  }
};

#endif  // BURDOCKHILL_SRC_BASE_ID_H_

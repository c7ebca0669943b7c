#include "burdockhill/src/resources/settings.h"

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/resources/field_reader.h"

namespace burdockhill {

namespace {

using internal::FieldReader;
using internal::Need;

constexpr size_t kMinPeerKeyBytes = 16;

void ReadAddress(FieldReader* reader, const char* name, std::string* target) {
  reader->Read(name, Need::kRequired, target);
  if (!target->empty() && !ParseAddress(*target).has_value()) {
    reader->Fail(name, "must be \"IP number:port\"");
  }
}

void ReadUpstream(FieldReader* reader, Settings* out) {
  reader->ReadObject("upstream", Need::kRequired, [&](FieldReader* upstream) {
    upstream->Read("name", Need::kRequired, &out->upstream);
    upstream->Read("service", Need::kRequired, &out->service);
    upstream->Read("plain", Need::kOptional, &out->plain);
    upstream->ReadObjects(
        "back_ends", Need::kRequired, [&](FieldReader* element) {
          BackEnd back_end;
          element->Read("name", Need::kRequired, &back_end.name);
          ReadAddress(element, "address", &back_end.address);
          out->back_ends.push_back(std::move(back_end));
        });
    if (out->back_ends.empty()) {
      upstream->Fail("back_ends", "must name at least one");
    }
    if (out->plain && out->back_ends.size() > 1) {
      upstream->Fail("back_ends", "must name one for a plain service");
    }
  });
}

}  // namespace

std::optional<Settings> ParseSettings(const std::string& text,
                                      FieldErrors* errors) {
  nlohmann::json document;
  if (!internal::ParseJson(text, &document, errors)) return std::nullopt;
  Settings out;
  FieldReader reader(document, "", errors);
  size_t role = 0;
  reader.Raw("role", Need::kRequired);
  reader.ReadChoice("role", Need::kOptional, {"entry", "agent"}, &role);
  out.role = static_cast<Role>(role);
  reader.Read("vm", Need::kRequired, &out.vm);
  reader.Read("zone", Need::kRequired, &out.zone);
  reader.Read("region", Need::kRequired, &out.region);
  ReadAddress(&reader, "platform", &out.platform);
  ReadAddress(&reader, "peers", &out.peers);
  ReadAddress(&reader, "operators", &out.operators);
  reader.Read("peer_key", Need::kRequired, &out.peer_key);
  if (out.peer_key.size() < kMinPeerKeyBytes) {
    reader.Fail("peer_key", "must have at least 16 characters");
  }
  reader.ReadMilliseconds("drain_limit_ms", Need::kOptional, &out.drain_limit);
  if (out.role == Role::kEntry) ReadAddress(&reader, "callers", &out.callers);
  if (out.role == Role::kAgent) ReadUpstream(&reader, &out);
  reader.RefuseUnknown();
  internal::AddLines(text, errors);
  if (!errors->empty()) return std::nullopt;
  return out;
}

}  // namespace burdockhill

#include "burdockhill/src/resources/settings.h"

#include "burdockhill/src/base/address.h"
#include "burdockhill/src/resources/field_reader.h"

namespace burdockhill {

namespace {

using internal::FieldReader;
using internal::Presence;

constexpr size_t kMinPeerKeyBytes = 16;

void ReadAddress(FieldReader* reader, const char* name, std::string* target) {
  reader->Read(name, Presence::kRequired, target);
  if (!target->empty() && !ParseAddress(*target).has_value()) {
    reader->AddError(name, "must be \"IP number:port\"");
  }
}

void ReadUpstream(FieldReader* reader, Settings* out) {
  reader->ReadObject(
      "upstream", Presence::kRequired, [&](FieldReader* upstream) {
        upstream->Read("name", Presence::kRequired, &out->upstream);
        upstream->Read("service", Presence::kRequired, &out->service);
        upstream->Read("plain", Presence::kOptional, &out->serves_plain);
        upstream->ReadObjects(
            "back_ends", Presence::kRequired, [&](FieldReader* element) {
              BackEnd back_end;
              element->Read("name", Presence::kRequired, &back_end.name);
              ReadAddress(element, "address", &back_end.address);
              out->back_ends.push_back(std::move(back_end));
            });
        if (out->back_ends.empty()) {
          upstream->AddError("back_ends", "must name at least one");
        }
        if (out->serves_plain && out->back_ends.size() > 1) {
          upstream->AddError("back_ends", "must name one for a plain service");
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
  reader.RawField("role", Presence::kRequired);
  reader.ReadChoice("role", Presence::kOptional, {"entry", "agent"}, &role);
  out.role = static_cast<Role>(role);
  reader.Read("vm", Presence::kRequired, &out.vm);
  reader.Read("zone", Presence::kRequired, &out.zone);
  reader.Read("region", Presence::kRequired, &out.region);
  ReadAddress(&reader, "platform", &out.platform);
  ReadAddress(&reader, "peers", &out.peers);
  ReadAddress(&reader, "operators", &out.operators);
  reader.Read("peer_key", Presence::kRequired, &out.peer_key);
  if (out.peer_key.size() < kMinPeerKeyBytes) {
    reader.AddError("peer_key", "must have at least 16 characters");
  }
  reader.ReadMilliseconds("drain_limit_ms", Presence::kOptional,
                          &out.drain_limit);
  if (out.role == Role::kEntry) ReadAddress(&reader, "callers", &out.callers);
  if (out.role == Role::kAgent) ReadUpstream(&reader, &out);
  reader.RejectUnknownFields();
  internal::AddLineNumbers(text, errors);
  if (!errors->empty()) return std::nullopt;
  return out;
}

}  // namespace burdockhill

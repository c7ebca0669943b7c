#include "burdockhill/src/base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace burdockhill {

std::optional<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  Address address;
  address.host = text.substr(0, colon);
  in_addr parsed;
  if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [stop, error] = std::from_chars(port.data(), end, address.port);
  if (error != std::errc() || stop != end || address.port == 0) {
    return std::nullopt;
  }
  return address;
}

}  // namespace burdockhill

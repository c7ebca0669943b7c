#ifndef BURDOCKHILL_SRC_BASE_ADDRESS_H_
#define BURDOCKHILL_SRC_BASE_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhill {

// An IPv4 address and a port, written "127.0.0.1:8080".
struct Address {
  std::string host;
  uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// Parses "host:port". Returns nullopt unless the host is an IPv4 address in
// dotted-decimal form (host names are not resolved) and the port is a number
// from 1 to 65535.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_ADDRESS_H_

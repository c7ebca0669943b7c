#ifndef BURDOCKHILL_SRC_BASE_ADDRESS_H_
#define BURDOCKHILL_SRC_BASE_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhill {

// An IPv4 number and a port, written "127.0.0.1:8080".
struct Address {
  std::string host;
  uint16_t port = 0;
};

// Reads "host:port"; nullopt unless both parts are there and the port is a
// number from 1 to 65535.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_BASE_ADDRESS_H_

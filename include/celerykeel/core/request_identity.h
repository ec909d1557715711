#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint64_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <tuple>        // for std::tie

namespace celerykeel {

/// @brief Identifies the copies of one request of a team: those with the same
/// method, path with query, and beginning of the body. A copy that is sent
/// later in a conversation may have a longer body. The hash is not
/// cryptographic, so only the team itself could produce requests with a
/// colliding identity.
struct RequestIdentity {
  std::string team;
  uint64_t hash_high = 0;
  uint64_t hash_low = 0;

  friend bool operator==(const RequestIdentity&,
                         const RequestIdentity&) = default;
  friend bool operator<(const RequestIdentity& a, const RequestIdentity& b) {
    return std::tie(a.hash_high, a.hash_low, a.team) <
           std::tie(b.hash_high, b.hash_low, b.team);
  }
};

/// @brief Bytes of the body that count.
inline constexpr size_t kIdentityBodyBytes = 256;

/// @param target path with query.
RequestIdentity IdentityOf(std::string_view team,
                           std::string_view method,
                           std::string_view target,
                           std::string_view body);

/// @brief Returns the hash as 32 hexadecimal digits.
std::string HashText(const RequestIdentity& identity);

}  // namespace celerykeel

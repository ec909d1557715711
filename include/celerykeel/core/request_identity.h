#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint64_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <tuple>        // for std::tie

namespace celerykeel {

/// @brief Identifies a request of a team by method, path with query and body,
/// and the group of those whose bodies begin alike. The hashes are not
/// cryptographic, so only the team itself could produce requests with colliding
/// identities.
struct RequestIdentity {
  std::string team;
  uint64_t hash_high = 0;
  uint64_t hash_low = 0;
  // Of the group; equal to the hash if only the group is known. Does not count
  // in comparisons.
  uint64_t group_high = 0;
  uint64_t group_low = 0;

  friend bool operator==(const RequestIdentity& a, const RequestIdentity& b) {
    return a.hash_high == b.hash_high && a.hash_low == b.hash_low &&
           a.team == b.team;
  }
  friend bool operator<(const RequestIdentity& a, const RequestIdentity& b) {
    return std::tie(a.hash_high, a.hash_low, a.team) <
           std::tie(b.hash_high, b.hash_low, b.team);
  }
};

/// @brief Bytes of the body that count for the group.
inline constexpr size_t kGroupBodyBytes = 256;

/// @brief Returns the identity of the request's group.
RequestIdentity GroupOf(const RequestIdentity& identity);

/// @param target path with query.
RequestIdentity IdentityOf(std::string_view team,
                           std::string_view method,
                           std::string_view target,
                           std::string_view body);

/// @brief Returns the hash, without that of the group, as 32 hexadecimal
/// digits.
std::string HashText(const RequestIdentity& identity);

}  // namespace celerykeel

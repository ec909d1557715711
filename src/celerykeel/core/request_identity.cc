#include "celerykeel/core/request_identity.h"

#include <xxhash.h>  // for XXH3_128bits_withSeed

#include <array>   // for std::array
#include <cstdio>  // for std::snprintf

namespace celerykeel {

RequestIdentity GroupOf(const RequestIdentity& identity) {
  return {.team = identity.team,
          .hash_high = identity.group_high,
          .hash_low = identity.group_low,
          .group_high = identity.group_high,
          .group_low = identity.group_low};
}

RequestIdentity IdentityOf(std::string_view team,
                           std::string_view method,
                           std::string_view target,
                           std::string_view body) {
  // The head has its own hash, which separates it from the body.
  std::string head(method);
  head += ' ';
  head += target;
  const uint64_t seed = XXH3_64bits(head.data(), head.size());
  const std::string_view begin = body.substr(0, kGroupBodyBytes);
  const XXH128_hash_t group =
      XXH3_128bits_withSeed(begin.data(), begin.size(), seed);
  // Another seed, as a short body is no other's group.
  const XXH128_hash_t whole =
      XXH3_128bits_withSeed(body.data(), body.size(), ~seed);
  return {.team = std::string(team),
          .hash_high = whole.high64,
          .hash_low = whole.low64,
          .group_high = group.high64,
          .group_low = group.low64};
}

std::string HashText(const RequestIdentity& identity) {
  constexpr size_t kDigits = 32;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(identity.hash_high),
                static_cast<unsigned long long>(identity.hash_low));
  return {text.data(), kDigits};
}

}  // namespace celerykeel

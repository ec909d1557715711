#include "celerykeel/core/request_identity.h"

#include <xxhash.h>  // for XXH3_128bits_withSeed

#include <array>   // for std::array
#include <cstdio>  // for std::snprintf

namespace celerykeel {

RequestIdentity IdentityOf(std::string_view team,
                           std::string_view method,
                           std::string_view target,
                           std::string_view body) {
  // The head has its own hash, which separates it from the body.
  std::string head(method);
  head += ' ';
  head += target;
  const std::string_view begin = body.substr(0, kIdentityBodyBytes);
  const XXH128_hash_t hash = XXH3_128bits_withSeed(
      begin.data(), begin.size(), XXH3_64bits(head.data(), head.size()));
  return {.team = std::string(team),
          .hash_high = hash.high64,
          .hash_low = hash.low64};
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

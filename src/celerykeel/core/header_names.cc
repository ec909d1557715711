#include "celerykeel/core/header_names.h"

#include <algorithm>  // for std::any_of, std::equal
#include <array>      // for std::array

namespace celerykeel {

namespace {

constexpr std::array<std::string_view, 8> kHopByHop = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

// Unlike std::tolower, independent of the locale. Header names are ASCII.
char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool IsSameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](std::string_view one) { return IsSameHeaderName(one, name); });
}

}  // namespace celerykeel

#include "celerykeel/gate/route_match.h"

#include <algorithm>  // for std::any_of
#include <cctype>     // for std::tolower
#include <tuple>      // for std::tuple

namespace celerykeel {

namespace {

constexpr char kFirstPrintable = 0x21;
constexpr char kLastPrintable = 0x7e;

std::string Lower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return lower;
}

bool IsDotPart(std::string_view part) {
  return part == "." || part == ".." || part.starts_with(".;") ||
         part.starts_with("..;");
}

// Whole parts: "/pay" covers "/pay/7" and not "/payouts".
bool Covers(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.empty() || prefix.back() == '/' ||
         path.size() == prefix.size() || path[prefix.size()] == '/';
}

}  // namespace

bool IsAmbiguousPath(std::string_view path) {
  const std::string lower = Lower(path);
  for (const std::string_view encoded : {"%2f", "%5c", "%2e", "%25", "%00"}) {
    if (lower.find(encoded) != std::string::npos) {
      return true;
    }
  }
  if (std::any_of(path.begin(), path.end(), [](char c) {
        return c < kFirstPrintable || c > kLastPrintable || c == '\\' ||
               c == '#';
      })) {
    return true;
  }
  if (!path.starts_with('/')) {
    return true;
  }
  while (!path.empty()) {
    path.remove_prefix(1);
    const size_t slash = path.find('/');
    const std::string_view part = path.substr(0, slash);
    if (IsDotPart(part) || (part.empty() && slash != std::string_view::npos)) {
      return true;
    }
    path = slash == std::string_view::npos ? "" : path.substr(slash);
  }
  return false;
}

const Route* FindRoute(const Configuration& in_force,
                       std::string_view service,
                       std::string_view method,
                       std::string_view path) {
  const Route* best = nullptr;
  const auto rank = [](const Route& route) {
    return std::tuple(route.path_prefix.size(), !route.method.empty());
  };
  for (const auto& [id, route] : in_force.routes) {
    if (route.service != service || !Covers(route.path_prefix, path) ||
        (!route.method.empty() && route.method != method)) {
      continue;
    }
    if (best == nullptr || rank(route) > rank(*best)) {
      best = &route;
    }
  }
  return best;
}

}  // namespace celerykeel

#include "celerykeel/core/cache_audit.h"

#include <xxhash.h>  // for XXH3_128bits

#include <array>     // for std::array
#include <charconv>  // for std::from_chars
#include <cstdio>    // for std::snprintf
#include <utility>   // for std::move

#include "celerykeel/core/rendezvous.h"  // for SlotOf

namespace celerykeel {

namespace {

constexpr size_t kSlotDigits = 3;  // hex
constexpr size_t kCacheNameLength = kSlotDigits + 1 + 32;

}  // namespace

std::string CacheName(const ProgramName& program) {
  const std::string text = program.team + '\n' + program.id;
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, kCacheNameLength + 1> name{};
  std::snprintf(name.data(), name.size(), "%03x-%016llx%016llx",
                SlotOf(program), static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return name.data();
}

std::optional<uint32_t> SlotOfCacheName(std::string_view name) {
  uint32_t slot = 0;
  const char* const end = name.data() + kSlotDigits;
  if (name.size() != kCacheNameLength || name[kSlotDigits] != '-') {
    return std::nullopt;
  }
  if (const auto [stop, error] = std::from_chars(name.data(), end, slot, 16);
      error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return slot;
}

std::vector<std::string> ProcessHoldings(
    CacheAudit& audit,
    const std::string& endpoint,
    std::span<const std::string> names,
    const std::function<bool(const std::string&)>& is_unwanted) {
  const std::set<std::string> before = std::move(audit.suspects[endpoint]);
  std::set<std::string> suspects;
  std::vector<std::string> released;
  for (const std::string& name : names) {
    if (!is_unwanted(name)) {
      continue;
    }
    suspects.insert(name);
    if (before.contains(name)) {
      released.push_back(name);
    }
  }
  audit.suspects[endpoint] = std::move(suspects);
  return released;
}

}  // namespace celerykeel

#pragma once

#include <functional>   // for std::function
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <set>          // for std::set
#include <span>         // for std::span
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/identity.h"  // for ProgramName

namespace celerykeel {

/// @brief The name under which an engine caches for a program: the slot, which
/// tells who answers for it, and a hash that shows neither team nor program.
///
///     CacheName({"coop", "trip"});  // "a3f-5d0c..."
std::string CacheName(const ProgramName& program);

/// @brief The slot in a cache name; nothing if the name is not ours.
std::optional<uint32_t> SlotOfCacheName(std::string_view name);

/// @brief Compares what engines hold with the programs that live, so that what
/// an owner could not release before it died is released by its successor.
struct CacheAudit {
  std::map<std::string, std::set<std::string>> suspects;  // by endpoint
};

/// @brief Takes an endpoint's list of what it holds.
/// @param is_unwanted true for names that this process answers for and that no
/// live program has.
/// @return names to release: unwanted in this list and the one before, since a
/// list may be older than a program's first call.
std::vector<std::string> TakeHoldings(
    CacheAudit& audit,
    const std::string& endpoint,
    std::span<const std::string> names,
    const std::function<bool(const std::string&)>& is_unwanted);

}  // namespace celerykeel

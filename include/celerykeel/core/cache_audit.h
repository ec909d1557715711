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

/// @brief Returns the name under which an engine caches for a program. It
/// consists of the slot, which determines the responsible process, and a hash
/// that reveals neither team nor program.
///
///     CacheName({"coop", "trip"});  // "a3f-5d0c..."
std::string CacheName(const ProgramName& program);

/// @brief Returns the slot in a cache name, or an empty optional if the name
/// does not have the format of CacheName().
std::optional<uint32_t> SlotOfCacheName(std::string_view name);

/// @brief Compares the names that engines hold with the live programs. An owner
/// that died may have left names unreleased; its successor finds and releases
/// them.
struct CacheAudit {
  std::map<std::string, std::set<std::string>> suspects;  // by endpoint
};

/// @brief Processes an endpoint's list of the names that it holds.
/// @param is_unwanted returns true for names that this process is responsible
/// for and that belong to no live program.
/// @return names to release: those unwanted both in this list and in the
/// endpoint's previous one, because a list may be older than a program's first
/// call.
std::vector<std::string> ProcessHoldings(
    CacheAudit& audit,
    const std::string& endpoint,
    std::span<const std::string> names,
    const std::function<bool(const std::string&)>& is_unwanted);

}  // namespace celerykeel

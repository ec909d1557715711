#pragma once

#include <cstdint>      // for uint64_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <tuple>        // for std::tie

namespace celerykeel {

/// @brief Position of a record in a log stream, starting at 1.
using Offset = uint64_t;

/// @brief Random number that identifies one run of an instance; 0 means none.
using Incarnation = uint64_t;

/// @brief Fencing token: the offset of the instance's Join record.
using Fence = uint64_t;

/// @brief Number of a change ticket.
using TicketNumber = uint64_t;

/// @brief Identifies a program. Ids are scoped to a team: the same id in two
/// teams names two programs. A sub-agent's id is `<root>/<name>`.
struct ProgramName {
  std::string team;
  std::string id;

  friend bool operator==(const ProgramName&, const ProgramName&) = default;
  friend bool operator<(const ProgramName& a, const ProgramName& b) {
    return std::tie(a.team, a.id) < std::tie(b.team, b.id);
  }
};

/// @brief Returns the part of a program id before the first '/'.
///
///     RootOf("trip-7/hotel/price");  // "trip-7"
std::string_view RootOf(std::string_view program_id);

/// @brief Returns the full id of a sub-agent. An id that does not start with
/// the parent's root is prefixed with it. Returns `id` unchanged if `parent` is
/// empty.
///
///     CanonicalProgramId("hotel", "trip-7");         // "trip-7/hotel"
///     CanonicalProgramId("trip-7/hotel", "trip-7");  // "trip-7/hotel"
std::string CanonicalProgramId(std::string_view id, std::string_view parent);

}  // namespace celerykeel

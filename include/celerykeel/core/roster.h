#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <variant>      // for std::variant

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/fleet_state.h"  // for FleetState, Join, Evict
#include "celerykeel/core/identity.h"     // for Incarnation, Offset

namespace celerykeel {

/// @brief Max number of departed members (left or evicted) that are retained.
/// Their entries are needed to find their journals.
inline constexpr size_t kMaxDepartedMembers = 1000;

/// @brief The record duplicates an earlier one, for example after a retried
/// append.
struct AlreadyJoined {
  Offset at = 0;
};

/// @brief The incarnation has departed and cannot join again.
struct AlreadyDeparted {
  Offset at = 0;
};

/// @brief The record names an incarnation that is not a member.
struct NotAMember {
  Incarnation incarnation = 0;
};

/// @brief The Join has no incarnation or no instance name.
struct UnnamedJoin {};

/// @brief The Join would replace a member of another instance.
struct ReplacesOtherInstance {
  std::string instance;
};

/// @brief Too few witnesses voted for the eviction.
struct TooFewVotes {
  size_t words = 0;
  size_t wanted = 0;
};

/// @brief A change of the member's witnesses with the same or a higher number
/// is in force, or the new change names no witnesses.
struct StaleWitnessChange {
  uint64_t in_force = 0;
};

using RosterRefusal = std::variant<AlreadyJoined,
                                   AlreadyDeparted,
                                   NotAMember,
                                   UnnamedJoin,
                                   ReplacesOtherInstance,
                                   TooFewVotes,
                                   StaleWitnessChange>;

/// @brief Returns true if the member has no witness but itself. The log takes
/// the place of a second witness: such a member acts only while it can read the
/// log, and any other member may vote for its eviction.
bool IsLone(const Join& member);

/// @brief Returns true if `instance` may vote for the eviction of `member`.
bool MayVoteToEvict(const Join& member, std::string_view instance);

/// @brief Returns the number of votes that an eviction needs: a majority of the
/// witness names.
size_t VotesNeeded(const Join& evicted);

/// @brief Counts the instances whose current incarnation is among `words` and
/// that may vote for the eviction of `member`.
size_t CountVotes(const FleetState& state,
                  const Member& member,
                  const std::vector<Incarnation>& words);

/// @brief Applies one record to the roster, or refuses it without any change.
/// The same holds for the next three functions.
tl::expected<void, RosterRefusal> ApplyJoin(FleetState& state,
                                            Offset offset,
                                            const Join& join);
tl::expected<void, RosterRefusal> ApplyLeave(FleetState& state,
                                             Offset offset,
                                             const Leave& leave);
tl::expected<void, RosterRefusal> ApplyWitnessChange(
    FleetState& state,
    const WitnessChange& change);
tl::expected<void, RosterRefusal> ApplyEvict(FleetState& state,
                                             Offset offset,
                                             const Evict& evict);

/// @brief Returns a human-readable reason.
std::string RenderRefusal(const RosterRefusal& refusal);

/// @brief Formats an incarnation as 16 hex digits.
std::string FormatIncarnation(Incarnation incarnation);

}  // namespace celerykeel

#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <variant>      // for std::variant

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/fleet_state.h"  // for FleetState, Join, Evict
#include "celerykeel/core/identity.h"     // for Incarnation, Offset

namespace celerykeel {

/// @brief Members that left or were evicted are kept until this many others
/// have departed, so that their journals can be found.
inline constexpr size_t kDepartedKept = 1000;

/// @brief The record repeats an earlier one, as a retried append does.
struct AlreadyJoined {
  Offset at = 0;
};

/// @brief The incarnation has left, and joins no more.
struct AlreadyDeparted {
  Offset at = 0;
};

/// @brief The record names an incarnation that is no member.
struct NotAMember {
  Incarnation incarnation = 0;
};

/// @brief The Join gives no incarnation or no instance name.
struct NamelessJoin {};

/// @brief The Join would replace a member of another instance.
struct ReplacesOther {
  std::string instance;
};

/// @brief Too few of the witnesses gave their word.
struct TooFewWords {
  size_t words = 0;
  size_t wanted = 0;
};

/// @brief A later change of the member's witnesses is in force.
struct OldWitnessChange {
  uint64_t in_force = 0;
};

using RosterRefusal = std::variant<AlreadyJoined,
                                   AlreadyDeparted,
                                   NotAMember,
                                   NamelessJoin,
                                   ReplacesOther,
                                   TooFewWords,
                                   OldWitnessChange>;

/// @brief True if the member has no witness but itself. The log stands in for
/// one: such a member acts only while it reads the log, and any other member
/// may give its word for an eviction.
bool IsLone(const Join& member);

/// @brief True if `instance` may give its word that `member` be evicted.
bool MayGiveWord(const Join& member, std::string_view instance);

/// @brief Words that an eviction needs: most of the witness names.
size_t WordsNeeded(const Join& evicted);

/// @brief Witnesses of `member` whose current incarnation is among `words`.
size_t CountWords(const FleetState& state,
                  const Member& member,
                  const std::vector<Incarnation>& words);

/// @brief Each applies one record to the roster, or changes nothing.
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

/// @brief A sentence for a person.
std::string RenderRefusal(const RosterRefusal& refusal);

/// @brief An incarnation as it is printed: 16 hex digits.
std::string IncarnationText(Incarnation incarnation);

}  // namespace celerykeel

#pragma once

#include <map>     // for std::map
#include <set>     // for std::set
#include <vector>  // for std::vector

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/identity.h"     // for Incarnation
#include "celerykeel/core/time.h"         // for Duration

namespace celerykeel {

/// @brief What one process did as a witness of others. It lasts as long as the
/// process, over all incarnations that it joins with.
struct Witness {
  Duration listening_since{};             // the start, or the end of a pause
  std::map<Incarnation, Duration> heard;  // newest heartbeat
  std::set<Incarnation> words;            // gave its word for their eviction
};

/// @brief Starts to listen anew: at the start, and after a pause in which
/// heartbeats could not be taken.
void Listen(Witness& witness, Duration now);

/// @brief Answers a heartbeat.
/// @return true if the witness vouches. It does not once it gave its word, for
/// one that is no member, or while it is no member itself (`self`).
bool Vouches(Witness& witness,
             const FleetState& state,
             Incarnation self,
             Incarnation holder,
             Duration now);

/// @brief Asks the witness for its word that `subject` may be evicted.
/// @return true if it gives its word: it is one of the subject's witnesses and
/// heard nothing of it for `silence`. From then on it never vouches for it.
bool GivesWord(Witness& witness,
               const FleetState& state,
               Incarnation self,
               Incarnation subject,
               Duration silence,
               Duration now);

/// @brief Members that this witness heard nothing of for `silence`.
std::vector<Incarnation> Suspects(const Witness& witness,
                                  const FleetState& state,
                                  Incarnation self,
                                  Duration silence,
                                  Duration now);

/// @brief Counts the silence of new members from `now`: a lone member may not
/// know of this witness yet.
void NoteMembers(Witness& witness, const FleetState& state, Duration now);

/// @brief Forgets incarnations that are no longer members.
void ForgetDeparted(Witness& witness, const FleetState& state);

}  // namespace celerykeel

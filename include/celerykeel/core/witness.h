#pragma once

#include <map>     // for std::map
#include <set>     // for std::set
#include <vector>  // for std::vector

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/identity.h"     // for Incarnation
#include "celerykeel/core/time.h"         // for Duration

namespace celerykeel {

/// @brief State of one process as a witness of others. It lives as long as the
/// process, across all incarnations under which the process joins.
struct Witness {
  Duration listening_since{};             // process start, or end of a pause
  std::map<Incarnation, Duration> heard;  // time of the newest heartbeat
  std::set<Incarnation> words;            // members it voted to evict
};

/// @brief Restarts the measurement of silence. Called at process start and
/// after a pause in which heartbeats could not be received.
void Listen(Witness& witness, Duration now);

/// @brief Answers a heartbeat of `holder`. Its silence is measured from `now`
/// if the witness vouches.
/// @return true if the witness vouches. It refuses if it has voted to evict the
/// holder, if the holder is not a member, or while it is not a member itself
/// (`self`).
bool AnswerHeartbeat(Witness& witness,
                     const FleetState& state,
                     Incarnation self,
                     Incarnation holder,
                     Duration now);

/// @brief Asks the witness to vote for the eviction of `subject`.
/// @return true if it votes: it may vote on the subject (MayVoteToEvict) and
/// has received no heartbeat from it for `silence`. After its vote the witness
/// never vouches for the subject again.
bool VoteToEvict(Witness& witness,
                 const FleetState& state,
                 Incarnation self,
                 Incarnation subject,
                 Duration silence,
                 Duration now);

/// @brief Returns the members on which this witness may vote and from which it
/// has received no heartbeat for `silence`.
std::vector<Incarnation> SuspectedMembers(const Witness& witness,
                                          const FleetState& state,
                                          Incarnation self,
                                          Duration silence,
                                          Duration now);

/// @brief Starts to measure the silence of new members at `now`, rather than at
/// `listening_since`. A lone member may not know this witness yet.
void RecordMembers(Witness& witness, const FleetState& state, Duration now);

/// @brief Removes the state of incarnations that are no longer members.
void RemoveDeparted(Witness& witness, const FleetState& state);

}  // namespace celerykeel

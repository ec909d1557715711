#pragma once

#include <string>  // for std::string

#include "celerykeel/core/deployment.h"  // for DeployedTeam
#include "celerykeel/core/rate_home.h"   // for RequestedLoan, RateShare
#include "celerykeel/core/team_queue.h"  // for TeamCall
#include "celerykeel/node.pb.h"          // for pb::RateWish
#include "celerykeel/node/asio.h"        // for Task
#include "celerykeel/node/slot_host.h"   // for HeldSlotPtr

namespace celerykeel {

struct Node;

inline RateShare RateShareOf(const std::string& team) {
  return {team, 0};
}

/// @brief Returns the slot whose holder is the home of a team's rate.
uint32_t HomeSlot(const Node& node, const std::string& team);

/// @brief Finds a team by name; null if the configuration in force does not
/// contain it.
const DeployedTeam* FindTeam(const Node& node, const std::string& name);

/// @brief What a loan request tells about the team's calls.
struct ProgramsUpdate {
  TeamCall call;       // that needs a token, if the request is for one
  uint32_t begun = 0;  // programs begun without asking the home
};

/// @brief Answers a loan request of a peer or of this instance.
/// @param slot the team's home slot, held here.
Task<pb::RateGrant> LendAsHome(Node& node,
                               HeldSlotPtr slot,
                               RequestedLoan requested,
                               ProgramsUpdate programs);

/// @brief After a takeover of the slot, lowers the durable reserves of its
/// teams to half of the tokens that the previous home left, all in one append.
/// The other half can then be lent without a write for each team, while the
/// calls that waited for the home arrive together.
void LowerInheritedReserves(Node& node, const HeldSlotPtr& slot);

/// @brief As the home, returns whether the program may be in progress: it is,
/// or this instance has not been the home for long enough to know.
bool MayBeInProgressAtHome(Node& node,
                           const HeldSlot& slot,
                           const std::string& name,
                           uint64_t program);

/// @brief Answers a loan request of a peer, with `not_home` if this instance is
/// not the home.
Task<pb::RateGrant> LendToPeer(Node& node, pb::RateWish requested);

/// @brief Records programs that an instance reports to this home.
void ApplyProgramsBegun(Node& node, const pb::ProgramsBegun& begun);

/// @brief Applies a borrower's report on the use of loans given here.
void ApplyLoanReports(Node& node, const pb::RateNews& news);

/// @brief Writes new records of the tokens that homes on this instance reserve
/// for their successors, for teams with recent loan requests whose durable
/// record has drifted from the level of the bucket.
void RewriteDriftedReserves(Node& node);

}  // namespace celerykeel

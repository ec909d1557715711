#pragma once

#include <string>  // for std::string

#include "celerykeel/core/deployment.h"  // for DeployedTeam
#include "celerykeel/core/rate_home.h"   // for LoanWish, RateShare
#include "celerykeel/node.pb.h"          // for pb::RateWish
#include "celerykeel/node/asio.h"        // for Task
#include "celerykeel/node/slot_host.h"   // for HeldSlotPtr

namespace celerykeel {

struct Node;

inline RateShare ShareOf(const std::string& team) {
  return {team, 0};
}

/// @brief The slot whose holder is the home of a team's rate.
uint32_t HomeSlot(const Node& node, const std::string& team);

/// @brief Null if the configuration in force doesn't name the team.
const DeployedTeam* TeamNamed(const Node& node, const std::string& name);

/// @brief What a wish says of its team's programs.
struct ProgramNews {
  bool newcomer = false;  // the wish is for the first request of a program
  Duration time_left{};   // of that program
  uint32_t begun = 0;     // programs that began without asking
};

/// @brief Decides on a wish of any instance, this one among them.
/// @param slot the team's home slot, held here.
Task<pb::RateGrant> LendAsHome(Node& node,
                               HeldSlotPtr slot,
                               LoanWish wish,
                               ProgramNews programs);

/// @brief The same for a peer; its answer says so if the home is elsewhere.
Task<pb::RateGrant> LendToPeer(Node& node, pb::RateWish wish);

/// @brief Notes what became of loans given here.
void TakeRateNews(Node& node, const pb::RateNews& news);

/// @brief Writes anew what the homes here leave for their successors.
void KeepRates(Node& node);

}  // namespace celerykeel

#pragma once

#include <string>  // for std::string

#include "celerykeel/core/rate_home.h"   // for RequestedLoan
#include "celerykeel/core/team_queue.h"  // for QueuedCall
#include "celerykeel/node/asio.h"        // for Task

namespace celerykeel {

struct Node;

/// @brief As the home of a team's rate, recalls tokens that other instances
/// hold ahead of their requests, if these make up for what a request lacks.
/// @param level that the request needs at the home.
/// @return true once the level is reached; false if it is not in time.
Task<bool> RecallTokens(Node& node,
                        RequestedLoan requested,
                        RateLimits limits,
                        double level);

/// @brief Counts a refusal by the home of a team's rate, and logs at most one
/// line a second and team.
/// @param held_back the call was not admitted; otherwise it lacked a token.
void RecordRefusal(Node& node,
                   const std::string& team,
                   const QueuedCall& queued,
                   Duration told,
                   bool held_back);

/// @brief Counts a call that was served when it returned as it was told.
void RecordReturn(Node& node,
                  const std::string& team,
                  const QueuedCall& queued);

}  // namespace celerykeel

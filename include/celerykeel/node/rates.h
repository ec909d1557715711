#pragma once

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/deployment.h"  // for DeployedTeam
#include "celerykeel/node/asio.h"        // for Task

namespace celerykeel {

struct Node;

/// @brief Takes one request out of a team's rate, or says when to come back.
/// @param program that the request is part of; empty if of none.
/// @param may_begin it may be the first of its program.
Task<tl::expected<void, Duration>> TakeFromRate(Node& node,
                                                DeployedTeam team,
                                                std::string program,
                                                bool may_begin);

/// @brief Forgets programs that were not served of late.
void ForgetPrograms(Node& node);

/// @brief Tells homes what became of their loans, so that they may lend again.
void ReportLoans(Node& node);

}  // namespace celerykeel

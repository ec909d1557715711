#pragma once

#include <optional>  // for std::optional
#include <string>    // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/deployment.h"     // for DeployedTeam
#include "celerykeel/core/rate_borrower.h"  // for ReservedToken
#include "celerykeel/node/asio.h"           // for Task

namespace celerykeel {

struct Node;

/// @brief One request's part of its team's rate.
struct RateTicket {
  std::string team;
  std::optional<ReservedToken> token;  // of a loan
  bool without_home = false;           // of what passes while no home answers
};

/// @brief Sets one request of a team's rate aside, or says when to come back.
/// What is set aside ends with UseTicket or ReturnTicket.
/// @param program that the request is part of; empty if of none.
/// @param may_begin it may be the first of its program.
Task<tl::expected<RateTicket, Duration>> TakeFromRate(Node& node,
                                                      DeployedTeam team,
                                                      std::string program,
                                                      bool may_begin);

/// @brief The request ran, or may have run.
void UseTicket(Node& node, const RateTicket& ticket);

/// @brief No endpoint ran the request, so its team may send another one.
void ReturnTicket(Node& node, const RateTicket& ticket);

/// @brief Forgets programs that were not served of late.
void ForgetPrograms(Node& node);

/// @brief Tells homes what became of their loans, so that they may lend again.
void ReportLoans(Node& node);

}  // namespace celerykeel

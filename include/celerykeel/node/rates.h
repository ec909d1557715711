#pragma once

#include <optional>  // for std::optional
#include <string>    // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/deployment.h"     // for DeployedTeam
#include "celerykeel/core/rate_borrower.h"  // for ReservedToken
#include "celerykeel/core/time.h"           // for Duration
#include "celerykeel/node/asio.h"           // for Task

namespace celerykeel {

struct Node;

/// @brief Whether a request begins its program.
struct ProgramStart {
  bool may_begin = false;  // nothing says that it goes on
  Duration time_left{};    // until the program should be finished
};

/// @brief One request's part of its team's rate.
struct RatePermit {
  std::string team;
  std::optional<ReservedToken> token;  // of a loan
  bool without_home = false;           // of what passes while no home answers
};

/// @brief Sets one request of a team's rate aside, or says when to come back.
/// What is set aside ends with UsePermit or ReturnPermit.
/// @param program that the request is part of; empty if of none.
Task<tl::expected<RatePermit, Duration>> TakeFromRate(Node& node,
                                                      DeployedTeam team,
                                                      std::string program,
                                                      ProgramStart start);

/// @brief The permit, or another one if it has expired while the call waited or
/// this process was paused.
Task<tl::expected<RatePermit, Duration>> RenewPermit(Node& node,
                                                     DeployedTeam team,
                                                     std::string program,
                                                     RatePermit permit);

/// @brief The request ran, or may have run.
void UsePermit(Node& node, const RatePermit& permit);

/// @brief No endpoint ran the request, so its team may send another one.
void ReturnPermit(Node& node, const RatePermit& permit);

/// @brief Forgets programs that were not served of late.
void ForgetPrograms(Node& node);

/// @brief Tells homes what became of their loans, so that they may lend again.
void ReportLoans(Node& node);

}  // namespace celerykeel

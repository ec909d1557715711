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

/// @brief Information on whether a request begins its program.
struct ProgramStart {
  bool may_begin = false;  // no sign of an earlier request
  Duration time_left{};    // until the program should finish
  uint64_t caller = 0;     // the same for the request and its retry
  Duration max_wait{};     // that the caller can wait before a retry
};

/// @brief Permission for one request from its team's rate.
struct RatePermit {
  std::string team;
  std::optional<ReservedToken> token;  // from a loan
  bool without_home = false;           // admitted while no home answers
};

/// @brief Reserves one request of a team's rate. The reservation ends with
/// UsePermit or ReturnPermit.
/// @param program that the request is part of; empty if there is none.
/// @return the permit, which is empty if the team's rate is unlimited, or the
/// time after which to retry.
Task<tl::expected<RatePermit, Duration>> ReserveFromRate(Node& node,
                                                         DeployedTeam team,
                                                         std::string program,
                                                         ProgramStart start);

/// @brief Returns the permit if it is still reserved; otherwise reserves
/// another one. Reservations expire during a long wait of the call or a pause
/// of the process.
Task<tl::expected<RatePermit, Duration>> RenewPermit(Node& node,
                                                     DeployedTeam team,
                                                     std::string program,
                                                     RatePermit permit);

/// @brief Asks the home of the team's rate whether a program is in progress.
/// @param program see HashOfProgram.
/// @return true also if the home can't tell.
Task<bool> MayBeInProgress(Node& node, std::string team, uint64_t program);

/// @brief Spends the permit of a request that ran or may have run.
void UsePermit(Node& node, const RatePermit& permit);

/// @brief Returns the permit of a request that no endpoint ran.
void ReturnPermit(Node& node, const RatePermit& permit);

/// @brief Returns the tokens of a team that no request has reserved to its
/// home, which can then lend them to other instances.
void ReturnTokens(Node& node, const std::string& team);

/// @brief Reports the use of loans to their homes, which can then lend returned
/// tokens again.
void ReportLoans(Node& node);

}  // namespace celerykeel

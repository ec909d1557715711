#pragma once

#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/core/token_bucket.h"  // for RateLimits

namespace celerykeel {

/// @brief Decides whether a team that asks for more than its rate may begin
/// another program. A program is of use only if all its requests are served,
/// so those under way come first.
struct NewcomerGate {
  double committed = 0;     // tokens that programs under way still need
  double per_program = 12;  // tokens that a program needs, on average
  Duration updated_at{};
  bool used = false;
};

/// @brief Tokens went to requests of the team.
void NoteTokensUsed(NewcomerGate& gate, double tokens, Duration now);

/// @brief True if the tokens at hand and those of the next moments cover what
/// programs under way need, and one program more; it then counts as begun.
/// @param at_hand tokens that may be lent now.
bool AdmitNewcomer(NewcomerGate& gate,
                   double at_hand,
                   const RateLimits& limits,
                   Duration now);

/// @brief True if a team is so far below its burst that newcomers must ask.
bool IsScarce(double at_hand, const RateLimits& limits);

}  // namespace celerykeel

#pragma once

#include <cstdint>  // for uint32_t

#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/core/token_bucket.h"  // for RateLimits

namespace celerykeel {

/// @brief Decides whether a team that asks for more than its rate may begin
/// another program. A program is of use only if all its requests are served,
/// so those under way come first; but tokens that none of them will ask for
/// must not lie idle.
struct NewcomerGate {
  double committed = 0;     // tokens that programs under way still need
  double per_program = 12;  // tokens that a program needs, on average
  double life_s = 2;        // seconds that a program takes, on average
  Duration updated_at{};
  bool is_used = false;
};

/// @brief Tokens went to requests of the team.
void NoteTokensUsed(NewcomerGate& gate, double tokens, Duration now);

/// @brief Programs began without asking, as the team was not short of tokens.
void NoteBegun(NewcomerGate& gate, uint32_t programs, Duration now);

/// @brief True if the tokens at hand, and those that come in while an average
/// program lasts, cover what programs under way need and one program more; it
/// then counts as begun.
/// @param at_hand tokens that may be lent now.
/// @param time_left until the program should be finished; zero: not known.
bool AdmitNewcomer(NewcomerGate& gate,
                   double at_hand,
                   const RateLimits& limits,
                   Duration time_left,
                   Duration now);

/// @brief True if a team is so far below its burst that newcomers must ask.
bool IsScarce(double at_hand, const RateLimits& limits);

}  // namespace celerykeel

#pragma once

#include <cstdint>  // for uint32_t

#include "celerykeel/core/time.h"          // for Duration
#include "celerykeel/core/token_bucket.h"  // for RateLimits

namespace celerykeel {

/// @brief Decides whether a team that exceeds its rate may start another
/// program. A program is useful only if all its requests are served, so running
/// programs have priority; tokens that they will not need must not stay unused.
struct ProgramAdmission {
  double committed = 0;            // tokens that running programs still need
  double tokens_per_program = 12;  // average tokens that a program needs
  double average_duration_s = 2;   // average seconds that a program takes
  Duration updated_at{};
  bool is_initialized = false;
};

/// @brief Records tokens spent on requests of the team.
void RecordTokensUsed(ProgramAdmission& gate, double tokens, Duration now);

/// @brief Records programs that started without a check, because the team was
/// not short of tokens.
void RecordProgramsStarted(ProgramAdmission& gate,
                           uint32_t programs,
                           Duration now);

/// @brief Returns true if the available tokens, plus those accrued during an
/// average program, cover the needs of the running programs and of one more.
/// The program then counts as started. Always true if tokens are not scarce or
/// no program is running.
/// @param available_tokens tokens that may be lent now.
/// @param time_left time until the program's deadline; zero if unknown.
bool AdmitNewProgram(ProgramAdmission& gate,
                     double available_tokens,
                     const RateLimits& limits,
                     Duration time_left,
                     Duration now);

/// @brief Returns the time after which AdmitNewProgram would admit a program
/// that it refused, if running programs use the full rate.
Duration NewProgramWait(const ProgramAdmission& gate,
                        double available_tokens,
                        const RateLimits& limits);

/// @brief Withdraws a program that AdmitNewProgram admitted and that did not
/// begin.
void RecordProgramNotStarted(ProgramAdmission& gate, Duration now);

/// @brief Returns true if a team's level is so far below its burst that new
/// programs need admission.
bool IsScarce(double available_tokens, const RateLimits& limits);

}  // namespace celerykeel

#pragma once

#include <cstdint>   // for uint64_t
#include <optional>  // for std::optional

#include "celerykeel/core/program_admission.h"  // for ProgramAdmission
#include "celerykeel/core/recent_programs.h"    // for RecentPrograms
#include "celerykeel/core/retry_schedule.h"     // for RetrySchedule
#include "celerykeel/core/time.h"               // for Duration
#include "celerykeel/core/token_bucket.h"       // for RateLimits, TokenBucket

namespace celerykeel {

/// @brief A call that needs a token of its team's rate, as its instance
/// describes it to the home of the rate.
struct TeamCall {
  uint64_t program = 0;   // see HashOfProgram; 0: none or unknown
  uint64_t caller = 0;    // same for the call and its retry; 0: unknown
  bool newcomer = false;  // its instance knows no earlier call of the program
  Duration program_time_left{};  // zero if unknown
  Duration max_wait{};           // before a retry; zero if unknown
};

/// @brief What the home of a team's rate knows of the team's calls: its
/// programs in progress and the refused callers that will return.
struct TeamQueue {
  ProgramAdmission admission;
  RetrySchedule retries;
  RecentPrograms in_progress;
  // Recently requested tokens, decaying: for calls of no program, and for
  // complete programs that would begin. They share the rate in proportion.
  double plain_demand = 1;
  double program_demand = 1;
  Duration demand_at{};
  std::optional<Duration> refused_at;  // last refusal
  TokenBucket plain;  // limits calls of no program while tokens are scarce
};

/// @brief A call's class and whether it returns at the time it was told.
struct QueuedCall {
  CallClass call_class = CallClass::kPlain;
  bool returns = false;
};

/// @brief True if a call of the team was refused within the last second.
bool IsOverRate(const TeamQueue& queue, Duration now);

/// @brief Records programs that instances report as begun or in progress.
void RecordProgramReport(TeamQueue& queue, uint64_t program, Duration now);

/// @brief Classifies a call, and ends its booking if it has one that is due.
QueuedCall Classify(TeamQueue& queue, const TeamCall& call, Duration now);

/// @brief Decides on the first call of a program, and on calls of no program,
/// which must leave programs in progress their share of the rate. Other calls
/// are always admitted. An admitted call may still lack a token.
/// @param level tokens that may be lent now.
/// @return when to return, if the call is not admitted.
std::optional<Duration> RefuseUnlessAdmitted(TeamQueue& queue,
                                             const TeamCall& call,
                                             const QueuedCall& queued,
                                             double level,
                                             const RateLimits& limits,
                                             Duration now);

/// @brief Withdraws the admission of a call that got no token.
void WithdrawAdmission(TeamQueue& queue,
                       const QueuedCall& queued,
                       Duration now);

/// @brief Tokens held for callers that were told to return now and go before
/// this call.
double TokensHeld(const TeamQueue& queue,
                  const QueuedCall& queued,
                  Duration now);

/// @brief Records that the call got its token.
void RecordServed(TeamQueue& queue, const TeamCall& call, Duration now);

/// @brief Returns when a call that lacks a token should return, counted from
/// now.
/// @param level tokens that may be lent now.
Duration TellReturn(TeamQueue& queue,
                    const TeamCall& call,
                    const QueuedCall& queued,
                    double level,
                    const RateLimits& limits,
                    Duration now);

}  // namespace celerykeel

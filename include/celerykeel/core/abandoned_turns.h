#pragma once

#include <functional>  // for std::function
#include <optional>    // for std::optional
#include <string>      // for std::string
#include <vector>      // for std::vector

#include "celerykeel/core/turn_ledger.h"  // for TurnLedger

namespace celerykeel {

/// @brief Time for which the relay of a turn must be out of touch before the
/// turn is abandoned. Heartbeats are missed after 1.2 s, and an instance that
/// was cut off or paused for a moment then reports its turns' ends.
inline constexpr Duration kAbandonAfter = std::chrono::seconds(3);
/// @brief No route lets a turn run for this long. Its instance lives, but has
/// given up reporting the end.
inline constexpr Duration kLongestTurn = std::chrono::minutes(3);

/// @brief A running turn whose end will probably never be reported.
struct AbandonedTurn {
  ProgramName program;
  std::string turn;
};

/// @brief Returns the running turns that hold their program's budget although
/// nobody will report their end: their relay was out of touch for
/// kAbandonAfter, or they were admitted kLongestTurn ago. Must be called at
/// least once a second. A turn is returned until AbandonTurn is called for it.
std::vector<AbandonedTurn> FindAbandonedTurns(
    TurnLedger& ledger,
    const std::function<bool(const TurnRelay&)>& is_in_touch,
    Duration now);

/// @brief Ends a turn whose use of tokens is not known. The first such turn of
/// a program counts nothing: whatever it delivered is covered by the slack of
/// one turn, which the program then no longer has. Further ones count with
/// their max tokens.
/// @return the record to write; FinishAbandonedTurn must follow when it is
/// durable. Nothing if the turn was ended at once, or is not running.
std::optional<SpendRecord> AbandonTurn(TurnLedger& ledger,
                                       const AbandonedTurn& abandoned);

/// @brief Ends the turn after the record of AbandonTurn became durable.
void FinishAbandonedTurn(TurnLedger& ledger, const AbandonedTurn& abandoned);

}  // namespace celerykeel

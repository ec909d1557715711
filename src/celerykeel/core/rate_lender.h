#pragma once

#include <cstdint>   // for uint32_t
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/rate_gate.h"  // for RateGate

// The part of a gate that lends, behind rate_gate.h.
namespace celerykeel {

/// @brief Members whose words on rosters are kept.
inline constexpr size_t kMaxReleases = 4096;

/// @brief Rate and burst in force of a team; zero if it is not known.
RateLimits LimitsOf(const RateGate& gate, const std::string& team);

/// @brief A share's home by the newest roster.
std::optional<Incarnation> HomeNow(const RateGate& gate,
                                   const RateShare& share);

/// @brief Sends a note, or takes it at once if it is for this gate.
void Deliver(RateGate& gate,
             Incarnation to,
             RateNote note,
             Duration now,
             RateActions& actions);

void AnswerWish(RateGate& gate,
                const LoanWish& wish,
                Duration now,
                RateActions& actions);

void TakeHandover(RateGate& gate,
                  Incarnation from,
                  const HandoverNote& note,
                  Duration now);

/// @brief Tries the handovers that came before their roster.
void TryEarly(RateGate& gate, Duration now);

std::vector<RateShare> SharesAtHome(const RateGate& gate);

void PassOn(RateGate& gate,
            const RateShare& share,
            Incarnation to,
            Duration now,
            RateActions& actions);

/// @brief Passes on what is no longer this gate's.
/// @return how many shares went to each member.
std::map<Incarnation, uint32_t> PassOnAll(RateGate& gate,
                                          Duration now,
                                          RateActions& actions);

/// @brief Tells members that `before` lacks that they need not wait for this
/// gate.
void TellNewMembers(const RateGate& gate,
                    const FleetState* before,
                    const std::map<Incarnation, uint32_t>& handovers,
                    RateActions& actions);

}  // namespace celerykeel

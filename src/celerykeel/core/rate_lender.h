#pragma once

#include <cstdint>   // for uint32_t
#include <map>       // for std::map
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/rate_gate.h"  // for RateGate

// The lending part of a gate, internal to rate_gate.h.
namespace celerykeel {

/// @brief Maximum number of members whose announcements are stored.
inline constexpr size_t kMaxReleases = 4096;

/// @brief Returns a team's rate and burst in force, zero if it is unknown.
RateLimits LimitsOf(const RateGate& gate, const std::string& team);

/// @brief Returns a share's home in the newest roster.
std::optional<Incarnation> CurrentHome(const RateGate& gate,
                                       const RateShare& share);

/// @brief Sends a message, or handles it at once if it is for this gate.
void Deliver(RateGate& gate,
             Incarnation to,
             RateGateMessage message,
             Duration now,
             RateActions& actions);

/// @brief Answers a loan request, and recalls loans if that helps.
void AnswerLoanRequest(RateGate& gate,
                       const RequestedLoan& requested,
                       Duration now,
                       RateActions& actions);

/// @brief Applies a handover, or retains it for a limited time until its
/// roster arrives.
void TakeHandover(RateGate& gate,
                  Incarnation from,
                  const HandoverNotice& notice,
                  Duration now);

/// @brief Retries the handovers that arrived before their roster.
void RetryEarlyHandovers(RateGate& gate, Duration now);

/// @brief Returns the shares that this gate has a bucket for.
std::vector<RateShare> SharesAtHome(const RateGate& gate);

/// @brief Hands a share over to `to`, if there is state to hand over.
void HandOverShare(RateGate& gate,
                   const RateShare& share,
                   Incarnation to,
                   Duration now,
                   RateActions& actions);

/// @brief Hands over the shares that have another home in the newest roster.
/// @return the number of shares handed to each member.
std::map<Incarnation, uint32_t> HandOverMovedShares(RateGate& gate,
                                                    Duration now,
                                                    RateActions& actions);

/// @brief Sends a ReleaseNotice to the members that are not in `before`. In
/// a new fleet, they need not wait for loans of this gate to expire.
void NotifyNewMembers(const RateGate& gate,
                      const FleetState* before,
                      const std::map<Incarnation, uint32_t>& handovers,
                      RateActions& actions);

}  // namespace celerykeel

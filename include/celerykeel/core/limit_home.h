#pragma once

#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Decides when calls go to endpoints with a rate limit: as the home of
/// an endpoint for all instances, or for this instance without a home.
struct LimitHome {
  // By endpoint: when the next call may be sent.
  std::map<std::string, Duration, std::less<>> next_call_at;
};

/// @brief A request to send one call to an endpoint with a rate limit.
struct LimitedCall {
  std::string endpoint;
  double per_second = 0;  // limit; above 0
  Duration max_wait{};    // the call can't be sent later
  // Grant only calls that the subjects whose last endpoint this is do not need.
  bool spare_only = false;
  // The endpoint is cold: a call too many crashes it, so less is left open.
  bool is_cold = false;
};

struct LimitVerdict {
  bool granted = false;
  // Granted: when the call may be sent; otherwise: how long it would have to
  // wait.
  Duration wait{};
};

/// @brief Spaces the calls of all instances. At most kLimitBurstTime's worth of
/// unused calls may be sent at once. A home without a record of the endpoint
/// grants a single call at once.
LimitVerdict ReserveCall(LimitHome& home,
                         const LimitedCall& call,
                         Duration now);

/// @brief Decides on a call of this instance while the endpoint's home does not
/// answer. Each instance has an equal share of kLimitFractionWithoutHome.
/// @param fleet_size number of instances, this one included.
/// @param phase see FirstCallPhase().
LimitVerdict ReserveCallWithoutHome(LimitHome& own,
                                    const LimitedCall& call,
                                    size_t fleet_size,
                                    double phase,
                                    Duration now);

/// @brief Returns a number in [0, 1] that differs between instances and
/// endpoints: the part of its interval after which an instance without a home
/// may send the first call. All instances may lose the home at the same time.
double FirstCallPhase(std::string_view instance, std::string_view endpoint);

inline constexpr Duration kLimitBurstTime = std::chrono::milliseconds(250);
/// @brief Calls are spare if this time's worth of them is unused.
inline constexpr Duration kSpareTime = kLimitBurstTime / 2;

/// @brief Fraction of the limit that all instances together may use without a
/// home. Some instances may reach the home, which grants the complete limit.
inline constexpr double kLimitFractionWithoutHome = 0.5;

/// @brief A permit for one call, by the clock of the instance that sends it.
struct LimitPermit {
  Duration valid_from{};
  Duration valid_until{};
};

/// @brief Returns the permit for a granted call. It counts from the request:
/// the process may have been paused before it read the answer.
LimitPermit PermitFor(const LimitVerdict& granted,
                      Duration requested_at,
                      bool is_cold = false);

bool HasExpired(const LimitPermit& permit, Duration now);

/// @brief A permit that is not used in this time has expired.
inline constexpr Duration kLimitPermitValidity = std::chrono::milliseconds(200);

// The same for cold endpoints. They take one and a half times their rate and
// five calls in any second, where others take it in four seconds.
inline constexpr Duration kColdBurstTime = std::chrono::milliseconds(50);
inline constexpr double kColdFractionWithoutHome = 0.1;
inline constexpr Duration kColdPermitValidity = std::chrono::milliseconds(100);
/// @brief Longest wait of a call for a cold endpoint. A successor of the home
/// does not know the calls that were granted ahead.
inline constexpr Duration kMaxColdWait = std::chrono::milliseconds(100);

}  // namespace celerykeel

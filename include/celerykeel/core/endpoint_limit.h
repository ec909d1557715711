#pragma once

#include <map>       // for std::map
#include <optional>  // for std::optional
#include <string>    // for std::string

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/core/time.h"            // for Duration, WallMillis

namespace celerykeel {

/// @brief What an endpoint's answers say about the calls that it takes.
struct EndpointLimit {
  // Calls per second of all instances together; empty: no limit.
  std::optional<double> per_second;
  WallMillis started_at = 0;  // start of the endpoint that sent the answer
  Duration answered_at{};     // time of the newest such answer
  // `per_second` as last announced to the peers, or by one of them.
  std::optional<double> announced;
};

/// @brief Limits by endpoint id. Stored apart from the endpoint table, since an
/// entry may lapse and reappear.
using EndpointLimits = std::map<std::string, EndpointLimit, std::less<>>;

/// @brief Records a limit, or its end, unless a newer answer is known.
/// @return true if the peers should be notified: the limit is new, has ended or
/// differs by more than `kAnnouncedLimitChange` from the announced one.
bool RecordLimit(EndpointLimits& limits,
                 std::string_view id,
                 const EndpointLimit& limit);

/// @brief Returns the limit in calls per second, at least kMinEndpointLimit;
/// empty if the endpoint has none since its start.
/// @param started_at time of the endpoint's start.
std::optional<double> LimitOf(const EndpointLimits& limits,
                              std::string_view id,
                              WallMillis started_at);

/// @brief Drops limits that ended longer than kEndedLimitTime ago, and those of
/// endpoints that are no longer in the table.
void DropEndedLimits(EndpointLimits& limits,
                     const EndpointTable& table,
                     Duration now);

/// @brief Fraction by which a limit may differ from the announced one.
inline constexpr double kAnnouncedLimitChange = 0.1;
/// @brief Calls per second. Only an answer can show that a limit has ended, so
/// an endpoint with a limit of 0 still gets a call now and then.
inline constexpr double kMinEndpointLimit = 0.25;
/// @brief Time for which the end of a limit is kept, to reject older reports of
/// the limit.
inline constexpr Duration kEndedLimitTime = std::chrono::seconds(10);

}  // namespace celerykeel

#pragma once

#include <optional>     // for std::optional
#include <string_view>  // for std::string_view

#include "celerykeel/core/deployment.h"      // for Deployment
#include "celerykeel/core/endpoint_limit.h"  // for EndpointLimits
#include "celerykeel/core/endpoint_table.h"  // for EndpointTable
#include "celerykeel/core/time.h"            // for Duration

namespace celerykeel {

/// @brief Takes the cold traits of the services from a configuration. Services
/// without a limit for cold endpoints have none.
void SetColdTraits(EndpointTable& table, const Deployment& deployment);

/// @brief Records what an endpoint's entry says about its coldness, after
/// RecordEntry. A start that began while the system serves, and whose entries
/// say nothing, counts as cold for `ColdTraits::after_start`.
/// @param began_in_service the entry was not found when the instance started.
/// @return true if the peers should be notified: the endpoint became cold or
/// ceased to be cold unexpectedly, or stays cold much longer or shorter.
bool RecordColdness(EndpointTable& table,
                    const EndpointEntry& entry,
                    bool began_in_service,
                    Duration now);

/// @brief Lets an endpoint that may have crashed count as cold until it starts
/// anew or its later entries say otherwise.
void PresumeCold(EndpointTable& table, std::string_view id);

/// @brief Lets the endpoints of a zone, whose evacuation has been revoked,
/// count as cold until later entries say otherwise.
void PresumeZoneCold(EndpointTable& table, std::string_view zone);

/// @brief Calls per second that the endpoint takes as it is cold; empty if it
/// is not cold, or if its service has no such limit.
std::optional<double> ColdRateOf(const EndpointTable& table,
                                 const EndpointStatus& endpoint,
                                 Duration now);

/// @brief The limit that applies to an endpoint.
struct CallLimit {
  double per_second = 0;  // the lower one of its rate limit and its cold rate
  bool is_cold = false;   // LimitedCall::is_cold
};

/// @brief Combines the rate limit that an endpoint named and its cold rate.
/// Empty if it has neither.
std::optional<CallLimit> Combine(std::optional<double> named,
                                 std::optional<double> cold);

/// @brief The limit that applies to the endpoint, as far as this instance
/// knows.
std::optional<CallLimit> CallLimitOf(const EndpointLimits& limits,
                                     const EndpointTable& table,
                                     const EndpointStatus& endpoint,
                                     Duration now);

/// @brief Endpoints report the time that they stay cold at each heartbeat. A
/// time that differs by less than this is no news.
inline constexpr Duration kColdTimeChange = std::chrono::seconds(1);

}  // namespace celerykeel

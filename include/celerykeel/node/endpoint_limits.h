#pragma once

#include <cstdint>  // for uint32_t
#include <map>      // for std::map

#include "celerykeel/core/call_request.h"    // for AnswerHeaderValues
#include "celerykeel/core/endpoint_limit.h"  // for EndpointLimits
#include "celerykeel/core/limit_home.h"      // for LimitHome, LimitVerdict
#include "celerykeel/node.pb.h"              // for pb::LimitedCallWish
#include "celerykeel/node/asio.h"            // for Task

namespace celerykeel {

struct Node;

/// @brief State of the rate limits that endpoints name in their answers.
struct EndpointLimitState {
  EndpointLimits limits;
  LimitHome home;          // for the endpoints whose home this instance is
  LimitHome without_home;  // for calls from here while the home is silent
  // By slot: time until which its holder is not asked, as it did not answer.
  std::map<uint32_t, Duration> home_silent_until;
};

/// @brief Records what an answer says about the endpoint's rate limit. Notifies
/// the peers of a change.
/// @param endpoint its entry at the time when the answered call was sent.
void HandleNamedLimit(Node& node,
                      const EndpointEntry& endpoint,
                      const AnswerHeaderValues& answer);

/// @brief Adds all known limits, and their ends, to `news`.
void AddKnownLimits(const Node& node, pb::EndpointNews& news);

/// @brief Applies a limit that a peer reports.
void ApplyLimitNews(Node& node, const pb::EndpointLimitNews& news);

/// @brief Reserves a call to an endpoint with a limit, at its home or, if
/// the home does not answer, from this instance's share.
/// @param started_at start of the endpoint, as in its entry.
Task<LimitVerdict> ReserveLimitedCall(Node& node,
                                      LimitedCall call,
                                      WallMillis started_at);

/// @brief Answers a peer's request for a call to a limited endpoint.
pb::LimitedCallGrant DecideAsHome(Node& node, const pb::LimitedCallWish& wish);

/// @brief Drops the state of ended limits.
void ForgetEndedLimits(Node& node);

}  // namespace celerykeel

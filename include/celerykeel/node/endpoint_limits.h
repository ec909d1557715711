#pragma once

#include "celerykeel/core/call_request.h"    // for AnswerHeaderValues
#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry

namespace celerykeel {

struct Node;

/// @brief Records what an answer says about the endpoint's rate limit.
/// @param endpoint its entry at the time when the answered call was sent.
void HandleNamedLimit(Node& node,
                      const EndpointEntry& endpoint,
                      const AnswerHeaderValues& answer);

}  // namespace celerykeel

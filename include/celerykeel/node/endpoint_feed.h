#pragma once

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/node.pb.h"              // for pb::EndpointNews
#include "celerykeel/node/asio.h"            // for Task

namespace celerykeel {

struct Node;

/// @brief Follows what the endpoints say of themselves, as a reader for all or
/// by the readers' news.
Task<> FollowEndpoints(Node& node);

/// @brief An answer of the endpoint said that it leaves: it gets nothing new
/// from here, and the peers are told.
/// @param endpoint its entry when the answered call was sent.
void TakeDeparture(Node& node, const EndpointEntry& endpoint);

/// @brief Takes what a reader found, or a peer heard of an endpoint.
void TakeEndpointNews(Node& node, const pb::EndpointNews& news);

}  // namespace celerykeel

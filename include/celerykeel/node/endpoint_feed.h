#pragma once

#include "celerykeel/node.pb.h"    // for pb::EndpointNews
#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel {

struct Node;

/// @brief Follows what the endpoints say of themselves, as a reader for all or
/// by the readers' news.
Task<> FollowEndpoints(Node& node);

/// @brief Takes what a reader found.
void TakeEndpointNews(Node& node, const pb::EndpointNews& news);

}  // namespace celerykeel

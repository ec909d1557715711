#pragma once

#include <optional>  // for std::optional

#include "celerykeel/core/call_request.h"   // for CallRequest
#include "celerykeel/node/asio.h"           // for Task
#include "celerykeel/node/caller_stream.h"  // for CallerStreamPtr

namespace celerykeel {

struct Node;

/// @brief Reads the next request of a connection. Route and key are checked
/// before the body is read. A request that exceeds a limit is refused here.
/// @return nothing if the connection must be closed.
Task<std::optional<CallRequest>> ReadRequest(Node& node,
                                             CallerStreamPtr caller);

}  // namespace celerykeel

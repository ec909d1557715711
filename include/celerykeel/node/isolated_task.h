#pragma once

#include <functional>   // for std::function
#include <string_view>  // for std::string_view

#include "celerykeel/node/asio.h"  // for Task

namespace celerykeel {

struct Node;

/// @brief Starts a coroutine that serves one connection or one message. An
/// exception that leaves it costs just these: it is logged and counted, then
/// `clean_up` runs. All other calls of the instance go on.
/// @param kind of what it serves, for the log and the metric; a literal.
void SpawnIsolated(Node& node,
                   std::string_view kind,
                   Task<> task,
                   std::function<void()> clean_up = nullptr);

}  // namespace celerykeel

#pragma once

#include "celerykeel/node/asio.h"  // for Tcp, Task

namespace celerykeel {

/// @brief Waits until the other end has received all bytes that were written to
/// the connection, at most for a second. For connections that the other end has
/// closed: if it closed before it received everything, the rest is answered
/// with a reset.
/// @return false if the connection was reset, or bytes are still not received.
Task<bool> AwaitDelivery(asio::io_context& loop, Tcp::socket& socket);

}  // namespace celerykeel

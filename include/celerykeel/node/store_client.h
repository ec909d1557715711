#pragma once

#include <optional>  // for std::optional
#include <string>    // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/store_call.h"      // for AppendCall, StoreError
#include "celerykeel/core/time.h"            // for Duration
#include "celerykeel/node/asio.h"            // for Task
#include "celerykeel/node/out_connection.h"  // for OutPool
#include "platform/store_calls.h"            // for platform::StoreRequest

namespace celerykeel {

struct Node;

/// @brief The way to the platform's store, and how it has gone of late.
struct StoreClient {
  OutPool pool;
  std::optional<Duration> reached_at;   // last answer on the direct way
  std::optional<Duration> troubled_at;  // last failure on the direct way
  Duration failed_call_at{};            // when the newest failed call began
  bool lost = false;                    // the direct way fails just now
  uint64_t calls = 0;
  uint64_t relayed = 0;  // calls that a peer made for this instance
};

/// @brief Calls the store, through a peer that reaches it if this instance
/// is turned away.
Task<tl::expected<AppendDone, StoreError>> Append(Node& node, AppendCall call);
Task<tl::expected<ReadDone, StoreError>> Read(Node& node, ReadCall call);
Task<tl::expected<NewestDone, StoreError>> ReadNewest(Node& node,
                                                      NewestCall call);

/// @brief Makes one call on the direct way only.
Task<platform::StoreResponse> CallStoreDirect(Node& node,
                                              platform::StoreRequest request,
                                              Duration patience);

/// @brief True if a call would likely succeed now, on any way.
bool StoreIsReached(const Node& node);

/// @brief While the store is away, probes tell of its return; a call is tried
/// after so long all the same.
inline constexpr Duration kTryAnyway = std::chrono::seconds(1);

/// @brief Waits until the store is reached.
/// @return false if it is still away after `patience`.
Task<bool> AwaitStore(Node& node, Duration patience);

/// @brief The pause before a failed call is repeated: it ends early when the
/// store comes back.
Task<> PauseForStore(Node& node, Duration pause);

/// @brief Probes the store while it is away, so that all who wait for it go on
/// soon after its return.
Task<> ProbeStore(Node& node);

}  // namespace celerykeel

#pragma once

#include <optional>  // for std::optional
#include <string>    // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/outage_estimate.h"  // for OutageEstimate
#include "celerykeel/core/store_call.h"       // for AppendCall, StoreError
#include "celerykeel/core/time.h"             // for Duration
#include "celerykeel/node/asio.h"             // for Task
#include "celerykeel/node/out_connection.h"   // for OutPool
#include "platform/store_calls.h"             // for platform::StoreRequest

namespace celerykeel {

struct Node;

/// @brief Connections to the platform's store, and its recent availability.
struct StoreClient {
  OutPool pool;
  std::optional<Duration> last_answer_at;   // last answer to a direct call
  std::optional<Duration> last_failure_at;  // last failed direct call
  // Last answer to a direct append within kQuickAppend.
  std::optional<Duration> quick_append_at;
  Duration failed_call_began_at{};    // latest start of a failed call
  Duration answered_call_began_at{};  // latest start of an answered call
  bool unavailable = false;           // direct calls fail at present
  uint64_t calls = 0;                 // direct calls, including those for peers
  uint64_t relayed = 0;  // calls that a peer made for this instance
  // Increases when a relayed call fails: the next ones use other peers.
  uint64_t relay_round = 0;
  OutageEstimate outages;
};

/// @brief Calls the store, through a peer that reaches it if direct calls of
/// this instance fail.
Task<tl::expected<AppendDone, StoreError>> Append(Node& node, AppendCall call);
Task<tl::expected<ReadDone, StoreError>> Read(Node& node, ReadCall call);
Task<tl::expected<NewestRecordsDone, StoreError>> ReadNewest(
    Node& node,
    NewestRecordsCall call);

/// @brief Makes one direct call, without a peer. Status 0 means no answer; the
/// body then has the reason.
Task<platform::StoreResponse> CallStoreDirect(Node& node,
                                              platform::StoreRequest request,
                                              Duration timeout);

/// @brief Returns true if a call would likely succeed now, directly or through
/// a peer.
bool IsStoreAvailable(const Node& node);

/// @brief Longest wait of the feeds for an unavailable store before they call
/// it anyway. Probes normally detect its return earlier.
inline constexpr Duration kMaxFeedStoreWait = std::chrono::seconds(1);

/// @brief Waits until the store is available, directly or through a peer.
/// @return false if it is still unavailable after `timeout`.
Task<bool> AwaitStore(Node& node, Duration timeout);

/// @brief Pauses before a failed call is repeated. If the store is unavailable,
/// the pause ends early when the store is available again.
Task<> PauseForStore(Node& node, Duration pause);

/// @brief Probes the store while it is unavailable. Tasks in AwaitStore resume
/// soon after a probe succeeds.
Task<> ProbeStore(Node& node);

}  // namespace celerykeel

#include "celerykeel/node/store_client.h"

#include <algorithm>  // for std::max, std::min
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/core/hand_over.h"      // for kQuickAppend
#include "celerykeel/core/link_rate.h"      // for TransferTime
#include "celerykeel/core/reader_choice.h"  // for IsReader
#include "celerykeel/node/fleet.h"          // for RankConnectedPeers
#include "celerykeel/node/node.h"           // for Node
#include "platform/deployment_json.h"       // for platform::kConfigurationTopic

namespace celerykeel {

namespace {

// An append takes 4 ms. The store delays it for at most 2 s and then refuses
// it. An answer that does not begin within this timeout is presumed lost.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1200);
// Part of the link that the records of an append have at least. Answers to
// callers and other appends share the link.
constexpr double kAppendLinkShare = 1.0 / 8;
// A relayed answer crosses the links of the peer and of this instance.
constexpr Duration kMaxRelayTime = std::chrono::seconds(5);
constexpr Duration kProbeInterval = std::chrono::milliseconds(300);
// An instance that is not a reader sends only one in this many probes.
constexpr uint64_t kNonReaderProbeDivisor = 5;
constexpr Duration kStorePollInterval = std::chrono::milliseconds(30);
// Answers rarely take longer. A call that began this long before an answered
// one is presumed lost.
constexpr Duration kUsualAnswerTime = std::chrono::milliseconds(60);
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

bool IsStoreFailure(const platform::StoreResponse& response) {
  return response.status == 0 || response.status == kTooMany ||
         response.status >= kUnavailable;
}

std::string_view Reason(ExchangeError error) {
  switch (error) {
    case ExchangeError::kNotConnected:
      return "not connected";
    case ExchangeError::kUnsendable:
      return "unsendable";
    case ExchangeError::kSilent:
      return "silent";
    case ExchangeError::kClosed:
      return "connection closed";
    case ExchangeError::kMalformed:
      return "garbled";
    case ExchangeError::kAbandoned:
      return "given up";
  }
  return "unknown";
}

// The store holds long reads open and drops them when it deletes records. A
// closed connection after this time therefore does not show that the store is
// unavailable.
constexpr Duration kLongReadTime = std::chrono::milliseconds(400);

Task<> ProbeOnce(Node& node) {
  // Any answer shows that the store is available. No record exists at this
  // offset, so the answer is small.
  constexpr uint64_t kBeyondEnd = 1ULL << 40;
  const ReadCall read{.topic = std::string(platform::kConfigurationTopic),
                      .partition = 0,
                      .from = kBeyondEnd,
                      .wait_ms = 0};
  co_await CallStoreDirect(node, platform::EncodeRead(read), kCallTimeout);
}

// Records whether a direct call shows the store available or unavailable. A
// call that began before the last failed one may have been answered before the
// outage began, so its answer does not show that the store is available again.
void RecordStoreOutcome(Node& node,
                        const platform::StoreResponse& response,
                        Duration began) {
  StoreClient& store = node.store;
  const Duration now = Now();
  if (!IsStoreFailure(response)) {
    store.last_answer_at = now;
    store.answered_call_began_at =
        std::max(store.answered_call_began_at, began);
    if (store.unavailable && began > store.failed_call_began_at) {
      store.unavailable = false;
      node.endpoints.store_available_since = now;
      // Closes the connections of calls that the store will never answer. They
      // would otherwise last until their timeout.
      AbortExchangesBefore(store.pool, began - kUsualAnswerTime);
      CloseIdleBefore(store.pool, node.options.store_address, began);
      EndOutage(store.outages, now);
      AnnounceSoon(node);
      WriteLog(node.log, LogLevel::kUnusual, "store regained",
               {{"after_ms", now - store.last_failure_at.value_or(now)}});
    }
    return;
  }
  if (began < store.answered_call_began_at) {
    // Only its own connection failed: a later call was answered.
    return;
  }
  store.last_failure_at = now;
  store.failed_call_began_at = std::max(store.failed_call_began_at, began);
  if (!store.unavailable) {
    store.unavailable = true;
    BeginOutage(store.outages, began, now);
    WriteLog(node.log, LogLevel::kUnusual, "store lost",
             {{"status", response.status}, {"reason", response.body}});
  }
}

// Returns the link to a peer that reaches the store; null if there is none.
// Instances that lost the store at the same time relay over different peers.
PeerLinkPtr LinkToRelay(const Node& node) {
  const auto relays = RankConnectedPeers(
      node, node.store.relay_round,
      [](const PeerState& peer) { return peer.store_reached; });
  return relays.empty() ? nullptr : node.peers.links.at(relays.front());
}

// Relays the call through a peer that reaches the store.
Task<platform::StoreResponse> CallStoreOverPeer(
    Node& node,
    const platform::StoreRequest& request,
    Duration timeout) {
  if (const PeerLinkPtr link = LinkToRelay(node)) {
    pb::NodeFrame frame;
    auto& relay = *frame.mutable_store_call();
    relay.set_method(request.method);
    relay.set_target(request.target);
    relay.set_body(request.body);
    relay.set_timeout_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout)
            .count()));
    std::optional<pb::NodeFrame> answer;
    if (const PeerCallPtr call =
            BeginCall(node.io, node.peers, link, std::move(frame))) {
      answer = co_await AwaitAnswer(*call, timeout, kMaxRelayTime);
    }
    ++node.store.relayed;
    if (!answer || !answer->has_store_answer()) {
      ++node.store.relay_round;
      co_return platform::StoreResponse{0, "no answer over a peer"};
    }
    platform::StoreResponse response{
        static_cast<int>(answer->store_answer().status()),
        std::move(*answer->mutable_store_answer()->mutable_body())};
    if (IsStoreFailure(response)) {
      ++node.store.relay_round;
    }
    co_return response;
  }
  co_return platform::StoreResponse{0, "no way to the store"};
}

// While direct calls fail, tries a peer first. Probes detect when direct calls
// work again.
Task<platform::StoreResponse> CallStore(Node& node,
                                        platform::StoreRequest request,
                                        Duration timeout) {
  if (node.store.unavailable) {
    auto relayed = co_await CallStoreOverPeer(node, request, timeout);
    if (!IsStoreFailure(relayed)) {
      co_return relayed;
    }
  }
  const bool was_unavailable = node.store.unavailable;
  auto direct = co_await CallStoreDirect(node, request, timeout);
  if (IsStoreFailure(direct) && !was_unavailable) {
    auto relayed = co_await CallStoreOverPeer(node, request, timeout);
    if (!IsStoreFailure(relayed)) {
      co_return relayed;
    }
  }
  co_return direct;
}

}  // namespace

Task<platform::StoreResponse> CallStoreDirect(Node& node,
                                              platform::StoreRequest request,
                                              Duration timeout) {
  ++node.store.calls;
  const Duration began = Now();
  const OutRequest out{.method = request.method,
                       .target = request.target,
                       .host = node.options.store_address,
                       .headers = {},
                       .body = request.body};
  auto answer =
      co_await Exchange(node.io, node.store.pool, node.options.store_address,
                        out, timeout, std::min(timeout, kCallTimeout));
  platform::StoreResponse response;
  if (answer) {
    response.status = answer->head.status;
    response.body = std::move(answer->body);
  } else {
    response.body = Reason(answer.error());
    if (answer.error() == ExchangeError::kSilent) {
      // Idle connections of the same age may stay silent for good as well. If
      // they are kept, a probe uses one after the other, each until it times
      // out, before one of them opens a new connection.
      CloseIdleBefore(node.store.pool, node.options.store_address, Now());
    }
    if (answer.error() == ExchangeError::kAbandoned) {
      co_return response;  // no evidence of the store's state
    }
    if (answer.error() == ExchangeError::kClosed &&
        Now() > began + kLongReadTime) {
      Spawn(node.io, ProbeOnce(node));
      co_return response;
    }
  }
  if (answer && request.method == "POST" && !IsStoreFailure(response) &&
      Now() < began + kQuickAppend) {
    node.store.quick_append_at = Now();
  }
  RecordStoreOutcome(node, response, began);
  co_return response;
}

Task<tl::expected<AppendDone, StoreError>> Append(Node& node, AppendCall call) {
  platform::StoreRequest request = platform::EncodeAppend(call);
  const Duration timeout =
      kCallTimeout + TransferTime(node.options.link_mbps * kAppendLinkShare,
                                  request.body.size());
  const auto response = co_await CallStore(node, std::move(request), timeout);
  co_return platform::DecodeAppend(response);
}

Task<tl::expected<ReadDone, StoreError>> Read(Node& node, ReadCall call) {
  const auto response = co_await CallStore(
      node, platform::EncodeRead(call),
      kCallTimeout + std::chrono::milliseconds(call.wait_ms));
  co_return platform::DecodeRead(response);
}

Task<tl::expected<NewestRecordsDone, StoreError>> ReadNewest(
    Node& node,
    NewestRecordsCall call) {
  const auto response =
      co_await CallStore(node, platform::EncodeNewest(call), kCallTimeout);
  co_return platform::DecodeNewest(response);
}

bool IsStoreAvailable(const Node& node) {
  if (!node.store.unavailable) {
    return true;
  }
  for (const auto& [instance, state] : node.peer_states) {
    const auto link = node.peers.links.find(instance);
    if (state.store_reached && link != node.peers.links.end() &&
        link->second->socket != nullptr) {
      return true;
    }
  }
  return false;
}

Task<> PauseForStore(Node& node, Duration pause) {
  if (IsStoreAvailable(node)) {
    co_await Sleep(node.io, pause);
  } else {
    co_await AwaitStore(node, pause);
  }
}

Task<bool> AwaitStore(Node& node, Duration timeout) {
  const Duration until = Now() + timeout;
  while (!IsStoreAvailable(node)) {
    if (Now() + kStorePollInterval > until) {
      co_return false;
    }
    co_await Sleep(node.io, kStorePollInterval);
  }
  co_return true;
}

// Probes may overlap: an unanswered probe does not delay the next one.
Task<> ProbeStore(Node& node) {
  uint64_t turn = 0;
  while (true) {
    co_await Sleep(node.io, kProbeInterval);
    // Instances that are not readers learn from the readers' heartbeats that
    // the store is available again, and then probe at once.
    const bool probes = IsReader(node.fleet, Now()) || IsStoreAvailable(node) ||
                        ++turn % kNonReaderProbeDivisor == 0;
    if (node.store.unavailable && probes) {
      Spawn(node.io, ProbeOnce(node));
    }
  }
}

}  // namespace celerykeel

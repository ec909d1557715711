#include "celerykeel/scheduler/choose_endpoint.h"

#include <algorithm>  // for std::find
#include <tuple>      // for std::tie
#include <utility>    // for std::move

namespace celerykeel {

namespace {

// Of endpoints whose ticket says nothing.
constexpr uint32_t kUnknownSlots = 16;
constexpr uint64_t kUnknownCacheTokens = 65'536;

bool Serves(const Endpoint& endpoint, const CallWork& work) {
  return work.kind == CallKind::kChat
             ? endpoint.kind == EndpointKind::kModelEngine &&
                   endpoint.model == work.model
             : endpoint.kind == EndpointKind::kPlainService &&
                   endpoint.service == work.service;
}

bool IsAvoided(const QueuedCall& call, const std::string& endpoint) {
  return std::find(call.avoid.begin(), call.avoid.end(), endpoint) !=
         call.avoid.end();
}

uint32_t Outstanding(const EndpointLoad& load, const std::string& endpoint) {
  const auto found = load.outstanding.find(endpoint);
  return found == load.outstanding.end() ? 0 : found->second;
}

PlacementCost CostAt(const EndpointLoad& load,
                     const Endpoint& endpoint,
                     const PlacementRequest& request,
                     Duration now) {
  const auto found = load.books.find(endpoint.id);
  return found == load.books.end()
             ? ExpectedCost(BookOf(load, endpoint), request, {}, 0, now)
             : ExpectedCost(found->second, request, {}, 0, now);
}

}  // namespace

EndpointEstimate BookOf(const EndpointLoad& load, const Endpoint& endpoint) {
  if (const auto found = load.books.find(endpoint.id);
      found != load.books.end()) {
    return found->second;
  }
  EndpointEstimate book;
  book.pace.slots = endpoint.slots == 0 ? kUnknownSlots : endpoint.slots;
  book.held.capacity =
      endpoint.cache_tokens == 0 ? kUnknownCacheTokens : endpoint.cache_tokens;
  return book;
}

tl::expected<EndpointChoice, NoChoice> ChooseEndpoint(
    const FleetState& view,
    const EndpointLoad& load,
    const QueuedCall& call,
    const PlacementRequest& request,
    Duration now) {
  EndpointChoice choice;
  NoChoice reason = NoChoice::kUnknown;
  bool is_avoided = true;  // the best so far has failed the call
  double least = 0;
  uint32_t least_calls = 0;
  for (const auto& [id, endpoint] : view.in_force.endpoints) {
    if (!Serves(endpoint, *call.work)) {
      continue;
    }
    if (reason == NoChoice::kUnknown) {
      reason = NoChoice::kLeaving;
    }
    if (endpoint.state == EndpointState::kLeaving) {
      continue;
    }
    EndpointChoice::Alternative other;
    other.endpoint = id;
    other.avoided = IsAvoided(call, id);
    other.calls = Outstanding(load, id);
    other.cost = other.calls;
    if (endpoint.kind == EndpointKind::kModelEngine) {
      other.parts = CostAt(load, endpoint, request, now);
      other.cost = Total(other.parts);
    }
    const bool is_better = std::tie(other.avoided, other.cost, other.calls) <
                           std::tie(is_avoided, least, least_calls);
    if (choice.endpoint.empty() || is_better) {
      choice.endpoint = id;
      is_avoided = other.avoided;
      least = other.cost;
      least_calls = other.calls;
    }
    choice.alternatives.push_back(std::move(other));
  }
  if (choice.endpoint.empty()) {
    return tl::unexpected(reason);
  }
  return choice;
}

}  // namespace celerykeel

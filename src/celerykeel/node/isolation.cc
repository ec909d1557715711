#include "celerykeel/node/isolation.h"

#include <algorithm>  // for std::max, std::min
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/core/millis.h"           // for Millis
#include "celerykeel/node/endpoint_choice.h"  // for ChooseApart
#include "celerykeel/node/fleet.h"            // for AnnounceSoon
#include "celerykeel/node/node.h"             // for Node

namespace celerykeel {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxWait = std::chrono::seconds(1);  // for an endpoint
// After it, calls that the endpoint began before may still run.
constexpr Duration kMaxIdleWait = std::chrono::milliseconds(300);
constexpr int kWaitDivisor = 3;  // of the time left
// A service reserves at most this fraction of its endpoints.
constexpr size_t kIsolationDivisor = 3;

uint32_t LoadOf(const Node& node, const std::string& endpoint) {
  uint32_t load = 0;
  if (const auto found = node.endpoints.endpoints.find(endpoint);
      found != node.endpoints.endpoints.end()) {
    load = found->second.in_flight;
  }
  for (const auto& [instance, state] : node.peer_states) {
    const auto found = state.loads.find(endpoint);
    load += found == state.loads.end() ? 0 : found->second;
  }
  return load;
}

bool MayIsolateAnother(const Node& node, const std::string& service) {
  const Duration now = Now();
  size_t endpoints = 0;
  size_t isolated = 0;
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    if (endpoint.entry.service == service) {
      ++endpoints;
      isolated += endpoint.isolated_until > now ? 1 : 0;
    }
  }
  return isolated < std::max<size_t>(endpoints / kIsolationDivisor, 1);
}

void Announce(Node& node, const std::string& endpoint, Duration runs) {
  pb::NodeFrame frame;
  pb::IsolatedEndpoint& news =
      *frame.mutable_endpoint_news()->add_isolated_endpoints();
  news.set_endpoint(endpoint);
  news.set_runs_ms(Millis(runs));
  news.set_instance(node.options.instance);
  SendToAll(node.peers, frame);
}

// Returns an endpoint that is reserved and idle, or else one to reserve.
const EndpointStatus* ChooseIsolated(Node& node, const Call& call) {
  const EndpointStatus* chosen = ChooseApart(node, call);
  if (chosen == nullptr || chosen->isolated_until > Now() ||
      MayIsolateAnother(node, call.service)) {
    return chosen;
  }
  return nullptr;
}

}  // namespace

Isolation::Isolation(Node& isolating_node, std::string isolated_endpoint)
    : node(isolating_node),
      endpoint(std::move(isolated_endpoint)),
      instance(isolating_node.options.instance) {}

// The destruction of the loop ends calls too, after that of the node's options
// and peers. So this uses neither.
Isolation::~Isolation() {
  RecordIsolation(this->node.endpoints, this->endpoint, this->instance, {},
                  Now());
  this->node.ended_isolations.insert(this->endpoint);
}

Task<tl::expected<IsolationPtr, NotIsolated>> IsolateEndpoint(Node& node,
                                                              CallPtr call) {
  const Duration until =
      Now() + std::min(kMaxWait, TimeLeft(*call) / kWaitDivisor);
  IsolationPtr isolation;
  while (isolation == nullptr && Now() < until) {
    std::string endpoint;
    if (const EndpointStatus* chosen = ChooseIsolated(node, *call)) {
      endpoint = chosen->entry.id;
      RecordIsolation(node.endpoints, endpoint, node.options.instance,
                      call->deadline, Now());
      Announce(node, endpoint, TimeLeft(*call));
    }
    // Meanwhile peers report their calls there, or that they chose it too.
    co_await Sleep(node.io, kPollInterval);
    if (const auto found = node.endpoints.endpoints.find(endpoint);
        found != node.endpoints.endpoints.end() &&
        found->second.isolated_by == node.options.instance) {
      isolation = std::make_shared<Isolation>(node, endpoint);
    }
  }
  if (isolation == nullptr) {
    co_return tl::unexpected(NotIsolated{});
  }
  const Duration idle_until = Now() + kMaxIdleWait;
  while (LoadOf(node, isolation->Endpoint()) > 0 && Now() < idle_until) {
    co_await Sleep(node.io, kPollInterval);
  }
  co_return isolation;
}

void ApplyIsolationNews(Node& node, const pb::IsolatedEndpoint& news) {
  constexpr uint32_t kMaxMillis = 60'000;  // no call lasts longer
  const Duration now = Now();
  const Duration runs =
      std::chrono::milliseconds(std::min(news.runs_ms(), kMaxMillis));
  RecordIsolation(node.endpoints, news.endpoint(), news.instance(),
                  news.runs_ms() == 0 ? Duration::zero() : now + runs, now);
  if (const auto found = node.endpoints.endpoints.find(news.endpoint());
      news.runs_ms() > 0 && found != node.endpoints.endpoints.end() &&
      found->second.in_flight > 0) {
    AnnounceSoon(node);
  }
}

void ReportEndedIsolations(Node& node) {
  for (const std::string& endpoint : std::exchange(node.ended_isolations, {})) {
    Announce(node, endpoint, Duration::zero());
  }
}

}  // namespace celerykeel

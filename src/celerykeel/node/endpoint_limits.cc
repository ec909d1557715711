#include "celerykeel/node/endpoint_limits.h"

#include <algorithm>  // for std::max, std::min
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/core/cold_endpoints.h"  // for CallLimitOf
#include "celerykeel/node/fleet.h"           // for LinkToHolder
#include "celerykeel/node/node.h"            // for Node
#include "celerykeel/node/slot_upkeep.h"     // for MayActAsHolder

namespace celerykeel {

namespace {

constexpr Duration kHomeAnswerTimeout = std::chrono::milliseconds(100);
// A home that did not answer is not asked again for this time, so that calls do
// not wait for it one after the other.
constexpr Duration kSilentHomeTime = std::chrono::milliseconds(400);

// Calls may be sent at once to an endpoint whose next call was due this long
// ago.
constexpr Duration kUnusedSpacingTime = std::chrono::seconds(1);

uint32_t HomeSlotOf(const Node& node, const std::string& endpoint) {
  return SlotOfSubject("endpoint", endpoint,
                       static_cast<uint32_t>(node.fleet.slots.size()));
}

pb::EndpointLimitNews ToNews(const std::string& endpoint,
                             const EndpointLimit& limit) {
  pb::EndpointLimitNews news;
  news.set_endpoint(endpoint);
  news.set_started_at(limit.started_at);
  if (limit.per_second) {
    news.set_per_second(*limit.per_second);
  }
  news.set_age_ns(static_cast<uint64_t>((Now() - limit.answered_at).count()));
  return news;
}

EndpointLimit FromNews(const pb::EndpointLimitNews& news) {
  return {.per_second = news.has_per_second()
                            ? std::optional<double>(news.per_second())
                            : std::nullopt,
          .started_at = news.started_at(),
          .answered_at = Now() - Duration(news.age_ns()),
          .announced = std::nullopt};
}

// Records a limit.
// @return true if it is news to this instance.
bool Record(Node& node,
            const std::string& endpoint,
            const EndpointLimit& limit,
            std::string_view source) {
  if (!RecordLimit(node.endpoint_limits.limits, endpoint, limit)) {
    return false;
  }
  RecordLimitedUntil(node.endpoints, endpoint, {});
  WriteLog(node.log, LogLevel::kOrdinary, "endpoint limit",
           {{"endpoint", endpoint},
            {"limited", limit.per_second.has_value()},
            {"per_second", limit.per_second.value_or(0)},
            {"source", source}});
  return true;
}

LimitVerdict ToVerdict(const pb::LimitedCallGrant& grant) {
  return {.granted = grant.granted(), .wait = Duration(grant.wait_ns())};
}

// For an endpoint that named no limit, but is cold. It must not replace a limit
// that the receiver knows.
EndpointLimit NoNamedLimit(WallMillis started_at) {
  return {.per_second = std::nullopt,
          .started_at = started_at,
          .answered_at = {},
          .announced = std::nullopt};
}

// The rate of the endpoint, if it is cold: what this instance knows, or what
// the peer knows.
std::optional<double> ColdRateForPeer(const Node& node,
                                      const pb::LimitedCallWish& wish) {
  std::optional<double> rate;
  if (const auto found = node.endpoints.endpoints.find(wish.limit().endpoint());
      found != node.endpoints.endpoints.end()) {
    rate = ColdRateOf(node.endpoints, found->second, Now());
  }
  if (wish.has_cold_per_second() && wish.cold_per_second() > 0) {
    const double reported = std::max(wish.cold_per_second(), kMinEndpointLimit);
    rate = std::min(rate.value_or(reported), reported);
  }
  return rate;
}

// The limit that applies to a peer's call.
std::optional<CallLimit> LimitForPeer(const Node& node,
                                      const pb::LimitedCallWish& wish) {
  return Combine(LimitOf(node.endpoint_limits.limits, wish.limit().endpoint(),
                         wish.limit().started_at()),
                 ColdRateForPeer(node, wish));
}

// Asks the holder of the endpoint's home slot.
// @return nothing if it is unknown, silent or no longer the holder.
Task<std::optional<LimitVerdict>> AskHome(Node& node,
                                          uint32_t slot,
                                          pb::LimitedCallWish wish) {
  const bool is_cold = wish.has_cold_per_second();
  if (ActiveSlot(node, slot) != nullptr) {
    const pb::LimitedCallGrant grant = DecideAsHome(node, wish);
    co_return grant.not_home() ? std::nullopt : std::optional(ToVerdict(grant));
  }
  Duration& silent_until = node.endpoint_limits.home_silent_until[slot];
  const PeerLinkPtr link = LinkToHolder(node, slot);
  if (link == nullptr || Now() < silent_until) {
    co_return std::nullopt;
  }
  pb::NodeFrame frame;
  *frame.mutable_limited_call_wish() = std::move(wish);
  const auto answer = co_await CallPeer(node.io, node.peers, link,
                                        std::move(frame), kHomeAnswerTimeout);
  if (!answer || !answer->has_limited_call_grant()) {
    node.endpoint_limits.home_silent_until[slot] = Now() + kSilentHomeTime;
    co_return std::nullopt;
  }
  // An older build that is the home does not know of cold endpoints.
  if (answer->limited_call_grant().not_home() ||
      (is_cold && !answer->limited_call_grant().keeps_cold_rate())) {
    co_return std::nullopt;
  }
  co_return ToVerdict(answer->limited_call_grant());
}

}  // namespace

void HandleNamedLimit(Node& node,
                      const EndpointEntry& endpoint,
                      const AnswerHeaderValues& answer) {
  if (answer.has_unreadable_rate_limit) {
    WriteLog(node.log, LogLevel::kOrdinary, "endpoint limit unreadable",
             {{"endpoint", endpoint.id}});
    return;
  }
  // An answer without a limit ends a former one only if the endpoint made it.
  if (!answer.rate_limit && !answer.sealed && !answer.not_run) {
    return;
  }
  const EndpointLimit limit{.per_second = answer.rate_limit,
                            .started_at = endpoint.started_at,
                            .answered_at = Now(),
                            .announced = std::nullopt};
  if (Record(node, endpoint.id, limit, "its answer")) {
    pb::NodeFrame frame;
    *frame.mutable_endpoint_news()->add_limits() = ToNews(endpoint.id, limit);
    SendToAll(node.peers, frame);
  }
}

void AddKnownLimits(const Node& node, pb::EndpointNews& news) {
  for (const auto& [endpoint, limit] : node.endpoint_limits.limits) {
    *news.add_limits() = ToNews(endpoint, limit);
  }
}

void ApplyLimitNews(Node& node, const pb::EndpointLimitNews& news) {
  Record(node, news.endpoint(), FromNews(news), "a peer");
}

Task<LimitVerdict> ReserveLimitedCall(Node& node,
                                      LimitedCall call,
                                      WallMillis started_at) {
  pb::LimitedCallWish wish;
  const auto known = node.endpoint_limits.limits.find(call.endpoint);
  *wish.mutable_limit() =
      ToNews(call.endpoint, known != node.endpoint_limits.limits.end()
                                ? known->second
                                : NoNamedLimit(started_at));
  if (call.is_cold) {
    wish.set_cold_per_second(call.per_second);
  }
  wish.set_max_wait_ns(static_cast<uint64_t>(call.max_wait.count()));
  wish.set_spare_only(call.spare_only);
  const auto verdict =
      co_await AskHome(node, HomeSlotOf(node, call.endpoint), std::move(wish));
  if (verdict) {
    node.endpoint_limits.without_home.next_call_at.erase(call.endpoint);
    co_return *verdict;
  }
  co_return ReserveCallWithoutHome(
      node.endpoint_limits.without_home, call, node.fleet.members.size() + 1,
      FirstCallPhase(node.options.instance, call.endpoint), Now());
}

pb::LimitedCallGrant DecideAsHome(Node& node, const pb::LimitedCallWish& wish) {
  const std::string& endpoint = wish.limit().endpoint();
  pb::LimitedCallGrant grant;
  if (const HeldSlotPtr slot = ActiveSlot(node, HomeSlotOf(node, endpoint));
      slot == nullptr || !MayActAsHolder(node, slot)) {
    grant.set_not_home(true);
    return grant;
  }
  Record(node, endpoint, FromNews(wish.limit()), "a peer");
  const auto limit = LimitForPeer(node, wish);
  LimitVerdict verdict{.granted = true, .wait = {}};
  if (limit) {
    verdict = ReserveCall(node.endpoint_limits.home,
                          {.endpoint = endpoint,
                           .per_second = limit->per_second,
                           .max_wait = Duration(wish.max_wait_ns()),
                           .spare_only = wish.spare_only(),
                           .is_cold = limit->is_cold},
                          Now());
  }
  grant.set_keeps_cold_rate(true);
  grant.set_granted(verdict.granted);
  grant.set_wait_ns(static_cast<uint64_t>(verdict.wait.count()));
  return grant;
}

void ForgetEndedLimits(Node& node) {
  EndpointLimitState& state = node.endpoint_limits;
  DropEndedLimits(state.limits, node.endpoints, Now());
  // The calls of a cold endpoint are spaced beyond this review, and its peers
  // may know that it is cold before this instance does.
  const Duration unused_since = Now() - kUnusedSpacingTime;
  const auto has_ended = [&](const auto& entry) {
    return !state.limits.contains(entry.first) && entry.second < unused_since;
  };
  std::erase_if(state.home.next_call_at, has_ended);
  std::erase_if(state.without_home.next_call_at, has_ended);
}

}  // namespace celerykeel

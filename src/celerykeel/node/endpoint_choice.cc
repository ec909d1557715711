#include "celerykeel/node/endpoint_choice.h"

#include <algorithm>  // for std::min, std::max
#include <set>        // for std::set
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/core/cold_endpoints.h"   // for CallLimitOf
#include "celerykeel/node/endpoint_limits.h"  // for ReserveLimitedCall
#include "celerykeel/node/isolation.h"        // for Isolation
#include "celerykeel/node/node.h"             // for Node
#include "celerykeel/node/regions.h"          // for RegionLimitsOf

namespace celerykeel {

namespace {

// Part of the time left for which a call waits at most until a limited endpoint
// takes it, and the longest such wait. A longer wait would use up the target
// latency of most calls; the caller may retry instead.
constexpr int kLimitWaitDivisor = 4;
constexpr Duration kMaxLimitWait = std::chrono::milliseconds(250);
// A call that has been tried before is not refused for a wait of this length,
// as its caller can't repeat every such call.
constexpr Duration kMaxLimitWaitAfterTry = std::chrono::seconds(1);
// Homes that a call asks at most before it is refused. Later calls know what
// these homes answered.
constexpr int kMaxLimitRequests = 12;
// Longest time for which a refused call lowers the rank of a cold endpoint.
constexpr Duration kMaxColdRankTime = std::chrono::milliseconds(500);
constexpr Duration kMinLimitRetry = std::chrono::milliseconds(100);

EndpointStatus* Choose(Node& node,
                       const Call& call,
                       const std::set<std::string>& excluded) {
  const Duration now = Now();
  const bool by_subject = call.route->has_affinity;
  const CallHeaderValues& header_values = call.request.header_values;
  const EndpointCriteria criteria{
      .service = call.service,
      .zone = node.options.zone,
      .subject = !header_values.program.empty() && by_subject
                     ? header_values.program
                 : !header_values.object.empty() ? header_values.object
                                                 : header_values.id,
      .preferred = call.preferred_endpoint,
      .prefers_subject = by_subject,
      .version = call.origin ? call.origin->version : std::string_view(),
      .recorded_versions = call.route->resumable && !call.origin
                               ? &node.version_feed.versions
                               : nullptr,
      .excluded = &excluded,
      .only = call.isolation == nullptr ? std::string_view()
                                        : call.isolation->Endpoint(),
      .is_suspect = SuspicionOf(node.crash_watch.records, call.identity, now) !=
                    Suspicion::kNone,
      .regions = RegionLimitsOf(node, call),
      .call = header_values.id,
      .may_probe = call.route->repeat == RepeatRule::kIdempotent &&
                   call.tries == 0 && call.isolation == nullptr,
      .zone_shares = ZoneSharesOf(node, call.service)};
  return ChooseEndpoint(node.endpoints, criteria, now);
}

Duration MaxLimitWait(const Call& call) {
  return std::min(TimeLeft(call) / kLimitWaitDivisor,
                  call.tries == 0 ? kMaxLimitWait : kMaxLimitWaitAfterTry);
}

// A program does not wait for its last endpoint while that is cold and slow.
Duration PreferredWait(const CallLimit& limit) {
  return limit.is_cold ? Duration::zero() : kPreferredLimitWait;
}

// @param waits whether all endpoints are known to require a wait.
LimitedCall LimitedCallTo(const Call& call,
                          const std::string& endpoint,
                          const CallLimit& limit,
                          bool waits,
                          Duration max_wait) {
  LimitedCall limited{.endpoint = endpoint,
                      .per_second = limit.per_second,
                      .is_cold = limit.is_cold};
  if (waits) {
    limited.max_wait = max_wait;
  } else if (endpoint == call.preferred_endpoint) {
    limited.max_wait = PreferredWait(limit);
  } else {
    limited.spare_only = call.route->has_affinity;
  }
  return limited;
}

}  // namespace

const EndpointStatus* ChooseApart(Node& node, const Call& call) {
  const EndpointStatus* chosen = Choose(node, call, call.tried);
  const Duration now = Now();
  return chosen == nullptr || chosen->avoid_until > now ||
                 chosen->runs_alone_until > now
             ? nullptr
             : chosen;
}

bool MaySend(const Node& node, const EndpointChoice& choice) {
  if (choice.permit) {
    return !HasExpired(*choice.permit, Now());
  }
  const auto found = node.endpoints.endpoints.find(choice.endpoint.id);
  return found == node.endpoints.endpoints.end() ||
         !ColdRateOf(node.endpoints, found->second, Now());
}

// An endpoint whose limit allows a call at once, or that has no limit, ranks
// before those that are known to require a wait, except a short one at the
// subject's last endpoint. So the first request to a home asks for a call
// without a wait; a wait is requested once every endpoint is known to require
// one.
Task<tl::expected<EndpointChoice, NoChoice>> ChooseForCall(Node& node,
                                                           CallPtr call) {
  std::set<std::string> excluded = call->tried;
  std::optional<Duration> shortest_wait;
  Duration max_wait = MaxLimitWait(*call);
  bool is_any_cold = false;
  int requests = 0;
  while (const EndpointStatus* status = Choose(node, *call, excluded)) {
    const EndpointEntry endpoint = status->entry;
    const auto limit = CallLimitOf(node.endpoint_limits.limits, node.endpoints,
                                   *status, Now());
    if (!limit) {
      co_return EndpointChoice{endpoint, std::nullopt, std::nullopt};
    }
    const bool is_preferred = endpoint.id == call->preferred_endpoint;
    Duration wait = std::max(status->limited_until - Now(), Duration::zero());
    const bool waits =
        wait > (is_preferred ? PreferredWait(*limit) : Duration::zero());
    if (wait <= max_wait && requests < kMaxLimitRequests) {
      ++requests;
      const Duration requested_at = Now();
      LimitedCall limited =
          LimitedCallTo(*call, endpoint.id, *limit, waits, max_wait);
      // GCC 12 destroys a temporary twice if it is created inside a co_await.
      const LimitVerdict verdict = co_await ReserveLimitedCall(
          node, std::move(limited), endpoint.started_at);
      if (verdict.granted) {
        const LimitPermit permit =
            PermitFor(verdict, requested_at, limit->is_cold);
        if (limit->is_cold && verdict.wait > Duration::zero()) {
          Count(node.metrics.cold_waits, "outcome", "delayed");
        }
        if (permit.valid_from > Now()) {
          co_await Sleep(node.io, permit.valid_from - Now());
        }
        co_return EndpointChoice{endpoint, limit->per_second, permit};
      }
      // A share without a home may be a call in minutes, but the home may
      // answer again soon, and the endpoint is not cold for long.
      const Duration known_wait = limit->is_cold
                                      ? std::min(verdict.wait, kMaxColdRankTime)
                                      : verdict.wait;
      RecordLimitedUntil(node.endpoints, endpoint.id, Now() + known_wait);
      if (!waits) {
        continue;
      }
      wait = verdict.wait;
    }
    is_any_cold = is_any_cold || limit->is_cold;
    shortest_wait = std::min(shortest_wait.value_or(wait), wait);
    excluded.insert(endpoint.id);
  }
  if (shortest_wait) {
    if (is_any_cold) {
      Count(node.metrics.cold_waits, "outcome", "refused");
    }
    max_wait = MaxLimitWait(*call);
    co_return tl::unexpected(NoChoice(
        EndpointsLimited{std::max(*shortest_wait - max_wait, kMinLimitRetry)}));
  }
  co_return tl::unexpected(NoChoice(NoEndpoint{}));
}

}  // namespace celerykeel

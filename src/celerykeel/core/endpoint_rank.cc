#include <algorithm>  // for std::any_of, std::copy_if, std::partial_sort
#include <cmath>      // for std::log, std::exp
#include <iterator>   // for std::ssize, std::back_inserter
#include <tuple>      // for std::tuple
#include <utility>    // for std::pair
#include <vector>     // for std::vector

#include "celerykeel/core/cold_endpoints.h"  // for ColdRateOf
#include "celerykeel/core/endpoint_table.h"  // for ChooseEndpoint
#include "celerykeel/core/rendezvous.h"      // for RendezvousWeight

namespace celerykeel {

namespace {

// Load (calls per slot) from which another endpoint is preferred to the
// subject's last one.
constexpr double kMaxPreferredLoad = 0.85;
// A loaded endpoint keeps its subject unless another one has a load this much
// lower, as a move costs reading the subject's prompt again.
constexpr double kPreferredLoadMargin = 0.3;
// Load of the own zone's endpoints from which calls that do not prefer their
// subject's endpoint begin to go to other zones; from twice this load on, zones
// don't count.
constexpr double kMaxSameZoneLoad = 0.34;

// Speed factor from which an idle endpoint does not keep its subjects: reading
// a prompt again costs about as much as the time to the first event at an
// endpoint that is this much slower.
constexpr double kTooSlowFactor = 3;
// Range of loads in which a growing part of the calls on a subject leaves its
// endpoint.
constexpr double kMinSubjectLoad = 0.6;
constexpr double kSubjectLoadSpread = 0.6;
// Mean load of a zone's endpoints from which calls leave it, whatever the
// shares say: from the first for some, from the sum for all. Shares follow a
// change only after some updates.
constexpr double kMinFullZoneLoad = 0.9;
constexpr double kFullZoneSpread = 0.3;
constexpr double kMinFraction = 1e-12;  // has a logarithm
// How strongly the load of an endpoint reduces its share of the calls. Old
// loads make the shares of all instances swing together if this is much higher.
constexpr double kLoadDamping = 0.5;

bool IsTooSlow(const EndpointStatus& endpoint) {
  return endpoint.speed_factor >= kTooSlowFactor;
}

// Returns the load that equally fast endpoints would have at which a call takes
// as long as at this one: (calls + 1) x factor / slots, without the call
// itself.
double WeightedLoad(const EndpointStatus& endpoint) {
  const double calls = endpoint.in_flight + endpoint.in_flight_from_peers;
  return ((calls + 1) * endpoint.speed_factor - 1) /
         std::max(endpoint.entry.slots, 1U);
}

bool TakesWork(const EndpointTable& table,
               const EndpointStatus& endpoint,
               const EndpointCriteria& criteria) {
  return endpoint.entry.service == criteria.service &&
         AcceptsCalls(table, endpoint) &&
         IsZoneAllowed(criteria.regions, endpoint.entry.zone) &&
         (criteria.only.empty() || endpoint.entry.id == criteria.only) &&
         (criteria.version.empty() ||
          endpoint.entry.version == criteria.version) &&
         (criteria.recorded_versions == nullptr ||
          IsVersionInUse(*criteria.recorded_versions, endpoint.entry.service,
                         endpoint.entry.version)) &&
         (criteria.excluded == nullptr ||
          !criteria.excluded->contains(endpoint.entry.id));
}

bool HasColdEndpoints(const EndpointTable& table,
                      std::string_view service,
                      Duration now) {
  return table.cold_traits.contains(service) &&
         std::any_of(table.endpoints.begin(), table.endpoints.end(),
                     [&](const auto& entry) {
                       return entry.second.entry.service == service &&
                              ColdRateOf(table, entry.second, now).has_value();
                     });
}

// Returns the wait for the endpoint's rate limit; 0 if it is short enough to
// keep the subject's last endpoint.
Duration LimitWait(const EndpointStatus& endpoint,
                   bool is_preferred,
                   Duration now) {
  const Duration wait =
      std::max(endpoint.limited_until - now, Duration::zero());
  return is_preferred && wait <= kPreferredLimitWait ? Duration::zero() : wait;
}

// As WeightedLoad, of this instance's calls alone.
double OwnLoad(const EndpointStatus& endpoint) {
  return (endpoint.in_flight + 1) * endpoint.speed_factor /
         std::max(endpoint.entry.slots, 1U);
}

using Candidates = std::vector<EndpointStatus*>;

// Ranks by load above the limit, the subject's last endpoint or the zone, and
// the subject's rendezvous weight. An endpoint that is slow loses its subjects
// if that is worth reading their prompts again at another one.
EndpointStatus* LeastLoaded(const Candidates& candidates,
                            const EndpointCriteria& criteria) {
  const bool prefers_subject = criteria.prefers_subject && !criteria.is_suspect;
  const double ignored_load = prefers_subject ? kMaxPreferredLoad : 0;
  EndpointStatus* best = nullptr;
  std::tuple<double, bool, uint64_t> lowest;
  for (EndpointStatus* endpoint : candidates) {
    const std::string& id = endpoint->entry.id;
    const bool is_preferred = id == criteria.preferred;
    const double load =
        WeightedLoad(*endpoint) -
        (prefers_subject && is_preferred ? kPreferredLoadMargin : 0);
    const std::tuple<double, bool, uint64_t> rank{
        load < ignored_load && !IsTooSlow(*endpoint) ? 0 : load,
        prefers_subject ? !is_preferred : endpoint->entry.zone != criteria.zone,
        ~RendezvousWeight(criteria.subject, id)};
    if (best == nullptr || rank < lowest) {
      best = endpoint;
      lowest = rank;
    }
  }
  return best;
}

// Chooses a slow endpoint that is due for another try, if any.
EndpointStatus* ChooseToProbe(const Candidates& candidates,
                              const EndpointCriteria& criteria,
                              Duration now) {
  if (criteria.may_probe) {
    for (EndpointStatus* endpoint : candidates) {
      if (IsSlow(*endpoint) && endpoint->probe_at <= now) {
        endpoint->probe_at = now + endpoint->probe_interval;
        return endpoint;
      }
    }
  }
  return nullptr;
}

// Returns a number in [0, 1] that differs from call to call.
double Draw(const EndpointCriteria& criteria, std::string_view name) {
  return FractionOfHash(RendezvousWeight(
      criteria.call.empty() ? criteria.subject : criteria.call, name));
}

// Chooses the endpoint of the subject; nullptr if it is full. The load from
// which it counts as full differs from call to call: the part of the calls that
// leaves it grows with its load, rather than all instances leaving it at once.
// The calls that leave spread over the others: together they would overload the
// subject's second endpoint too.
EndpointStatus* ChooseBySubject(const Candidates& candidates,
                                const EndpointCriteria& criteria) {
  EndpointStatus* best = nullptr;
  uint64_t highest = 0;
  for (EndpointStatus* endpoint : candidates) {
    const uint64_t weight =
        RendezvousWeight(criteria.subject, endpoint->entry.id);
    if (!IsTooSlow(*endpoint) && (best == nullptr || weight > highest)) {
      best = endpoint;
      highest = weight;
    }
  }
  const double full = kMinSubjectLoad + kSubjectLoadSpread * Draw(criteria, "");
  return best == nullptr || LoadOf(*best) >= full ? nullptr : best;
}

Candidates InZone(const Candidates& candidates, std::string_view zone) {
  Candidates near;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(near),
               [zone](const EndpointStatus* endpoint) {
                 return endpoint->entry.zone == zone;
               });
  return near;
}

// Returns the candidates in the zone that the call should go to, or all of them
// if there is none or the zone's load is high. The load from which it counts as
// high differs from call to call, so that calls leave and return gradually.
Candidates InZoneOfCall(const Candidates& candidates,
                        const EndpointCriteria& criteria) {
  const ZoneShares* shares = criteria.zone_shares;
  if (shares == nullptr && criteria.prefers_subject) {
    return candidates;
  }
  Candidates near;
  if (shares != nullptr) {
    // All new calls on a subject go to the same zone.
    const double draw =
        criteria.prefers_subject
            ? FractionOfHash(RendezvousWeight(criteria.subject, criteria.zone))
            : Draw(criteria, criteria.zone);
    near = InZone(candidates, ZoneOfCall(*shares, criteria.zone, draw));
  }
  if (near.empty()) {
    near = InZone(candidates, criteria.zone);
  }
  double load = 0;
  for (const EndpointStatus* endpoint : near) {
    load += WeightedLoad(*endpoint);
  }
  const double high =
      shares != nullptr
          ? kMinFullZoneLoad + kFullZoneSpread * Draw(criteria, "")
          : kMaxSameZoneLoad * (1 + Draw(criteria, ""));
  return load < high * double(near.size()) ? near : candidates;
}

bool Contains(const Candidates& candidates, std::string_view id) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [id](const EndpointStatus* endpoint) {
                       return endpoint->entry.id == id;
                     });
}

// Returns the part of the calls that an endpoint should get, relative to the
// others. An endpoint that is slow gets little more than probes, unless the
// others are full.
double ShareOf(const EndpointStatus& endpoint) {
  const double factor = endpoint.speed_factor;
  return std::max(endpoint.entry.slots, 1U) /
         (IsSlow(endpoint) ? factor * factor : factor) *
         std::exp(-kLoadDamping * LoadOf(endpoint));
}

// Draws two endpoints in proportion to their shares, and takes the one that has
// fewer calls of this instance. Loads that peers reported are older than most
// calls take: if all instances took the least loaded endpoint, they would
// overload it together.
EndpointStatus* ChooseOfTwo(const Candidates& candidates,
                            const EndpointCriteria& criteria) {
  std::vector<std::pair<double, EndpointStatus*>> drawn;
  for (EndpointStatus* endpoint : candidates) {
    const double fraction =
        std::max(Draw(criteria, endpoint->entry.id), kMinFraction);
    drawn.emplace_back(-std::log(fraction) / ShareOf(*endpoint), endpoint);
  }
  const auto end =
      drawn.begin() + std::min<std::ptrdiff_t>(2, std::ssize(drawn));
  std::partial_sort(drawn.begin(), end, drawn.end());
  return std::min_element(drawn.begin(), end,
                          [](const auto& a, const auto& b) {
                            return OwnLoad(*a.second) < OwnLoad(*b.second);
                          })
      ->second;
}

}  // namespace

bool TakesWork(const EndpointTable& table, const StreamOrigin& origin) {
  const EndpointCriteria criteria{.service = origin.service,
                                  .zone = {},
                                  .subject = {},
                                  .preferred = {},
                                  .version = origin.version};
  return std::any_of(table.endpoints.begin(), table.endpoints.end(),
                     [&](const auto& entry) {
                       return TakesWork(table, entry.second, criteria);
                     });
}

bool IsUsable(const EndpointTable& table,
              const EndpointStatus& endpoint,
              Duration now) {
  return AcceptsCalls(table, endpoint) && !endpoint.lapsed_at &&
         endpoint.avoid_until <= now && endpoint.isolated_until <= now &&
         endpoint.limited_until <= now;
}

// Ranks endpoints by recent failures, a lapsed entry, an isolation, coldness
// and the wait for their rate limit, in this order. Endpoints to avoid rank
// last instead of being excluded: if all of them fail, a call is still tried at
// one of them. A full endpoint ranks with the cold ones, as it would serve a
// further call as slowly.
EndpointStatus* ChooseEndpoint(EndpointTable& table,
                               const EndpointCriteria& criteria,
                               Duration now) {
  Candidates equals;
  using Rank = std::tuple<bool, bool, bool, bool, Duration>;
  Rank lowest;
  const bool has_cold = HasColdEndpoints(table, criteria.service, now);
  for (auto& [id, endpoint] : table.endpoints) {
    if (!TakesWork(table, endpoint, criteria)) {
      continue;
    }
    const bool is_cold =
        has_cold && ColdRateOf(table, endpoint, now).has_value();
    const Rank rank{
        endpoint.avoid_until > now, endpoint.lapsed_at.has_value(),
        criteria.is_suspect ? endpoint.runs_alone_until > now
                            : endpoint.isolated_until > now,
        has_cold && (is_cold || LoadOf(endpoint) >= 1),
        LimitWait(endpoint, id == criteria.preferred && !is_cold, now)};
    if (equals.empty() || rank < lowest) {
      equals.clear();
      lowest = rank;
    }
    if (rank == lowest) {
      equals.push_back(&endpoint);
    }
  }
  if (equals.empty()) {
    return nullptr;
  }
  const bool prefers_subject = criteria.prefers_subject && !criteria.is_suspect;
  // With prices, a program that has lost its endpoint counts as a new one.
  const bool has_endpoint = criteria.zone_shares == nullptr
                                ? !criteria.preferred.empty()
                                : Contains(equals, criteria.preferred);
  if (criteria.is_suspect || (prefers_subject && has_endpoint)) {
    return LeastLoaded(equals, criteria);
  }
  if (EndpointStatus* probed = ChooseToProbe(equals, criteria, now)) {
    return probed;
  }
  const Candidates near = InZoneOfCall(equals, criteria);
  if (prefers_subject) {
    EndpointStatus* chosen = ChooseBySubject(near, criteria);
    return chosen != nullptr ? chosen : ChooseOfTwo(near, criteria);
  }
  return ChooseOfTwo(near, criteria);
}

}  // namespace celerykeel

#include "celerykeel/core/endpoint_table.h"

#include <algorithm>  // for std::any_of, std::min, std::max
#include <cstddef>    // for size_t
#include <tuple>      // for std::tuple

#include "celerykeel/core/cold_endpoints.h"  // for ColdRateOf
#include "celerykeel/core/rendezvous.h"      // for RendezvousWeight

namespace celerykeel {

namespace {

constexpr Duration kFirstAvoidance = std::chrono::milliseconds(300);
constexpr Duration kMaxAvoidance = std::chrono::seconds(3);
constexpr uint32_t kMaxDoublings = 4;  // enough to reach kMaxAvoidance
// Enough for several releases of the largest planned service.
constexpr size_t kMaxDepartures = 16384;
// Load (calls per slot) from which another endpoint is preferred to the
// subject's last one.
constexpr double kMaxPreferredLoad = 0.85;
// A loaded endpoint keeps its subject unless another one has a load this much
// lower, as a move costs reading the subject's prompt again.
constexpr double kPreferredLoadMargin = 0.3;
// Load from which a call that does not prefer its subject's endpoint goes to a
// less loaded one. Below it, an endpoint in the own zone is preferred.
constexpr double kMaxSameZoneLoad = 0.34;

double Load(const EndpointStatus& endpoint) {
  return double(endpoint.in_flight + endpoint.in_flight_from_peers) /
         std::max(endpoint.entry.slots, 1U);
}

bool TakesWork(const EndpointTable& table,
               const EndpointStatus& endpoint,
               const EndpointCriteria& criteria) {
  return endpoint.entry.service == criteria.service &&
         !IsEvacuated(table.evacuations, endpoint.entry.zone) &&
         IsZoneAllowed(criteria.regions, endpoint.entry.zone) &&
         (criteria.only.empty() || endpoint.entry.id == criteria.only) &&
         !endpoint.entry.leaving && !HasDeparted(table, endpoint.entry) &&
         (criteria.version.empty() ||
          endpoint.entry.version == criteria.version) &&
         (criteria.recorded_versions == nullptr ||
          IsVersionInUse(*criteria.recorded_versions, endpoint.entry.service,
                         endpoint.entry.version)) &&
         (criteria.excluded == nullptr ||
          !criteria.excluded->contains(endpoint.entry.id));
}

// True if an entry that is removed now may reappear: the store became available
// again less than kEntryReturnTime ago.
bool MayReappear(const EndpointTable& table, Duration now) {
  return table.store_available_since &&
         now < *table.store_available_since + kEntryReturnTime;
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

}  // namespace

void RecordEntry(EndpointTable& table, const EndpointEntry& entry) {
  EndpointStatus& endpoint = table.endpoints[entry.id];
  if (!endpoint.entry.id.empty() &&
      (entry.started_at < endpoint.entry.started_at ||
       (entry.started_at == endpoint.entry.started_at &&
        entry.beat < endpoint.entry.beat))) {
    return;
  }
  if (entry.started_at != endpoint.entry.started_at) {
    endpoint.failures = 0;
    endpoint.avoid_until = {};
    endpoint.limited_until = {};
    endpoint.isolated_until = {};
    endpoint.runs_alone_until = {};
    endpoint.cold_until = {};
    endpoint.presumed_cold_at.reset();
    endpoint.cold_said_at.reset();
  }
  endpoint.entry = entry;
  endpoint.lapsed_at.reset();
}

void RecordRemoval(EndpointTable& table, std::string_view id, Duration now) {
  const auto found = table.endpoints.find(id);
  if (found == table.endpoints.end()) {
    return;
  }
  if (MayReappear(table, now)) {
    found->second.lapsed_at = now;
    return;
  }
  table.endpoints.erase(found);
}

bool RecordDeparture(EndpointTable& table,
                     std::string_view id,
                     WallMillis started_at) {
  const auto found = table.departures.find(id);
  if (found == table.departures.end()) {
    if (table.departures.size() >= kMaxDepartures) {
      return false;
    }
    table.departures.emplace(id, started_at);
    return true;
  }
  const bool is_new_departure = started_at > found->second;
  found->second = std::max(found->second, started_at);
  return is_new_departure;
}

bool HasDeparted(const EndpointTable& table, const EndpointEntry& entry) {
  const auto found = table.departures.find(entry.id);
  return found != table.departures.end() && entry.started_at <= found->second;
}

void DropLapsed(EndpointTable& table, Duration now) {
  if (MayReappear(table, now)) {
    return;
  }
  std::erase_if(table.endpoints, [](const auto& entry) {
    return entry.second.lapsed_at.has_value();
  });
}

void RecordFailure(EndpointTable& table, std::string_view id, Duration now) {
  if (const auto found = table.endpoints.find(id);
      found != table.endpoints.end()) {
    const uint32_t doublings = std::min(found->second.failures, kMaxDoublings);
    ++found->second.failures;
    found->second.avoid_until =
        now + std::min(kFirstAvoidance * (1 << doublings), kMaxAvoidance);
  }
}

void RecordSuccess(EndpointTable& table, std::string_view id) {
  if (const auto found = table.endpoints.find(id);
      found != table.endpoints.end()) {
    found->second.failures = 0;
    found->second.avoid_until = {};
  }
}

void RecordCrash(EndpointTable& table,
                 const EndpointStart& endpoint,
                 Duration crashed_at) {
  if (const auto found = table.endpoints.find(endpoint.endpoint);
      found != table.endpoints.end() &&
      found->second.entry.started_at == endpoint.started_at) {
    found->second.avoid_until =
        std::max(found->second.avoid_until, crashed_at + kMaxAvoidance);
    PresumeCold(table, endpoint.endpoint);
  }
}

bool RecordIsolation(EndpointTable& table,
                     std::string_view id,
                     const std::string& instance,
                     Duration runs_until,
                     Duration now) {
  const auto found = table.endpoints.find(id);
  if (found == table.endpoints.end()) {
    return false;
  }
  EndpointStatus& endpoint = found->second;
  if (endpoint.runs_alone_until > now && endpoint.isolated_by < instance) {
    return false;
  }
  if (runs_until <= now && endpoint.isolated_by != instance) {
    return false;
  }
  endpoint.isolated_by = instance;
  endpoint.runs_alone_until = runs_until;
  endpoint.isolated_until = std::max(runs_until, now + kIsolationLinger);
  return true;
}

void RecordLimitedUntil(EndpointTable& table,
                        std::string_view id,
                        Duration until) {
  if (const auto found = table.endpoints.find(id);
      found != table.endpoints.end()) {
    found->second.limited_until = until;
  }
}

bool IsServiceEvacuated(const EndpointTable& table, std::string_view service) {
  if (table.evacuations.zones.empty()) {
    return false;
  }
  bool is_any_evacuated = false;
  for (const auto& [id, endpoint] : table.endpoints) {
    if (endpoint.entry.service != service || endpoint.entry.leaving ||
        HasDeparted(table, endpoint.entry)) {
      continue;
    }
    if (!IsEvacuated(table.evacuations, endpoint.entry.zone)) {
      return false;
    }
    is_any_evacuated = true;
  }
  return is_any_evacuated;
}

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

// Ranks endpoints by recent failures, a lapsed entry, an isolation, coldness,
// the wait for their rate limit, load above the limit, the subject's last
// endpoint or the zone, and the subject's rendezvous weight, in this order.
// Endpoints to avoid rank last instead of being excluded: if all of them fail,
// a call is still tried at one of them. A full endpoint ranks with the cold
// ones, as it would serve a further call as slowly.
EndpointStatus* ChooseEndpoint(EndpointTable& table,
                               const EndpointCriteria& criteria,
                               Duration now) {
  const bool prefers_subject = criteria.prefers_subject && !criteria.is_suspect;
  const double ignored_load = criteria.is_suspect ? 0
                              : prefers_subject   ? kMaxPreferredLoad
                                                  : kMaxSameZoneLoad;
  EndpointStatus* best = nullptr;
  using Rank =
      std::tuple<bool, bool, bool, bool, Duration, double, bool, uint64_t>;
  Rank lowest;
  const bool has_cold = HasColdEndpoints(table, criteria.service, now);
  for (auto& [id, endpoint] : table.endpoints) {
    if (!TakesWork(table, endpoint, criteria)) {
      continue;
    }
    const bool is_preferred = id == criteria.preferred;
    const bool keeps_subject = prefers_subject && is_preferred;
    const double load =
        Load(endpoint) - (keeps_subject ? kPreferredLoadMargin : 0);
    const bool is_cold =
        has_cold && ColdRateOf(table, endpoint, now).has_value();
    const Rank rank{
        endpoint.avoid_until > now,
        endpoint.lapsed_at.has_value(),
        criteria.is_suspect ? endpoint.runs_alone_until > now
                            : endpoint.isolated_until > now,
        has_cold && (is_cold || Load(endpoint) >= 1),
        LimitWait(endpoint, is_preferred && !is_cold, now),
        load < ignored_load ? 0 : load,
        prefers_subject ? !is_preferred : endpoint.entry.zone != criteria.zone,
        ~RendezvousWeight(criteria.subject, id)};
    if (best == nullptr || rank < lowest) {
      best = &endpoint;
      lowest = rank;
    }
  }
  return best;
}

}  // namespace celerykeel

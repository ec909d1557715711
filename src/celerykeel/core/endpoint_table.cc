#include "celerykeel/core/endpoint_table.h"

#include <algorithm>  // for std::min, std::max
#include <cstddef>    // for size_t

#include "celerykeel/core/cold_endpoints.h"  // for PresumeCold

namespace celerykeel {

namespace {

constexpr Duration kFirstAvoidance = std::chrono::milliseconds(300);
constexpr Duration kMaxAvoidance = std::chrono::seconds(3);
constexpr uint32_t kMaxDoublings = 4;  // enough to reach kMaxAvoidance
// Enough for several releases of the largest planned service.
constexpr size_t kMaxDepartures = 16384;

// True if an entry that is removed now may reappear: the store became available
// again less than kEntryReturnTime ago.
bool MayReappear(const EndpointTable& table, Duration now) {
  return table.store_available_since &&
         now < *table.store_available_since + kEntryReturnTime;
}

}  // namespace

bool IsSlow(const EndpointStatus& endpoint) {
  return endpoint.speed_factor >= kSlowFactor;
}

double LoadOf(const EndpointStatus& endpoint) {
  return double(endpoint.in_flight + endpoint.in_flight_from_peers) /
         std::max(endpoint.entry.slots, 1U);
}

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

bool AcceptsCalls(const EndpointTable& table, const EndpointStatus& endpoint) {
  return !endpoint.entry.leaving && !HasDeparted(table, endpoint.entry) &&
         !IsEvacuated(table.evacuations, endpoint.entry.zone);
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

}  // namespace celerykeel

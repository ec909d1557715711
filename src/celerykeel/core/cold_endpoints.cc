#include "celerykeel/core/cold_endpoints.h"

#include <algorithm>  // for std::max, std::min

namespace celerykeel {

namespace {

// An entry of the crashed process may be read after the crash. Endpoints write
// one at each heartbeat.
constexpr uint64_t kEntriesBeforeCrash = 2;

}  // namespace

void SetColdTraits(EndpointTable& table, const Deployment& deployment) {
  table.cold_traits.clear();
  for (const auto& [name, service] : deployment.services) {
    if (service.cold_per_second > 0) {
      table.cold_traits[name] = {.per_second = service.cold_per_second,
                                 .after_start = service.cold_start};
    }
  }
}

bool RecordColdness(EndpointTable& table,
                    const EndpointEntry& entry,
                    bool began_in_service,
                    Duration now) {
  const auto found = table.endpoints.find(entry.id);
  if (found == table.endpoints.end()) {
    return false;
  }
  EndpointStatus& endpoint = found->second;
  // The time counts from the first reading of an entry, which may be read again
  // in the complete list.
  if (endpoint.entry.started_at != entry.started_at ||
      endpoint.entry.beat != entry.beat ||
      (endpoint.cold_said_at && entry.beat <= *endpoint.cold_said_at)) {
    return false;
  }
  const auto traits = table.cold_traits.find(entry.service);
  const bool was_cold = ColdRateOf(table, endpoint, now).has_value();
  const bool was_presumed = endpoint.presumed_cold_at.has_value();
  const Duration known_until = endpoint.cold_until;
  if (entry.warming) {
    endpoint.cold_until = now + *entry.warming;
  } else if (!endpoint.cold_said_at && began_in_service &&
             traits != table.cold_traits.end()) {
    endpoint.cold_until = now + traits->second.after_start;
  }
  endpoint.cold_said_at = entry.beat;
  if (was_presumed && entry.beat > *endpoint.presumed_cold_at) {
    endpoint.presumed_cold_at.reset();
  }
  if (traits == table.cold_traits.end()) {
    return false;
  }
  if (was_presumed != endpoint.presumed_cold_at.has_value()) {
    return true;
  }
  const bool is_cold = ColdRateOf(table, endpoint, now).has_value();
  if (is_cold && !was_cold) {
    return true;
  }
  const Duration difference =
      std::max(endpoint.cold_until, now) - std::max(known_until, now);
  return difference > kColdTimeChange || difference < -kColdTimeChange;
}

void PresumeCold(EndpointTable& table, std::string_view id) {
  if (const auto found = table.endpoints.find(id);
      found != table.endpoints.end()) {
    found->second.presumed_cold_at =
        found->second.entry.beat + kEntriesBeforeCrash;
  }
}

void PresumeZoneCold(EndpointTable& table, std::string_view zone) {
  for (auto& [id, endpoint] : table.endpoints) {
    if (endpoint.entry.zone == zone && !endpoint.presumed_cold_at) {
      endpoint.presumed_cold_at = endpoint.entry.beat;
    }
  }
}

std::optional<double> ColdRateOf(const EndpointTable& table,
                                 const EndpointStatus& endpoint,
                                 Duration now) {
  if (table.cold_traits.empty() ||
      (endpoint.cold_until <= now && !endpoint.presumed_cold_at)) {
    return std::nullopt;
  }
  const auto traits = table.cold_traits.find(endpoint.entry.service);
  if (traits == table.cold_traits.end()) {
    return std::nullopt;
  }
  return std::max(traits->second.per_second, kMinEndpointLimit);
}

std::optional<CallLimit> Combine(std::optional<double> named,
                                 std::optional<double> cold) {
  if (!named && !cold) {
    return std::nullopt;
  }
  return CallLimit{.per_second = named && cold ? std::min(*named, *cold)
                                 : named       ? *named
                                               : *cold,
                   .is_cold = cold.has_value()};
}

std::optional<CallLimit> CallLimitOf(const EndpointLimits& limits,
                                     const EndpointTable& table,
                                     const EndpointStatus& endpoint,
                                     Duration now) {
  return Combine(LimitOf(limits, endpoint.entry.id, endpoint.entry.started_at),
                 ColdRateOf(table, endpoint, now));
}

}  // namespace celerykeel

#include "celerykeel/core/endpoint_limit.h"

#include <algorithm>  // for std::max
#include <cmath>      // for std::abs
#include <tuple>      // for std::tie

namespace celerykeel {

namespace {

bool DiffersFromAnnounced(const EndpointLimit& limit) {
  if (limit.per_second.has_value() != limit.announced.has_value()) {
    return true;
  }
  return limit.per_second && std::abs(*limit.per_second - *limit.announced) >
                                 kAnnouncedLimitChange * *limit.announced;
}

}  // namespace

bool RecordLimit(EndpointLimits& limits,
                 std::string_view id,
                 const EndpointLimit& limit) {
  const auto found = limits.find(id);
  if (found == limits.end()) {
    if (!limit.per_second) {
      return false;
    }
    EndpointLimit& added = limits[std::string(id)] = limit;
    added.announced = limit.per_second;
    return true;
  }
  EndpointLimit& known = found->second;
  if (std::tie(limit.started_at, limit.answered_at) <
      std::tie(known.started_at, known.answered_at)) {
    return false;
  }
  known.per_second = limit.per_second;
  known.started_at = limit.started_at;
  known.answered_at = limit.answered_at;
  if (!DiffersFromAnnounced(known)) {
    return false;
  }
  known.announced = known.per_second;
  return true;
}

std::optional<double> LimitOf(const EndpointLimits& limits,
                              std::string_view id,
                              WallMillis started_at) {
  const auto found = limits.find(id);
  if (found == limits.end() || !found->second.per_second ||
      found->second.started_at < started_at) {
    return std::nullopt;
  }
  return std::max(*found->second.per_second, kMinEndpointLimit);
}

void DropEndedLimits(EndpointLimits& limits,
                     const EndpointTable& table,
                     Duration now) {
  std::erase_if(limits, [&](const auto& entry) {
    const auto& [id, limit] = entry;
    return !table.endpoints.contains(id) ||
           (!limit.per_second && limit.answered_at + kEndedLimitTime < now);
  });
}

}  // namespace celerykeel

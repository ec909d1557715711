#include "celerykeel/core/endpoint_path.h"

#include <algorithm>  // for std::min, std::max

namespace celerykeel {

namespace {

// At least one, also if no endpoint is known any more.
size_t Threshold(size_t count, size_t endpoints) {
  return std::max<size_t>(std::min(count, endpoints), 1);
}

}  // namespace

bool RecordConnectFailure(EndpointPath& path,
                          std::string_view endpoint,
                          size_t endpoints,
                          Duration now) {
  path.reached.clear();
  if (path.is_cut_off) {
    return false;
  }
  std::erase_if(path.failed, [now](const auto& entry) {
    return entry.second + kConnectFailureWindow < now;
  });
  path.failed.insert_or_assign(std::string(endpoint), now);
  path.is_cut_off = path.failed.size() >= Threshold(kCutOffFailures, endpoints);
  return path.is_cut_off;
}

bool RecordConnectSuccess(EndpointPath& path,
                          std::string_view endpoint,
                          size_t endpoints) {
  path.failed.clear();
  if (!path.is_cut_off) {
    return false;
  }
  path.reached.emplace(endpoint);
  if (path.reached.size() < Threshold(kReturnSuccesses, endpoints)) {
    return false;
  }
  path.reached.clear();
  path.is_cut_off = false;
  return true;
}

}  // namespace celerykeel

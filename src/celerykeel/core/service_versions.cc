#include "celerykeel/core/service_versions.h"

namespace celerykeel {

bool RecordVersion(ServiceVersions& versions,
                   const std::string& service,
                   const std::string& version,
                   const VersionRecord& record) {
  const auto [found, is_new] =
      versions.records[service].try_emplace(version, record);
  if (is_new) {
    return record.in_use;
  }
  VersionRecord& known = found->second;
  if (record.offset < known.offset) {
    return false;
  }
  const bool changed = known.in_use != record.in_use;
  known = record;
  return changed;
}

bool IsVersionInUse(const ServiceVersions& versions,
                    std::string_view service,
                    const std::string& version) {
  const auto found = versions.records.find(service);
  if (found == versions.records.end()) {
    return false;
  }
  const auto record = found->second.find(version);
  return record != found->second.end() && record->second.in_use;
}

std::optional<std::string> OnlyVersion(const ServiceVersions& versions,
                                       std::string_view service) {
  std::optional<std::string> only;
  const auto found = versions.records.find(service);
  if (found == versions.records.end()) {
    return only;
  }
  for (const auto& [version, record] : found->second) {
    if (!record.in_use) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = version;
  }
  return only;
}

}  // namespace celerykeel

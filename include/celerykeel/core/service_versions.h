#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

namespace celerykeel {

/// @brief The newest record of a software version in the store.
struct VersionRecord {
  bool in_use = false;
  uint64_t offset = 0;  // in the topic; a later record has a higher one
};

/// @brief Software versions that may have begun streams, by service and
/// version. A version is recorded durably before an endpoint of it begins a
/// stream, so an instance that knows all records and finds a single version in
/// use knows that this version began every stream of the service.
struct ServiceVersions {
  std::map<std::string, std::map<std::string, VersionRecord>, std::less<>>
      records;
};

/// @brief Applies a record, unless a newer one of the version is known.
/// @return true if the version is in use now and was not before, or the
/// reverse.
bool RecordVersion(ServiceVersions& versions,
                   const std::string& service,
                   const std::string& version,
                   const VersionRecord& record);

bool IsVersionInUse(const ServiceVersions& versions,
                    std::string_view service,
                    const std::string& version);

/// @brief Returns the version in use if it is the only one of the service.
std::optional<std::string> OnlyVersion(const ServiceVersions& versions,
                                       std::string_view service);

}  // namespace celerykeel

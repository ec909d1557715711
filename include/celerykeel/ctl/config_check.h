#pragma once

#include <cstdint>      // for uint64_t
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/ctl/report.h"  // for Report

namespace celerykeel {

/// @brief Checks a configuration before it is sent: mistakes, entries that can
/// never match, limits that contradict each other, and what differs from
/// another version.
/// @param against the version to compare with; nothing: none.
/// @param record_bytes the largest record of the store.
/// @return exit status 0 without a finding, 1 with findings, 2 if either file
/// can't be read as a configuration. Differences are no findings.
Report CheckConfiguration(std::string_view bytes,
                          const std::optional<std::string>& against,
                          uint64_t record_bytes);

}  // namespace celerykeel

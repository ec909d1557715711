#pragma once

#include <cstdint>  // for uint32_t
#include <string>   // for std::string
#include <vector>   // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/region_limits.h"  // for ZoneRegions
#include "celerykeel/core/time.h"           // for Duration
#include "celerykeel/core/zone_shares.h"    // for ZonePrices

namespace celerykeel {

/// @brief Settings of one instance. docs/operators/install.md lists the fields
/// of the settings file.
struct NodeOptions {
  std::string instance;
  std::string zone;
  std::string ip;                 // address for other instances
  std::string callers_address;    // IP:PORT
  std::string readiness_address;  // IP:PORT
  std::string metrics_address;    // IP:PORT; empty: no metrics
  uint16_t peer_port = 0;         // for other instances
  std::string store_address;      // IP:PORT
  uint32_t store_partitions = 8;
  Duration store_retention{};
  size_t store_record_bytes = 262144;  // max size of a record
  size_t store_call_bytes = 2097152;   // max size of a store call
  double link_mbps = 0;                // of this machine; 0: unknown
  Duration stop_time{};                // from the stop signal to the kill
  ZoneRegions zone_regions;            // empty: regions are not known
  // Limits for callers. The defaults are those of the smallest known machine.
  size_t memory_bytes = 88UL * 1024 * 1024;  // of the machine
  size_t max_descriptors = 3075;             // of the process
  size_t min_body_bytes_per_second = 16384;  // of a request's body
  size_t max_header_fields = 500;            // of a request
  ZonePrices zone_prices;  // 0: a call leaves its zone by the load alone
  // Endpoints get the urgency of calls and may preempt less urgent ones.
  bool sends_priority = false;
};

/// @brief All errors in a settings file.
struct OptionErrors {
  std::vector<std::string> errors;
};

/// @brief Reads a settings file, which is JSON.
tl::expected<NodeOptions, OptionErrors> ParseNodeOptions(
    const std::string& text);

/// @brief Reads the file at `path`.
tl::expected<NodeOptions, OptionErrors> LoadNodeOptions(
    const std::string& path);

}  // namespace celerykeel

#pragma once

#include <cstdint>  // for uint32_t
#include <string>   // for std::string
#include <vector>   // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Settings of one instance. docs/operators/install.md lists the names
/// of the file's fields.
struct NodeOptions {
  std::string instance;
  std::string zone;
  std::string ip;
  std::string callers_address;    // IP:PORT
  std::string readiness_address;  // IP:PORT
  uint16_t peer_port = 0;         // for other instances
  bool first_start = false;       // the whole fleet starts for the first time
  std::string store_address;      // IP:PORT
  uint32_t store_partitions = 8;
  Duration store_retention{};
  size_t store_record_bytes = 262144;
  size_t store_call_bytes = 2097152;
  Duration heartbeat{};        // of endpoints, in the store
  Duration drain_time{};       // an endpoint that leaves serves so much longer
  Duration apply_time{};       // a new configuration is in force by then
  Duration stop_time{};        // between the order to stop and the kill
  Duration quota_window{};     // over which a team's rate is judged
  double quota_overshoot = 0;  // allowed, as a part
  double quota_slack = 0;      // allowed besides, requests
};

/// @brief All that is wrong with a settings file.
struct OptionMistakes {
  std::vector<std::string> mistakes;
};

/// @brief Reads a settings file, which is JSON.
tl::expected<NodeOptions, OptionMistakes> ParseNodeOptions(
    const std::string& text);

/// @brief Reads the file at `path`.
tl::expected<NodeOptions, OptionMistakes> LoadNodeOptions(
    const std::string& path);

}  // namespace celerykeel

#pragma once

#include <cstdint>      // for uint32_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"     // for Duration
#include "celerykeel/net/settings.h"  // for SettingsReader

namespace celerykeel {

/// @brief Settings of celerykeel-steward.
struct StewardOptions {
  std::string instance;
  std::string availability_zone;
  std::string log;  // addresses are host:port
  std::string feed;
  std::string peers;
  std::string operators;
  std::string gate_address;
  std::string scheduler_address;
  std::string rate_address;
  std::vector<std::string> seed_peers;  // stewards that may know more
  Duration lease = std::chrono::seconds(4);
  Duration heartbeat = std::chrono::milliseconds(500);
  Duration margin = std::chrono::milliseconds(500);
  Duration append_wait = std::chrono::seconds(2);
  Duration drain_timeout = std::chrono::seconds(30);
  Duration snapshot_every = std::chrono::minutes(10);
  Duration retention{};          // of the log's records; 0: not known
  uint32_t append_budget = 400;  // appends a second, of the whole fleet
};

/// @brief docopt text of celerykeel-steward.
std::string_view StewardUsage();

/// @brief Reads the settings; mistakes stay in `reader`.
StewardOptions ReadStewardOptions(SettingsReader& reader);

}  // namespace celerykeel

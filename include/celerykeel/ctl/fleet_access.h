#pragma once

#include <optional>  // for std::optional
#include <span>      // for std::span
#include <string>    // for std::string
#include <vector>    // for std::vector

#include "celerykeel/core/fleet_state.h"  // for FleetState
#include "celerykeel/core/time.h"         // for Duration
#include "celerykeel/ctl/exchange.h"      // for Exchange
#include "celerykeel/net/feed_client.h"   // for AppendResult

namespace celerykeel {

/// @brief What a steward says of itself and of the fleet.
struct InstanceStatus {
  std::string instance;
  FleetState state;
  bool log_reachable = false;
  Duration lease_left{};
};

/// @brief How far one live instance has folded. `offset` is empty if it did
/// not answer, and `asked` false if its Join gave no address to ask at.
struct MemberProgress {
  std::string instance;
  std::string availability_zone;
  Incarnation incarnation = 0;
  bool asked = false;
  std::optional<Offset> offset;
  bool log_reachable = false;
  Duration lease_left{};
};

/// @brief The state as the steward at `feed` has folded it.
std::optional<InstanceStatus> FetchStatus(Exchange& exchange,
                                          const std::string& feed,
                                          Duration timeout);

/// @brief Asks each live instance of `status` how far it has folded. `feed` is
/// the address that gave `status`.
std::vector<MemberProgress> FetchProgress(Exchange& exchange,
                                          const InstanceStatus& status,
                                          const std::string& feed,
                                          Duration timeout);

/// @brief Appends one record to the fleet stream through the steward at
/// `feed`. No answer in time is an uncertain append.
AppendResult AppendRecord(Exchange& exchange,
                          const std::string& feed,
                          std::string record,
                          Duration timeout);

}  // namespace celerykeel

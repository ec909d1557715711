#pragma once

#include <memory>  // for std::unique_ptr
#include <string>  // for std::string

#include "celerykeel/base/clock.h"  // for Now
#include "celerykeel/node/node.h"   // for Node

namespace celerykeel::testing {

inline constexpr size_t kHolderPeers = 2;
inline constexpr uint64_t kHolderEpoch = 5;
// Tokens that the holder leaves to its successor; the burst is 40.
inline constexpr double kReserve = 34;

/// @brief Ends an instance. Queued records refer to the slot that owns them; a
/// process that exits does not need this.
struct EndHolder {
  void operator()(Node* node) const {
    for (const auto& [number, slot] : node->slots.held) {
      slot->queue.clear();
      slot->uncovered.clear();
    }
    delete node;
  }
};
using HolderPtr = std::unique_ptr<Node, EndHolder>;

/// @brief Returns an instance that holds all slots and has two peers. Nothing
/// runs on its loop, and no store listens at its address.
inline HolderPtr MakeHolder() {
  NodeOptions options;
  options.instance = "self";
  options.store_address = "127.0.0.1:1";
  options.store_partitions = 4;
  options.store_retention = std::chrono::seconds(300);
  HolderPtr node(new Node(options));
  node->incarnation = 1;
  node->fleet.self = "self";
  auto deployment = std::make_shared<Deployment>();
  deployment->teams["orchard"] = {.name = "orchard",
                                  .keys = {"k1"},
                                  .priority = {},
                                  .limits = {.rate = 40, .burst = 40},
                                  .allowed_regions = {}};
  node->deployment = deployment;
  node->rates.home_epochs["orchard"] = kHolderEpoch;
  for (size_t i = 0; i < kHolderPeers; ++i) {
    FleetMember& member = node->fleet.members["peer" + std::to_string(i)];
    member.instance = "peer" + std::to_string(i);
    member.last_heartbeat_at = Now();
  }
  for (uint32_t number = 0; number < options.store_partitions; ++number) {
    const auto slot = std::make_shared<HeldSlot>();
    slot->slot = number;
    slot->epoch = kHolderEpoch;
    slot->active = true;
    slot->confirmed_at = Now() - std::chrono::seconds(5);
    slot->rates["orchard"] = {.durable = kReserve,
                              .latest = kReserve,
                              .recorded = true,
                              .writing = false,
                              .lent_at = {}};
    node->slots.held[number] = slot;
    node->fleet.slots.push_back({.instance = "self", .epoch = kHolderEpoch});
  }
  return node;
}

/// @brief Ends all heartbeats of the peers, as a partition does.
inline void CutOff(Node& node) {
  for (auto& [instance, member] : node.fleet.members) {
    member.last_heartbeat_at = Now() - kHeartbeatTimeout;
  }
}

}  // namespace celerykeel::testing

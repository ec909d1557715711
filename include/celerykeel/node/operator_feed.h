#pragma once

#include <string>  // for std::string
#include <vector>  // for std::vector

#include "celerykeel/core/store_call.h"        // for KeyedRecord
#include "celerykeel/core/zone_evacuations.h"  // for CompleteKeyRead
#include "celerykeel/node.pb.h"                // for pb::OperatorNews
#include "celerykeel/node/asio.h"              // for Task
#include "celerykeel/node/keyed_topic.h"       // for KeyedTopic
#include "platform/store_calls.h"  // for platform::kConfigurationTopic

namespace celerykeel {

struct Node;

/// @brief A read of the operators' topic and what it has listed so far.
struct OperatorList {
  KeyedTopic topic{.name = platform::kConfigurationTopic,
                   .wanted = {{.key = std::string(platform::kConfigurationKey)},
                              {.key = std::string(platform::kEvacuationPrefix),
                               .is_prefix = true}}};
  CompleteKeyRead read;  // of evacuations that this instance knows
};

/// @brief Applies the evacuations of zones among records of the operators'
/// topic. Peers are notified of those that began or were revoked.
void ApplyEvacuationRecords(Node& node,
                            const std::vector<KeyedRecord>& records);

/// @brief Reads the operators' topic, or goes on where the last call stopped,
/// and applies the configuration and the evacuations as they are read.
/// Evacuations that a complete list does not hold have been revoked.
Task<> ReadOperatorList(Node& node, OperatorList& list);

/// @brief Applies what a peer reports.
void ApplyOperatorNews(Node& node, const pb::OperatorNews& news);

/// @brief Returns all evacuations that this instance knows, also those that
/// were revoked.
pb::OperatorNews KnownEvacuations(const Node& node);

/// @brief True if the zone is that of an endpoint, of this instance or of the
/// settings.
bool IsKnownZone(const Node& node, const std::string& zone);

}  // namespace celerykeel

#pragma once

#include <vector>  // for std::vector

#include "celerykeel/core/store_call.h"  // for KeyedRecord
#include "celerykeel/core/time.h"        // for Duration
#include "celerykeel/node.pb.h"          // for pb::OperatorNews

namespace celerykeel {

struct Node;

/// @brief Applies the evacuations of zones among records of the operators'
/// topic. Peers are notified of those that began or were revoked.
void ApplyEvacuationRecords(Node& node,
                            const std::vector<KeyedRecord>& records);

/// @brief Applies a complete read of that topic: evacuations that it does not
/// list have been revoked.
/// @param end where the read of later records continues.
/// @param began_at when the read began.
void ApplyAllEvacuations(Node& node,
                         const std::vector<KeyedRecord>& records,
                         uint64_t end,
                         Duration began_at);

/// @brief Applies what a peer reports.
void ApplyOperatorNews(Node& node, const pb::OperatorNews& news);

/// @brief Returns all evacuations that this instance knows, also those that
/// were revoked.
pb::OperatorNews KnownEvacuations(const Node& node);

/// @brief True if the zone is that of an endpoint, of this instance or of the
/// settings.
bool IsKnownZone(const Node& node, const std::string& zone);

}  // namespace celerykeel

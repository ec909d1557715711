#pragma once

#include <cstdint>  // for uint64_t

#include "celerykeel/core/endpoint_table.h"  // for EndpointEntry
#include "celerykeel/node.pb.h"              // for pb::EndpointNews
#include "celerykeel/node/asio.h"            // for Task

namespace celerykeel {

struct Node;

/// @brief What the list of endpoints did not fit into the table.
struct EndpointListState {
  bool has_left_out = false;  // since the last list that was due
  bool is_due = false;        // the list is to be read again
  uint64_t left_out = 0;      // entries, since the start
};

/// @brief Reads the list again if entries were left out: a new configuration
/// may have their services.
void ReadLeftOutEndpoints(EndpointListState& list);

/// @brief Follows the entries that endpoints write to the store. Reads them and
/// forwards changes to the peers if this instance is a reader or no reader is
/// up to date; otherwise relies on the readers' updates.
Task<> FollowEndpoints(Node& node);

/// @brief Records that an answer of the endpoint announced its departure. The
/// endpoint gets no new calls from here, and the peers are notified.
/// @param endpoint its entry at the time when the answered call was sent.
void HandleDeparture(Node& node, const EndpointEntry& endpoint);

/// @brief Returns everything that the endpoints of the table announced in their
/// answers, and the recorded software versions, for a peer that has just been
/// connected.
pb::EndpointNews KnownAnnouncements(const Node& node);

/// @brief Applies an update of a reader, or what a peer reports of an
/// endpoint's answer.
void ApplyEndpointNews(Node& node, const pb::EndpointNews& news);

}  // namespace celerykeel

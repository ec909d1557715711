#pragma once

#include <map>      // for std::map
#include <memory>   // for std::shared_ptr
#include <string>   // for std::string
#include <utility>  // for std::pair
#include <vector>   // for std::vector

#include "celerykeel/core/service_versions.h"  // for ServiceVersions
#include "celerykeel/core/time.h"              // for Duration
#include "celerykeel/node.pb.h"                // for pb::EndpointNews
#include "celerykeel/node/asio.h"              // for Task, Promise
#include "celerykeel/node/keyed_topic.h"       // for KeyedTopic

namespace celerykeel {

struct Node;

/// @brief The software versions that the store has recorded for each service.
struct VersionFeed {
  ServiceVersions versions;
  KeyedTopic topic{.name = "keyed.celerykeel-versions"};
  bool is_listed = false;         // the list has ended, or takes too long
  bool is_list_complete = false;  // and its last read held all keys
  bool endpoints_changed = true;  // since the last review of the versions
  bool reading = false;
  std::vector<std::shared_ptr<Promise<bool>>> waiting;  // for the next read
  // By service and version: since when an endpoint of a version that is not in
  // use is listed, and since when none of a version in use is.
  std::map<std::pair<std::string, std::string>, Duration> missing_since;
  std::map<std::pair<std::string, std::string>, Duration> unlisted_since;
};

/// @brief Records the versions of listed endpoints in the store, and removes
/// those that have not been listed for a long time.
Task<> FollowVersions(Node& node);

/// @brief Reads the records from the store, so that `versions` includes all
/// that were durable when this was called.
/// @return false if the store did not answer within `timeout`.
Task<bool> ReadVersions(Node& node, Duration timeout);

/// @brief Adds all known records, for a peer that has just been connected.
void AddKnownVersions(const Node& node, pb::EndpointNews& news);

/// @brief Applies a record that a peer has read or written.
void ApplyVersionNews(Node& node, const pb::ServiceVersionNews& news);

}  // namespace celerykeel

#pragma once

#include <cstdint>      // for uint64_t
#include <memory>       // for std::shared_ptr
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/copy_sessions.h"  // for CopySessions
#include "celerykeel/node/asio.h"           // for Task, Promise
#include "celerykeel/node/keyed_topic.h"    // for KeyedRecords

namespace celerykeel {

struct Node;

/// @brief How the configuration reaches this instance and its peers.
struct DeploymentFeed {
  // Of the configuration in force: the bytes, their digest, and the offset of
  // the record in the store.
  std::string value;
  uint64_t digest = 0;
  uint64_t offset = 0;
  // Digest of the value that was parsed last, also of one that can't be used.
  // The same value may come from the store several times, and from a peer.
  std::optional<uint64_t> parsed_digest;
  // The newest version of a peer that can't be used here.
  uint64_t unusable_version = 0;
  bool is_catching_up = false;  // with a peer's newer version
  uint64_t copied = 0;          // versions that a peer gave
  CopySessions copies;          // to peers
  // The long read of the store that is under way.
  std::shared_ptr<Promise<KeyedRecords>> long_read;
};

/// @brief Version of the configuration in force; 0 if there is none.
uint64_t VersionInForce(const Node& node);

/// @brief Follows the configuration that operators write to the store.
Task<> FollowDeployment(Node& node);

/// @brief Starts to get the newest configuration that a peer reports, unless
/// this instance has it or is getting it.
void GetDeploymentSoon(Node& node);

/// @brief Puts the configuration in force if it is newer than the present one.
void ApplyDeployment(Node& node, const KeyedRecord& record);

/// @brief Digest of a configuration's bytes.
uint64_t DeploymentDigest(std::string_view value);

}  // namespace celerykeel

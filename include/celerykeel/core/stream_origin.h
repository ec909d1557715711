#pragma once

#include <cstddef>  // for size_t
#include <map>      // for std::map
#include <string>   // for std::string
#include <utility>  // for std::pair

#include "celerykeel/core/time.h"  // for Duration, WallMillis

namespace celerykeel {

/// @brief What began a stream. Texts of two software versions do not fit
/// together, and endpoints do not check what they continue.
struct StreamOrigin {
  std::string service;
  std::string version;  // of the endpoint's software

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// @brief Team and id of the request that brought the first event of a stream.
using StreamName = std::pair<std::string, std::string>;

/// @brief The record of a stream's origin in its slot's log.
struct StreamRecord {
  StreamName stream;
  StreamOrigin origin;
  WallMillis began_at = 0;
};

/// @brief The origins of recent streams, kept for callers that resume them.
struct StreamOrigins {
  struct Entry {
    StreamOrigin origin;
    Duration began_at{};  // time of the first report
    bool in_log = false;  // a record of it is durable or queued
  };
  std::map<StreamName, Entry> streams;
};

/// @brief Records what began a stream. A later report of the same stream
/// replaces the earlier one.
/// @return true if the origin is new or differs from the one recorded.
bool RecordOrigin(StreamOrigins& origins,
                  const StreamName& stream,
                  const StreamOrigin& origin,
                  Duration now);

/// @brief Applies a record of the slot's log, unless it is of a stream that no
/// caller can resume any more.
/// @param wall,now the same time by both clocks.
void ReplayOrigin(StreamOrigins& origins,
                  const StreamRecord& record,
                  WallMillis wall,
                  Duration now);

/// @brief Returns the origin of a stream; nullptr if it is not known.
const StreamOrigin* FindOrigin(const StreamOrigins& origins,
                               const StreamName& stream);

/// @brief Drops streams that no caller can resume any more.
void ExpireOrigins(StreamOrigins& origins, Duration now);

/// @brief Time after its begin for which a stream's origin is kept; several
/// times the longest time for which callers wait.
inline constexpr Duration kStreamOriginLifetime = std::chrono::seconds(30);
/// @brief Further streams are not recorded. At 100 bytes each, a fraction of
/// the memory of the smallest instance.
inline constexpr size_t kMaxStreamOrigins = 50000;

}  // namespace celerykeel

#pragma once

#include <cstddef>  // for size_t
#include <map>      // for std::map
#include <string>   // for std::string
#include <utility>  // for std::pair

#include "celerykeel/core/time.h"  // for Duration

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

/// @brief The origins of recent streams, kept for callers that resume them.
struct StreamOrigins {
  struct Entry {
    StreamOrigin origin;
    Duration began_at{};  // time of the first report
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

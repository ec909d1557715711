#pragma once

#include <atomic>   // for std::atomic
#include <cstdint>  // for uint64_t
#include <map>      // for std::map
#include <string>   // for std::string
#include <utility>  // for std::pair
#include <vector>   // for std::vector

#include "celerykeel/testing/http_standin.h"  // for StandinRequest

namespace celerykeel::testing {

enum class StoreMode {
  kServes,
  kRefuses,       // 503, nothing done
  kLosesAnswers,  // appends are done, and their connections are closed
  kLate,          // appends are not answered, and done a while later
  kSilent,        // takes requests and answers none
};

/// @brief A stand-in of the platform's store: partitions with offsets,
/// producer epochs and sequences, keyed topics.
struct StoreStandin {
  struct Partition {
    std::vector<std::string> records;
    uint64_t epoch = 0;
    uint64_t next_sequence = 0;
    uint64_t last_offset = 0;  // of the last stamped append
  };

  std::map<std::pair<std::string, uint32_t>, Partition> partitions;
  std::atomic<StoreMode> mode{StoreMode::kServes};  // towards everyone
  // Reads that wait are held for a second and dropped.
  std::atomic<bool> drops_held_reads{false};
  std::atomic<uint64_t> appends{0};
};

/// @brief A way to the store, as one instance has it.
struct StoreDoor {
  std::atomic<bool> is_shut{false};  // 503 to that instance alone
};

/// @brief Serves the store on `address`.
Task<> ServeStore(asio::io_context& loop,
                  StoreStandin& store,
                  const StoreDoor& door,
                  Tcp::endpoint address);

/// @brief Writes as the operators or an endpoint would.
void PutKeyed(StoreStandin& store,
              const std::string& topic,
              const std::string& key,
              const std::string& value);

}  // namespace celerykeel::testing

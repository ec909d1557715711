#pragma once

#include <atomic>   // for std::atomic
#include <cstdint>  // for uint64_t
#include <limits>   // for std::numeric_limits
#include <map>      // for std::map
#include <set>      // for std::set
#include <string>   // for std::string
#include <utility>  // for std::pair
#include <vector>   // for std::vector

#include "celerykeel/testing/http_standin.h"  // for StandinRequest
#include "celerykeel/testing/keyed_pages.h"   // for NewestRecords, PageRules

namespace celerykeel::testing {

enum class StoreMode {
  kServes,
  kRefuses,       // answers 503, without effect
  kLosesAnswers,  // appends take effect, and their connections are closed
  kLate,          // appends take effect with a delay, without an answer
  kSilent,        // reads requests and answers none
};

/// @brief Stand-in for the platform's store. Supports offsets, producer epochs
/// and sequences, and keyed topics, whose lists come in pages. The system may
/// not write to the topics of operators and endpoints.
struct StoreStandin {
  struct Partition {
    std::vector<std::string> records;
    uint64_t epoch = 0;
    uint64_t next_sequence = 0;
    uint64_t last_offset = 0;  // of the last stamped append
    uint64_t first = 0;        // earlier records can't be read any more
    NewestRecords newest;      // of a keyed topic
  };

  std::map<std::pair<std::string, uint32_t>, Partition> partitions;
  std::atomic<StoreMode> mode{StoreMode::kServes};  // for all instances
  // Appends with one of these epochs get 503, whoever sends them.
  std::set<uint64_t> refused_epochs;
  // Closes the connection of a waiting read after a second, without an answer.
  std::atomic<bool> drops_waiting_reads{false};
  std::atomic<uint64_t> appends{0};
  std::atomic<uint64_t> list_reads{0};
  std::map<std::string, uint64_t> log_reads;  // by topic; of the loop's thread
  PageRules pages;                            // of all topics but these
  std::map<std::string, PageRules> pages_of_topics;
  // Of one read, which takes `read_delay_ms`.
  std::atomic<size_t> max_records_per_read{std::numeric_limits<size_t>::max()};
  std::atomic<int> read_delay_ms{0};
};

/// @brief Access of one instance to the store.
struct StoreAccess {
  std::atomic<bool> is_shut{false};    // answers 503 to this instance only
  std::atomic<bool> is_silent{false};  // answers no request of this instance
  // Rate at which answers reach this instance, over all its connections
  // together; 0: not limited.
  std::atomic<size_t> bytes_per_second{0};
  // Connections of an earlier generation stay silent for good. Increase it to
  // silence those that are open, while new ones are served.
  std::atomic<int> generation{0};
  mutable Duration link_free_at{};  // used by the stand-ins' loop only
};

/// @brief Serves the store on `address`.
Task<> ServeStore(asio::io_context& loop,
                  StoreStandin& store,
                  const StoreAccess& access,
                  Tcp::endpoint address);

/// @brief Deletes the records of a keyed topic but for the newest of each key.
void Compact(StoreStandin& store, const std::string& topic);

/// @brief Writes a keyed record, as the operators or an endpoint would.
void PutKeyed(StoreStandin& store,
              const std::string& topic,
              const std::string& key,
              const std::string& value);

}  // namespace celerykeel::testing

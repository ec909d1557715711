#pragma once

#include <cstdint>   // for uint64_t
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <variant>   // for std::variant
#include <vector>    // for std::vector

namespace celerykeel {

/// @brief Makes a repeated append idempotent and fences writers with a lower
/// epoch. Two writers never use the same epoch, so equal epochs are not fenced.
struct ProducerStamp {
  std::string producer;
  uint64_t epoch = 0;
  uint64_t sequence = 0;  // one above the last of this epoch
};

struct AppendCall {
  std::string topic;
  uint32_t partition = 0;
  std::optional<ProducerStamp> stamp;
  std::vector<std::string> records;  // all or none are appended
};

struct AppendDone {
  uint64_t offset = 0;  // of the first record
  uint64_t end = 0;
};

struct ReadCall {
  std::string topic;
  uint32_t partition = 0;
  uint64_t from = 0;
  uint64_t wait_ms = 0;  // max wait for a record, if there is none at `from`
  size_t max_bytes = 0;  // of the answer; 0: 1 MiB
};

struct ReadDone {
  uint64_t end = 0;
  uint64_t first = 0;  // oldest retained offset
  std::vector<std::string> records;
};

/// @brief Requests the newest record of each key of a keyed topic.
struct NewestRecordsCall {
  std::string topic;
  std::string after;  // key after which to continue
};

struct KeyedRecord {
  std::string key;
  std::string value;
  bool dropped = false;  // the key was removed
  uint64_t offset = 0;
};

struct NewestRecordsDone {
  std::vector<KeyedRecord> records;
  bool more = false;      // further keys follow; continue with `after`
  uint64_t end = 0;       // offset from which to read later records
  uint64_t left_out = 0;  // items without a key that can be read
};

/// @brief Another writer has a higher epoch.
struct Fenced {
  uint64_t epoch = 0;
};
/// @brief The sequence does not follow the last one.
struct OutOfSequence {
  uint64_t expected = 0;
};
/// @brief The requested records have expired.
struct Expired {
  uint64_t first = 0;  // oldest retained offset
};
/// @brief The store refused the call, which had no effect.
struct StoreRefused {
  int status = 0;
};
/// @brief No answer arrived: the call may have taken effect, or may do so
/// later.
struct NoAnswer {
  std::string reason;
};
/// @brief An answer that can't be read.
struct BadAnswer {
  int status = 0;
};

using StoreError = std::
    variant<Fenced, OutOfSequence, Expired, StoreRefused, NoAnswer, BadAnswer>;

/// @brief Describes an error for a log line.
std::string Describe(const StoreError& error);

}  // namespace celerykeel

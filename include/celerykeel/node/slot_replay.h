#pragma once

#include <cstdint>  // for uint64_t
#include <map>      // for std::map
#include <memory>   // for std::shared_ptr

#include "celerykeel/core/log_reads.h"  // for LogReads
#include "celerykeel/node/asio.h"       // for Task, Promise

namespace celerykeel {

struct Node;
struct HeldSlot;

/// @brief The replays of slot logs that are under way.
struct SlotReplays {
  LogReads reads;
  // Replays whose next read waits for the link, by read.
  std::map<uint64_t, std::shared_ptr<Promise<bool>>> waiting;
  uint64_t bytes_read = 0;    // since the start
  uint64_t failed_reads = 0;  // since the start
};

/// @brief Replays the slot's log up to and including the record at `last`.
/// @return false if the slot was lost meanwhile.
Task<bool> ReplayLog(Node& node, std::shared_ptr<HeldSlot> slot, uint64_t last);

}  // namespace celerykeel

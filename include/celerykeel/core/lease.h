#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief The holder's side of a lease among peers. It holds while most of the
/// witnesses vouched for heartbeats that were sent less than a lease ago.
struct HolderLease {
  std::string instance;                // counts itself as a witness
  std::vector<std::string> witnesses;  // names of instances, its own included
  std::vector<std::string> next_witnesses;  // of a change under way, or empty
  Duration log_read_at{};    // newest reading of the log to its end
  bool change_sent = false;  // the change's record may stand in the log
  uint64_t sequence = 0;     // of the newest heartbeat
  std::map<uint64_t, Duration> sent_at;        // heartbeats a vouch may answer
  std::map<std::string, Duration> vouched_at;  // by witness: when the newest
                                               // vouched heartbeat was sent
};

/// @brief Notes a heartbeat that is sent now. The same one goes to every
/// witness.
/// @return its sequence number.
uint64_t NoteHeartbeat(HolderLease& lease, Duration duration, Duration now);

/// @brief Takes the answer of a witness to a heartbeat.
/// @return false if it answers none that still counts.
bool TakeVouch(HolderLease& lease, std::string_view witness, uint64_t sequence);

/// @brief The holder may act only before this reading of its clock. Once a
/// change of its witnesses was sent, most of the present and most of the next
/// must vouch.
///
///     if (now < LeaseUntil(lease, std::chrono::seconds(4))) { ... }
Duration LeaseUntil(const HolderLease& lease, Duration duration);

/// @brief The same, on the word of `witnesses` alone. For a lone holder the
/// log is the other witness: an eviction stands in it.
Duration LeaseUntil(const HolderLease& lease,
                    const std::vector<std::string>& witnesses,
                    Duration duration);

/// @brief Witnesses, present and next, that vouched for nothing sent after
/// `since`.
std::vector<std::string> SilentWitnesses(const HolderLease& lease,
                                         Duration since);

/// @brief How many of `witnesses` make most of them.
size_t MajorityOf(size_t witnesses);

}  // namespace celerykeel

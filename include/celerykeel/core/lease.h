#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief The holder's side of a lease among peers. The lease is valid while a
/// majority of the witnesses has vouched for heartbeats that were sent less
/// than one lease duration ago. A witness vouches by a positive answer to a
/// heartbeat (see AnswerHeartbeat() in witness.h).
struct HolderLease {
  std::string instance;                     // counts itself as a witness
  std::vector<std::string> witnesses;       // instance names, including its own
  std::vector<std::string> next_witnesses;  // of a pending change, or empty
  Duration log_read_at{};    // last time the log was read to its end
  bool change_sent = false;  // the change's record may be in the log
  uint64_t sequence = 0;     // of the newest heartbeat
  std::map<uint64_t, Duration> sent_at;  // of unexpired heartbeats, by sequence
  std::map<std::string, Duration> vouched_at;  // by witness: send time of the
                                               // newest vouched heartbeat
};

/// @brief Records a heartbeat sent at `now`. All witnesses receive the same
/// heartbeat.
/// @return the sequence number of the heartbeat.
uint64_t RecordHeartbeat(HolderLease& lease, Duration duration, Duration now);

/// @brief Records that a witness vouched for a heartbeat.
/// @return false if the heartbeat is unknown or expired, or `witness` is not a
/// witness of this holder.
bool RecordVouch(HolderLease& lease,
                 std::string_view witness,
                 uint64_t sequence);

/// @brief Returns the end of the lease on the holder's clock. The holder
/// must not act at or after that time. Once a change of the witnesses has been
/// sent, majorities of both the current and the next witnesses are required.
///
///     if (now < LeaseEnd(lease, std::chrono::seconds(4))) { ... }
Duration LeaseEnd(const HolderLease& lease, Duration duration);

/// @brief Returns the end of the lease as vouched for by `witnesses` alone. The
/// lease of a lone holder (its own only witness) also ends one duration after
/// `log_read_at`, because the holder learns of its eviction only from the log.
Duration LeaseEnd(const HolderLease& lease,
                  const std::vector<std::string>& witnesses,
                  Duration duration);

/// @brief Returns the current and next witnesses that have vouched for no
/// heartbeat sent after `since`.
std::vector<std::string> SilentWitnesses(const HolderLease& lease,
                                         Duration since);

/// @brief Returns the smallest majority of `witnesses`.
size_t MajorityOf(size_t witnesses);

}  // namespace celerykeel

#include "celerykeel/core/lease.h"

#include <algorithm>   // for std::find, std::min, std::sort
#include <functional>  // for std::greater

namespace celerykeel {

namespace {

bool IsWitness(const HolderLease& lease, std::string_view name) {
  const auto has_name = [&](const std::vector<std::string>& names) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  return has_name(lease.witnesses) || has_name(lease.next_witnesses);
}

}  // namespace

size_t MajorityOf(size_t witnesses) {
  return witnesses / 2 + 1;
}

// The lease starts when the heartbeat is sent, not when it is answered. A
// witness may vote to evict the holder at any time after it has vouched. Only
// a start before the vouch is safe.
uint64_t RecordHeartbeat(HolderLease& lease, Duration duration, Duration now) {
  std::erase_if(lease.sent_at, [&](const auto& entry) {
    return now - entry.second >= duration;
  });
  ++lease.sequence;
  lease.sent_at[lease.sequence] = now;
  lease.vouched_at[lease.instance] = now;
  return lease.sequence;
}

bool RecordVouch(HolderLease& lease,
                 std::string_view witness,
                 uint64_t sequence) {
  const auto sent = lease.sent_at.find(sequence);
  if (sent == lease.sent_at.end() || !IsWitness(lease, witness)) {
    return false;
  }
  Duration& vouched = lease.vouched_at[std::string(witness)];
  vouched = std::max(vouched, sent->second);
  return true;
}

// An eviction record is checked against the current witnesses if it precedes
// the record of the change in the log, and against the next witnesses if it
// follows. The holder cannot tell which applies until it has folded the record
// of the change. Before that record is sent, no eviction can follow it.
Duration LeaseEnd(const HolderLease& lease, Duration duration) {
  const Duration until = LeaseEnd(lease, lease.witnesses, duration);
  return lease.next_witnesses.empty() || !lease.change_sent
             ? until
             : std::min(until, LeaseEnd(lease, lease.next_witnesses, duration));
}

Duration LeaseEnd(const HolderLease& lease,
                  const std::vector<std::string>& witnesses,
                  Duration duration) {
  std::vector<Duration> times;
  for (const std::string& witness : witnesses) {
    if (const auto found = lease.vouched_at.find(witness);
        found != lease.vouched_at.end()) {
      times.push_back(found->second);
    }
  }
  const size_t majority = MajorityOf(witnesses.size());
  if (witnesses.empty() || times.size() < majority) {
    return Duration{};
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  const Duration vouched = times[majority - 1];
  const bool is_lone = witnesses.size() == 1;
  return (is_lone ? std::min(vouched, lease.log_read_at) : vouched) + duration;
}

std::vector<std::string> SilentWitnesses(const HolderLease& lease,
                                         Duration since) {
  std::vector<std::string> silent;
  std::vector<std::string> all = lease.witnesses;
  all.insert(all.end(), lease.next_witnesses.begin(),
             lease.next_witnesses.end());
  for (const std::string& witness : all) {
    const auto found = lease.vouched_at.find(witness);
    if (found == lease.vouched_at.end() || found->second <= since) {
      silent.push_back(witness);
    }
  }
  return silent;
}

}  // namespace celerykeel

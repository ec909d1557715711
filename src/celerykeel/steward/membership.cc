#include "celerykeel/steward/membership.h"

#include <algorithm>  // for std::max, std::all_of
#include <memory>     // for std::make_shared
#include <utility>    // for std::move

#include "celerykeel/core/membership.h"  // for ChooseWitnesses
#include "celerykeel/core/rendezvous.h"  // for RankMembers
#include "celerykeel/core/roster.h"      // for FormatIncarnation
#include "celerykeel/net/log.h"          // for Log

namespace celerykeel {

namespace {

constexpr Duration kRetry = std::chrono::milliseconds(500);
constexpr Duration kLeaveTimeout = std::chrono::seconds(5);
constexpr std::string_view kDrainingProcesses[] = {"gate", "scheduler"};

Join MakeJoin(const Control& control) {
  const StewardOptions& options = control.options;
  Join join;
  join.incarnation = control.joining;
  join.instance = options.instance;
  join.availability_zone = options.availability_zone;
  join.gate_address = options.gate_address;
  join.scheduler_address = options.scheduler_address;
  join.steward_address = options.peers;
  join.rate_address = options.rate_address;
  join.operator_address = options.operators;
  join.feed_address = options.feed;
  join.witnesses = ChooseWitnesses(control.state, options.instance,
                                   options.availability_zone, {});
  join.replaces = FindPredecessor(control.state, join);
  return join;
}

void StartLease(HolderLease& lease, const Join& join, uint64_t sequence) {
  lease = HolderLease{};
  lease.instance = join.instance;
  lease.witnesses = join.witnesses;
  lease.sequence = sequence;
}

void TakeJoin(Control& control, Duration now) {
  const auto joined = control.state.members.find(control.joining);
  if (control.joining == 0 || joined == control.state.members.end()) {
    return;
  }
  control.self = control.joining;
  control.joining = 0;
  control.joined_at = now;
  control.heartbeat_at = Duration{};
  control.refused.clear();
  control.change.reset();
  // Answers to heartbeats of an earlier incarnation must match none of these.
  const uint64_t sequence = control.random() >> 1;
  StartLease(control.lease, joined->second.join, sequence);
  StartLease(control.outage, joined->second.join, sequence);
  ++control.totals.joins;
  Log("steward", "joined",
      {{"incarnation", FormatIncarnation(control.self)},
       {"fence", joined->second.fence},
       {"witnesses", joined->second.join.witnesses.size()}});
}

void TakeDeparture(Control& control) {
  if (control.self == 0 || control.state.members.contains(control.self)) {
    return;
  }
  if (control.leaving) {
    control.left = true;
  } else {
    ++control.totals.evicted;
    Log("steward", "evicted, joins again",
        {{"incarnation", FormatIncarnation(control.self)}});
  }
  control.self = 0;
  control.lease = HolderLease{};
  control.outage = HolderLease{};
  control.lease_until = Duration{};
  control.change.reset();
  control.rounds.clear();
}

void TakeWitnessChange(Control& control) {
  if (control.self == 0) {
    return;
  }
  const Join& join = control.state.members.at(control.self).join;
  if (control.lease.witnesses == join.witnesses) {
    return;
  }
  control.lease.witnesses = join.witnesses;
  control.lease.next_witnesses.clear();
  control.lease.change_sent = false;
  control.outage.witnesses = join.witnesses;
  control.refused.clear();
  control.change.reset();
  ++control.totals.witness_changes;
  Log("steward", "witnesses changed", {{"witnesses", join.witnesses.size()}});
}

void StartWitnessChange(Control& control, Duration now) {
  const Join& own = control.state.members.at(control.self).join;
  std::set<std::string> unusable = control.refused;
  // Before a lease has passed, silence says nothing.
  if (now - control.joined_at > control.options.lease) {
    for (std::string& name :
         SilentWitnesses(control.lease, now - control.options.lease)) {
      unusable.insert(std::move(name));
    }
  }
  if (!NeedsNewWitnesses(control.state, own, unusable)) {
    return;
  }
  OwnWitnessChange change;
  change.record.incarnation = control.self;
  change.record.number = own.witnesses_number + 1;
  change.record.witnesses = ChooseWitnesses(control.state, own.instance,
                                            own.availability_zone, unusable);
  change.started_at = now;
  if (change.record.witnesses != own.witnesses) {
    control.lease.next_witnesses = change.record.witnesses;
    control.lease.change_sent = false;
    control.change = std::move(change);
  }
}

bool IsDrained(const Control& control) {
  return std::all_of(
      std::begin(kDrainingProcesses), std::end(kDrainingProcesses),
      [&](std::string_view process) {
        const bool present = std::any_of(
            control.subscribers.begin(), control.subscribers.end(),
            [&](const auto& entry) { return entry.second.process == process; });
        return !present || control.drained.contains(std::string(process));
      });
}

}  // namespace

void TakeOwnRecords(Control& control, Duration now) {
  TakeDeparture(control);
  TakeJoin(control, now);
  TakeWitnessChange(control);
  RemoveDeparted(control.witness, control.state);
  RecordMembers(control.witness, control.state, now);
  std::erase_if(control.rounds, [&](const auto& entry) {
    return !control.state.members.contains(entry.first);
  });
}

void JoinIfDue(Control& control, Duration now, Outbox& out) {
  if (control.self != 0 || control.join_in_flight || !control.caught_up ||
      !control.log_reachable || control.draining || now < control.join_after) {
    return;
  }
  while (control.joining == 0) {
    control.joining = control.random();
  }
  const Join join = MakeJoin(control);
  if (IsNameTaken(control.state, join)) {
    Log("steward", "another member has this name, waits until it has departed",
        {{"instance", join.instance}});
    control.join_after = now + control.options.lease;
    return;
  }
  control.join_in_flight = true;
  AppendOwn(out, OwnRecord::kJoin, join);
}

void ChangeWitnessesIfDue(Control& control, Duration now, Outbox& out) {
  if (control.self == 0 || control.draining) {
    return;
  }
  if (!control.change) {
    if (control.log_reachable && now >= control.change_after) {
      control.change_after = now + control.options.heartbeat;
      StartWitnessChange(control, now);
    }
    return;
  }
  OwnWitnessChange& change = *control.change;
  const bool vouched = now < LeaseEnd(control.lease, change.record.witnesses,
                                      control.options.lease);
  if (vouched && !change.in_flight && now >= change.append_after &&
      control.log_reachable) {
    change.in_flight = true;
    change.sent = true;
    control.lease.change_sent = true;
    AppendOwn(out, OwnRecord::kWitnessChange, change.record);
  } else if (!vouched && !change.sent &&
             now - change.started_at > control.options.lease) {
    control.lease.next_witnesses.clear();
    control.lease.change_sent = false;
    control.change.reset();
  }
}

// Without the word of its processes that they are done, an instance leaves only
// once its lease has run out: a Leave tells successors not to wait. If the log
// does not take the Leave, it goes all the same, and the others evict it.
void LeaveIfDue(Control& control, Duration now, Outbox& out) {
  if (!control.draining || control.left) {
    return;
  }
  if (control.self == 0 ||
      (control.leaving && now > control.leave_since + kLeaveTimeout)) {
    control.left = true;
    return;
  }
  const bool may_leave =
      control.leaving || IsDrained(control) ||
      (now >= control.drain_until && now >= control.lease_until);
  if (!may_leave || now < control.leave_after) {
    return;
  }
  if (!control.leaving) {
    control.leaving = true;
    control.leave_since = now;
  }
  control.leave_after = now + kRetry;
  AppendOwn(out, OwnRecord::kLeave, Leave{control.self});
}

// Every member that ranks later waits longer, so that the next one writes when
// the chosen one does not.
void WriteSnapshotIfDue(Control& control, Duration now, Outbox& out) {
  if (control.self == 0 || !control.log_reachable ||
      control.state.offset == 0) {
    return;
  }
  if (control.snapshot_seen || control.snapshot_at == Duration{}) {
    control.snapshot_seen = false;
    control.snapshot_at = now;
  }
  const auto ranks = RankMembers(control.state, "snapshot");
  const auto own = std::find(ranks.begin(), ranks.end(), control.self);
  const auto later = own - ranks.begin();
  const Duration due = control.snapshot_at + control.options.snapshot_every +
                       later * control.options.snapshot_every / 8;
  if (now < due) {
    return;
  }
  control.snapshot_at = now;
  ++control.totals.snapshots;
  AppendOwn(out, OwnRecord::kSnapshot,
            Snapshot{control.state.offset,
                     std::make_shared<const FleetState>(control.state)});
}

bool IsReady(const Control& control, Duration now) {
  const bool has_witnesses =
      control.lease.witnesses.size() > 1 ||
      WitnessCountFor(MemberNames(control.state).size()) == 1;
  return control.self != 0 && !control.draining && has_witnesses &&
         now - control.joined_at >= control.options.heartbeat &&
         now < control.lease_until &&
         now - control.fresh_at < control.options.lease;
}

void TakeOwnResult(Control& control,
                   OwnRecord kind,
                   const AppendResult& result,
                   Duration now) {
  const Duration again = now + std::max(result.retry_after, kRetry);
  // Unless the record shows up in the stream it is appended again. The fold
  // takes a Join once by its incarnation, and a change by its number.
  if (kind == OwnRecord::kJoin) {
    control.join_in_flight = false;
    control.join_after = again;
  } else if (kind == OwnRecord::kWitnessChange && control.change) {
    control.change->in_flight = false;
    control.change->append_after = again;
  }
}

}  // namespace celerykeel

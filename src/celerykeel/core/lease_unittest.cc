#include "celerykeel/core/lease.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <iostream>  // for std::cerr
#include <vector>    // for std::vector

#include "celerykeel/testing/lease_model.h"  // for LeaseModel, Without

namespace celerykeel {
namespace {

using namespace lease_model;

constexpr int kRuns = 1000;
constexpr int kRunsUntilFailure = 4000;
constexpr uint64_t kSeed = 20261204;

struct Disturbance {
  int kind = 0;
  int process = 0;
  int tenths = 0;  // of a second
};

void Apply(LeaseModel& model, const Disturbance& disturbance) {
  Process& process = model.processes[static_cast<size_t>(disturbance.process)];
  const Duration span = milliseconds(100) * disturbance.tenths;
  switch (disturbance.kind) {
    case 0:
      process.frozen_until = model.now + span;
      break;
    case 1:
      // The process alone, or with its two neighbours.
      for (int step = 0; step < (disturbance.tenths % 2 == 0 ? 1 : 3); ++step) {
        const int other = (disturbance.process + step) % kProcesses;
        model.processes[static_cast<size_t>(other)].cut_until =
            model.now + span * 2;
      }
      break;
    case 2:
      process.isolated_until = model.now + span;
      break;
    case 3:
      model.Restart(disturbance.process);
      break;
    case 4:
      model.delay = span / 4;
      break;
    case 5:
      model.append_delay = span;
      break;
    case 6:
      for (Process& other : model.processes) {
        other.cut_until = model.now + (&other == &process ? 0 : 2) * span;
      }
      break;
    default:
      model.StartWitnessChange(disturbance.process);
      break;
  }
  model.Advance(milliseconds(100) * (disturbance.tenths % 20));
}

rc::Gen<std::vector<Disturbance>> Disturbances() {
  return rc::gen::container<std::vector<Disturbance>>(
      rc::gen::construct<Disturbance>(rc::gen::inRange(0, 8),
                                      rc::gen::inRange(0, kProcesses),
                                      rc::gen::inRange(0, 150)));
}

std::ostream& operator<<(std::ostream& out, const Disturbance& disturbance) {
  return out << "{" << disturbance.kind << "," << disturbance.process << ","
             << disturbance.tenths << "}";
}

struct Verdict {
  bool holds = false;
  uint64_t held = 0;
  uint64_t evictions = 0;
  uint64_t witness_changes = 0;
};

Verdict Check(Without without, int runs) {
  Verdict verdict;
  rc::detail::TestMetadata metadata;
  metadata.id = "lease";
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = runs;
  params.disableShrinking = true;
  const auto result = rc::detail::checkTestable(
      [&] {
        LeaseModel model(without);
        for (const Disturbance& disturbance : *Disturbances()) {
          Apply(model, disturbance);
        }
        model.Advance(std::chrono::seconds(10));
        verdict.held += model.held;
        for (const Process& process : model.processes) {
          for (const auto& [incarnation, member] : process.state.members) {
            verdict.witness_changes += member.join.witnesses_number;
          }
          for (const auto& [gone, member] : process.state.departed) {
            verdict.evictions += member.evicted ? 1 : 0;
          }
        }
        RC_ASSERT_FALSE(model.violated);
      },
      metadata, params);
  verdict.holds = result.template is<rc::detail::SuccessResult>();
  if (!verdict.holds && without == Without::kNothing) {
    rc::detail::printResultMessage(result, std::cerr);
  }
  return verdict;
}

TEST_CASE("a successor and a holder never both act") {
  const Verdict verdict = Check(Without::kNothing, kRuns);
  CHECK(verdict.holds);
  CHECK(verdict.held > 0);
  CHECK(verdict.evictions > 0);
  CHECK(verdict.witness_changes > 0);
}

TEST_CASE("each mechanism of the lease is required for its safety") {
  CHECK_FALSE(Check(Without::kVoteMemory, kRunsUntilFailure).holds);
  CHECK_FALSE(Check(Without::kLeaseFromSending, kRunsUntilFailure).holds);
  CHECK_FALSE(Check(Without::kBothWitnessSets, kRunsUntilFailure).holds);
  CHECK_FALSE(Check(Without::kMajority, kRunsUntilFailure).holds);
  CHECK_FALSE(Check(Without::kOwnJoinFirst, kRunsUntilFailure).holds);
}

// A witness votes after a silence longer than the lease, and a successor waits
// for the same duration again. Either delay alone is sufficient.
TEST_CASE("either the silence before a vote or the successor wait is needed") {
  CHECK(Check(Without::kSilence, kRuns / 4).holds);
  CHECK_FALSE(
      Check(Without::kSilenceAndSuccessorWait, kRunsUntilFailure).holds);
}

TEST_CASE("a lease starts at the send time that a majority vouched for") {
  HolderLease lease;
  lease.instance = "a";
  lease.witnesses = {"a", "b", "c"};
  CHECK(LeaseEnd(lease, kLease) == Duration{});
  const uint64_t first = RecordHeartbeat(lease, kLease, milliseconds(100));
  CHECK(LeaseEnd(lease, kLease) == Duration{});
  CHECK_FALSE(RecordVouch(lease, "unknown", first));
  CHECK(RecordVouch(lease, "b", first));
  CHECK(LeaseEnd(lease, kLease) == milliseconds(4100));
  const uint64_t second = RecordHeartbeat(lease, kLease, milliseconds(600));
  CHECK(LeaseEnd(lease, kLease) == milliseconds(4100));
  CHECK(RecordVouch(lease, "c", second));
  CHECK(LeaseEnd(lease, kLease) == milliseconds(4600));
  CHECK(RecordVouch(lease, "c", first));  // late vouch, no effect
  CHECK(LeaseEnd(lease, kLease) == milliseconds(4600));
}

TEST_CASE("a lone holder acts only while it can read the log") {
  HolderLease lease;
  lease.instance = "a";
  lease.witnesses = {"a"};
  RecordHeartbeat(lease, kLease, milliseconds(100));
  CHECK(LeaseEnd(lease, kLease) == kLease);
  lease.log_read_at = milliseconds(50);
  CHECK(LeaseEnd(lease, kLease) == milliseconds(4050));
  RecordHeartbeat(lease, kLease, milliseconds(9000));
  CHECK(LeaseEnd(lease, kLease) == milliseconds(4050));
}

TEST_CASE("the silence of a lone member starts when it is first seen") {
  FleetState state;
  for (const Incarnation incarnation : {1, 2}) {
    Join& join = state.members[incarnation].join;
    join.incarnation = incarnation;
    join.instance = "instance-" + std::to_string(incarnation);
    join.witnesses = {join.instance};
  }
  Witness witness;
  Listen(witness, milliseconds(0));
  RecordMembers(witness, state, milliseconds(9000));
  CHECK(
      SuspectedMembers(witness, state, 2, kLease, milliseconds(9100)).empty());
  CHECK(SuspectedMembers(witness, state, 2, kLease, milliseconds(13'000)) ==
        std::vector<Incarnation>{1});
}

TEST_CASE("the next witnesses are required only once their change was sent") {
  HolderLease lease;
  lease.instance = "a";
  lease.witnesses = {"a"};
  lease.next_witnesses = {"a", "b", "c"};
  lease.log_read_at = milliseconds(100);
  const uint64_t first = RecordHeartbeat(lease, kLease, milliseconds(100));
  CHECK(LeaseEnd(lease, kLease) == milliseconds(4100));
  lease.change_sent = true;
  CHECK(LeaseEnd(lease, kLease) == Duration{});
  CHECK(RecordVouch(lease, "c", first));
  CHECK(LeaseEnd(lease, kLease) == milliseconds(4100));
}

TEST_CASE("a vouch for a heartbeat older than the lease is rejected") {
  HolderLease lease;
  lease.instance = "a";
  lease.witnesses = {"a", "b", "c"};
  const uint64_t first = RecordHeartbeat(lease, kLease, milliseconds(0));
  RecordHeartbeat(lease, kLease, kLease);
  CHECK_FALSE(RecordVouch(lease, "b", first));
}

}  // namespace
}  // namespace celerykeel

#include "celerykeel/ctl/submit.h"

#include <doctest/doctest.h>

#include <deque>    // for std::deque
#include <utility>  // for std::move

#include "celerykeel/core/fold.h"         // for Fold
#include "celerykeel/ctl/views.h"         // for ShowSubmitted
#include "celerykeel/net/settings.h"      // for kExitRefused
#include "celerykeel/wire/fleet_codec.h"  // for DecodeFleetRecord

namespace celerykeel {
namespace {

// What the next append does; none left: it is taken and answered.
enum class Fault { kRefused, kLostBefore, kLostAfter, kTakenLate };

// A log and one steward that folds it, with a clock that only pauses move.
struct FakeFleet {
  FleetState state;
  std::deque<Fault> faults;
  std::deque<std::string> late;  // records that reach the log with a pause
  std::vector<MemberProgress> members;
  Duration now{};
  int appends = 0;
  bool steward_answers = true;

  Offset Take(const std::string& record) {
    const Offset offset = this->state.offset + 1;
    Fold(this->state, offset, DecodeFleetRecord(record));
    return offset;
  }

  AppendResult Append(const std::string& record) {
    ++this->appends;
    this->now += std::chrono::milliseconds(1);
    if (this->faults.empty()) {
      return {AppendOutcome::kAppended, this->Take(record), {}};
    }
    const Fault fault = this->faults.front();
    this->faults.pop_front();
    switch (fault) {
      case Fault::kRefused:
        return {AppendOutcome::kNotAppended, 0, std::chrono::seconds(1)};
      case Fault::kLostAfter:
        this->Take(record);
        break;
      case Fault::kTakenLate:
        this->late.push_back(record);
        break;
      case Fault::kLostBefore:
        break;
    }
    return {};
  }

  void Pause(Duration pause) {
    this->now += pause;
    while (!this->late.empty()) {
      this->Take(this->late.front());
      this->late.pop_front();
    }
  }

  SubmitAccess Access() {
    SubmitAccess access;
    access.status = [this](Duration) -> std::optional<InstanceStatus> {
      if (!this->steward_answers) {
        return std::nullopt;
      }
      return InstanceStatus{"utne-1", this->state, true, {}};
    };
    access.progress = [this](const InstanceStatus&) { return this->members; };
    access.append = [this](const std::string& record, Duration) {
      return this->Append(record);
    };
    access.now = [this] { return this->now; };
    access.pause = [this](Duration pause) { this->Pause(pause); };
    return access;
  }
};

Ticket TeamTicket(TicketNumber number, double rate = 5) {
  Ticket ticket;
  ticket.number = number;
  ticket.operator_name = "kari";
  Team team;
  team.id = "eidfjord-coop";
  team.rate = rate;
  team.burst = 10;
  ticket.teams = {team};
  return ticket;
}

template <typename T>
T Expect(const SubmitResult& result) {
  REQUIRE(std::holds_alternative<T>(result));
  return std::get<T>(result);
}

size_t AcceptedTickets(const FleetState& state) {
  size_t count = 0;
  for (const AuditEntry& entry : state.audit) {
    count += entry.accepted ? 1 : 0;
  }
  return count;
}

TEST_CASE("a ticket is appended once and found in the audit trail") {
  FakeFleet fleet;
  const auto result = SubmitTicket(TeamTicket(7), {}, fleet.Access());
  CHECK(Expect<SubmitAccepted>(result).offset == 1);
  CHECK(fleet.appends == 1);
}

TEST_CASE("what the check refuses is noted in the audit trail, not appended") {
  FakeFleet fleet;
  SubmitTicket(TeamTicket(7), {}, fleet.Access());
  const auto result = SubmitTicket(TeamTicket(6), {}, fleet.Access());
  const auto refused = Expect<SubmitRefused>(result);
  CHECK(KindOf(refused.refusal) == "stale_ticket");
  CHECK(refused.noted_at == 2U);
  CHECK(fleet.appends == 2);
  CHECK(fleet.state.numbers == std::set<TicketNumber>{7});
  CHECK_FALSE(fleet.state.audit.back().accepted);
  CHECK(fleet.state.audit.back().field == "teams[0]");
  CHECK(ShowSubmitted(TeamTicket(6), result).exit_status == kExitRefused);
}

TEST_CASE("unchecked, the fleet refuses and its audit trail shows it") {
  FakeFleet fleet;
  SubmitTicket(TeamTicket(7), {}, fleet.Access());
  SubmitOptions unchecked;
  unchecked.check_first = false;
  const auto result = SubmitTicket(TeamTicket(6), unchecked, fleet.Access());
  const auto refused = Expect<SubmitRefusedByFleet>(result);
  CHECK(refused.entry.field == "teams[0]");
  CHECK(refused.entry.offset == 2);
  CHECK(fleet.state.audit.back() == refused.entry);
}

TEST_CASE("a ticket submitted again is found in force") {
  FakeFleet fleet;
  SubmitTicket(TeamTicket(7), {}, fleet.Access());
  const auto again =
      Expect<SubmitAccepted>(SubmitTicket(TeamTicket(7), {}, fleet.Access()));
  CHECK(again.already);
  CHECK(again.offset == 1);
  CHECK(fleet.appends == 1);
}

TEST_CASE("another ticket of the same number is not taken for this one") {
  FakeFleet fleet;
  SubmitTicket(TeamTicket(7), {}, fleet.Access());
  const auto result = SubmitTicket(TeamTicket(7, 99), {}, fleet.Access());
  CHECK(KindOf(Expect<SubmitRefused>(result).refusal) == "number_taken");
}

TEST_CASE("an append whose answer was lost is found, not repeated") {
  FakeFleet fleet;
  fleet.faults = {Fault::kLostAfter};
  const auto result = SubmitTicket(TeamTicket(7), {}, fleet.Access());
  CHECK(Expect<SubmitAccepted>(result).offset == 1);
  CHECK(fleet.appends == 1);
}

TEST_CASE("an append that shows up late is found, not repeated") {
  FakeFleet fleet;
  fleet.faults = {Fault::kTakenLate};
  const auto result = SubmitTicket(TeamTicket(7), {}, fleet.Access());
  CHECK(Expect<SubmitAccepted>(result).offset == 1);
  CHECK(fleet.appends == 1);
}

TEST_CASE("an append that was lost before it took effect is tried again") {
  FakeFleet fleet;
  fleet.faults = {Fault::kLostBefore, Fault::kLostBefore};
  const auto result = SubmitTicket(TeamTicket(7), {}, fleet.Access());
  CHECK(Expect<SubmitAccepted>(result).offset == 1);
  CHECK(fleet.appends == 3);
}

TEST_CASE("a repetition that arrives after the lost one changes nothing") {
  FakeFleet fleet;
  fleet.Take(EncodeFleetRecord(TeamTicket(7)));
  SubmitAccess access = fleet.Access();
  // The first status is from before the record was folded.
  bool first = true;
  access.status = [&](Duration) -> std::optional<InstanceStatus> {
    return InstanceStatus{
        "utne-1",
        std::exchange(first, false) ? FleetState{} : fleet.state,
        true,
        {}};
  };
  const auto result = SubmitTicket(TeamTicket(7), {}, access);
  CHECK(Expect<SubmitAccepted>(result).offset == 1);
  CHECK(fleet.state.offset == 2);
  CHECK(AcceptedTickets(fleet.state) == 1);
}

TEST_CASE("a log that is down is told apart from an unknown outcome") {
  FakeFleet down;
  down.faults = std::deque<Fault>(100, Fault::kRefused);
  CHECK(Expect<SubmitFailed>(SubmitTicket(TeamTicket(7), {}, down.Access()))
            .fault == SubmitFault::kNotAppended);
  CHECK(down.now <= SubmitOptions{}.timeout);
  CHECK(down.state.offset == 0);
  FakeFleet lossy;
  lossy.faults = std::deque<Fault>(100, Fault::kLostBefore);
  CHECK(Expect<SubmitFailed>(SubmitTicket(TeamTicket(7), {}, lossy.Access()))
            .fault == SubmitFault::kUnknown);
  CHECK(lossy.now <= SubmitOptions{}.timeout + std::chrono::milliseconds(1));
  FakeFleet silent;
  silent.steward_answers = false;
  CHECK(Expect<SubmitFailed>(SubmitTicket(TeamTicket(7), {}, silent.Access()))
            .fault == SubmitFault::kNoSteward);
  CHECK(silent.appends == 0);
}

TEST_CASE("with wait, instances that have not folded the ticket are named") {
  FakeFleet fleet;
  MemberProgress folded;
  folded.instance = "utne-1";
  folded.asked = true;
  folded.offset = 1;
  MemberProgress frozen = folded;
  frozen.instance = "jondal-1";
  frozen.offset = 0;
  MemberProgress silent = folded;
  silent.instance = "kinsarvik-1";
  silent.offset.reset();
  SubmitOptions wait;
  wait.wait_for_all = true;
  fleet.members = {folded, frozen, silent};
  const auto result = SubmitTicket(TeamTicket(7), wait, fleet.Access());
  CHECK(Expect<SubmitAccepted>(result).missing ==
        std::vector<std::string>{"jondal-1", "kinsarvik-1"});
  CHECK(ShowSubmitted(TeamTicket(7), result).exit_status == kExitFailed);
  fleet.members = {folded};
  const auto all = SubmitTicket(TeamTicket(7), wait, fleet.Access());
  CHECK(Expect<SubmitAccepted>(all).missing.empty());
  CHECK(ShowSubmitted(TeamTicket(7), all).exit_status == kExitDone);
}

}  // namespace
}  // namespace celerykeel

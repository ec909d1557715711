#include "celerykeel/steward/control.h"

#include <doctest/doctest.h>

#include "celerykeel/core/fold.h"         // for Fold
#include "celerykeel/steward/feed.h"      // for MakeUpdate
#include "celerykeel/wire/fleet_codec.h"  // for EncodeFleetRecord

namespace celerykeel {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStart = std::chrono::seconds(100);

StewardOptions Options() {
  StewardOptions options;
  options.instance = "a";
  options.availability_zone = "utne";
  options.peers = "127.0.0.1:9000";
  return options;
}

std::string TeamRecord(TicketNumber number, std::string id) {
  Ticket ticket;
  ticket.number = number;
  Team team;
  team.id = std::move(id);
  team.rate = 1;
  team.burst = 1;
  ticket.teams.push_back(team);
  return EncodeFleetRecord(ticket);
}

FleetPage Page(Offset earliest, std::vector<LogEntry> entries) {
  FleetPage page;
  page.page.earliest = earliest;
  page.page.next = entries.empty() ? 1 : entries.back().offset + 1;
  page.page.entries = std::move(entries);
  page.asked_at = kStart;
  return page;
}

std::string SnapshotRecord(const FleetState& state) {
  return EncodeFleetRecord(
      Snapshot{state.offset, std::make_shared<const FleetState>(state)});
}

FleetState StateAt(Offset offset) {
  FleetState state;
  for (Offset i = 1; i <= offset; ++i) {
    Fold(state, i,
         DecodeFleetRecord(TeamRecord(i, "team-" + std::to_string(i))));
  }
  return state;
}

TEST_CASE("a reader that starts in the middle restores the newest snapshot") {
  Control control = MakeControl(Options(), 1);
  Outbox out;
  OnFleetPage(control,
              Page(3, {{3, TeamRecord(3, "team-3")},
                       {4, SnapshotRecord(StateAt(2))},
                       {5, TeamRecord(5, "team-5")}}),
              kStart, out);
  CHECK(control.state.offset == 5);
  CHECK(control.caught_up);
  CHECK(control.state.in_force.teams.size() == 4);
  CHECK(MakeUpdate(control, 0).has_snapshot());
  CHECK(MakeUpdate(control, 3).records_size() == 2);
}

TEST_CASE("without a usable snapshot an instance does not guess, nor join") {
  Control control = MakeControl(Options(), 1);
  Outbox out;
  // The snapshot's successors 2 to 4 have expired.
  OnFleetPage(
      control,
      Page(5, {{5, TeamRecord(5, "team-5")}, {6, SnapshotRecord(StateAt(1))}}),
      kStart, out);
  OnTick(control, kStart, out);
  CHECK(control.state.offset == 0);
  CHECK_FALSE(control.caught_up);
  CHECK(out.log.empty());

  // A later one brings it back.
  OnFleetPage(control, Page(5, {{7, SnapshotRecord(StateAt(4))}}), kStart, out);
  CHECK(control.state.offset == 7);
  CHECK(control.state.in_force.teams.contains("team-5"));
}

TEST_CASE("a record that does not decode is skipped, counted and audited") {
  Control control = MakeControl(Options(), 1);
  Outbox out;
  OnFleetPage(control, Page(1, {{1, "\xff\xff"}, {2, TeamRecord(2, "team-2")}}),
              kStart, out);
  CHECK(control.state.offset == 2);
  CHECK(control.state.unreadable == 1);
  REQUIRE_FALSE(control.state.audit.empty());
  CHECK(control.state.audit.front().kind == "unreadable");
  CHECK(control.state.in_force.teams.contains("team-2"));
}

TEST_CASE("a torn message of a peer is dropped and counted") {
  Control control = MakeControl(Options(), 1);
  Outbox out;
  OnPeerBytes(control, PeerAt("127.0.0.1:1"), "\xff\xff\xff", kStart, out);
  OnPeerBytes(control, PeerAt("127.0.0.1:1"), "", kStart, out);
  CHECK(control.totals.dropped_messages == 2);
  CHECK(out.peers.empty());
}

TEST_CASE("an uncertain Join is appended again under the same incarnation") {
  Control control = MakeControl(Options(), 1);
  Outbox out;
  OnFleetPage(control, Page(1, {}), kStart, out);
  REQUIRE(out.log.size() == 1);
  OnOwnRecord(control, OwnRecord::kJoin, {}, kStart);
  OnTick(control, kStart + std::chrono::seconds(2), out);
  REQUIRE(out.log.size() == 2);
  CHECK(out.log[0].payload == out.log[1].payload);
}

TEST_CASE("an instance that can't append its Leave goes all the same") {
  Control control = MakeControl(Options(), 1);
  Outbox out;
  OnFleetPage(control, Page(1, {}), kStart, out);
  OnFleetPage(control, Page(1, {{1, out.log.at(0).payload}}), kStart, out);
  REQUIRE(control.self != 0);
  OnLogFailure(control, out);
  OnDrain(control, kStart, out);
  OnTick(control, kStart, out);
  REQUIRE(out.log.size() == 2);
  CHECK(out.log[1].kind == OwnRecord::kLeave);
  CHECK_FALSE(control.left);
  OnTick(control, kStart + std::chrono::seconds(6), out);
  CHECK(control.left);
}

TEST_CASE("the chosen member writes a snapshot once it is due") {
  StewardOptions options = Options();
  options.snapshot_every = std::chrono::seconds(1);
  Control control = MakeControl(options, 1);
  Outbox joining;
  OnFleetPage(control, Page(1, {}), kStart, joining);
  OnFleetPage(control, Page(1, {{1, joining.log.at(0).payload}}), kStart,
              joining);
  REQUIRE(control.self != 0);
  Outbox out;
  OnTick(control, kStart, out);
  CHECK(out.log.empty());
  OnTick(control, kStart + milliseconds(1100), out);
  REQUIRE(out.log.size() == 1);
  CHECK(out.log[0].kind == OwnRecord::kSnapshot);
}

}  // namespace
}  // namespace celerykeel

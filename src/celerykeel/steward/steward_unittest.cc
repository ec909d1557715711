#include "celerykeel/steward/steward.h"

#include <doctest/doctest.h>

#include <functional>  // for std::function
#include <thread>      // for std::this_thread

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/net/bounded_ring.h"      // for BoundedRing
#include "celerykeel/net/feed_client.h"       // for FeedClient
#include "celerykeel/testing/fake_log.h"      // for FakeLog
#include "celerykeel/testing/free_address.h"  // for FreeAddress
#include "celerykeel/wire/fleet_codec.h"      // for EncodeFleetRecord

namespace celerykeel {
namespace {

constexpr Duration kPatience = std::chrono::seconds(20);

// Waits for something that another thread brings about.
bool Eventually(const std::function<bool()>& holds) {
  const Duration deadline = Now() + kPatience;
  while (!holds()) {
    if (Now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

StewardOptions OptionsOf(int number, const FakeLog& log) {
  StewardOptions options;
  options.instance = "instance-" + std::to_string(number);
  options.availability_zone = "zone-" + std::to_string(number);
  options.log = log.Address();
  options.feed = FreeAddress();
  options.peers = FreeAddress();
  options.operators = FreeAddress();
  options.gate_address = FreeAddress();
  options.scheduler_address = FreeAddress();
  options.rate_address = FreeAddress();
  options.lease = std::chrono::seconds(2);
  options.heartbeat = std::chrono::milliseconds(50);
  options.margin = std::chrono::milliseconds(200);
  return options;
}

std::unique_ptr<Steward> Start(const StewardOptions& options) {
  auto steward = Steward::Create(options);
  REQUIRE(steward.has_value());
  return std::move(*steward);
}

std::unique_ptr<FeedClient> Reader(const StewardOptions& options) {
  auto client = FeedClient::Create({"scheduler", options.feed}, {});
  REQUIRE(client.has_value());
  return std::move(*client);
}

std::string TicketRecord(TicketNumber number) {
  Ticket ticket;
  ticket.number = number;
  Team team;
  team.id = "eidfjord-coop";
  team.rate = 5;
  team.burst = 10;
  ticket.teams.push_back(team);
  return EncodeFleetRecord(ticket);
}

TEST_CASE("an instance joins and its processes fold what the log holds") {
  FakeLog log;
  log.Put("fleet", TicketRecord(1));
  const StewardOptions options = OptionsOf(1, log);
  const auto steward = Start(options);
  BoundedRing<AppendResult> results(1);
  BoundedRing<JournalPage> pages(1);
  const auto reader = Reader(options);
  REQUIRE(Eventually([&] { return HoldsLease(reader->View(), Now()); }));
  const FleetView view = reader->View();
  CHECK(view.state->members.at(view.self).join.instance == "instance-1");
  CHECK(view.state->in_force.teams.contains("eidfjord-coop"));

  REQUIRE(reader->AppendJournal(
      {"one", "two"},
      [&](const AppendResult& result) { results.Push(result); }));
  const auto result = results.Pop(kPatience);
  REQUIRE(result.has_value());
  CHECK(result->outcome == AppendOutcome::kAppended);
  CHECK(result->first_offset == 1);

  REQUIRE(reader->ReadJournal(
      view.self, 1, 1, [&](const JournalPage& page) { pages.Push(page); }));
  const auto page = pages.Pop(kPatience);
  REQUIRE(page.has_value());
  CHECK(page->ok);
  CHECK(page->next_from == 2);
  REQUIRE(page->entries.size() == 1);
  CHECK(page->entries[0].payload == "one");
}

TEST_CASE("a Join whose answer was lost joins once") {
  FakeLog log;
  log.lose_answers = 1;
  const StewardOptions options = OptionsOf(2, log);
  const auto steward = Start(options);
  const auto reader = Reader(options);
  REQUIRE(Eventually([&] { return HoldsLease(reader->View(), Now()); }));
  CHECK(reader->View().state->members.size() == 1);
}

// Three stewards and a reader of each feed.
struct Fleet {
  explicit Fleet(FakeLog& given) : log(given) {
    for (int i = 0; i < 3; ++i) {
      this->options.push_back(OptionsOf(i, this->log));
      this->stewards.push_back(Start(this->options.back()));
      this->readers.push_back(Reader(this->options.back()));
    }
  }

  FleetView View(size_t i) const { return this->readers[i]->View(); }

  bool Holds(size_t i) const { return HoldsLease(this->View(i), Now()); }

  // Every member has the other two as witnesses.
  bool HasWitnesses() const {
    for (size_t i = 0; i < this->readers.size(); ++i) {
      const FleetView view = this->View(i);
      const auto own = view.state->members.find(view.self);
      if (own == view.state->members.end() || !this->Holds(i) ||
          own->second.join.witnesses.size() != 3) {
        return false;
      }
    }
    return true;
  }

  FakeLog& log;
  std::vector<StewardOptions> options;
  std::vector<std::unique_ptr<Steward>> stewards;
  std::vector<std::unique_ptr<FeedClient>> readers;
};

TEST_CASE("three instances become each other's witnesses") {
  FakeLog log;
  const Fleet fleet(log);
  REQUIRE(Eventually([&] { return fleet.HasWitnesses(); }));
  CHECK(fleet.View(0).state->members.size() == 3);
  CHECK(fleet.View(0).state->departed.empty());
}

TEST_CASE("an instance that died is evicted by the others") {
  FakeLog log;
  Fleet fleet(log);
  REQUIRE(Eventually([&] { return fleet.HasWitnesses(); }));
  const Incarnation dead = fleet.View(2).self;
  fleet.stewards[2].reset();
  REQUIRE(Eventually([&] {
    return fleet.View(0).state->departed.contains(dead) &&
           fleet.View(1).state->departed.contains(dead);
  }));
  CHECK(fleet.View(0).state->departed.at(dead).evicted);
  CHECK(fleet.Holds(0));
  CHECK(fleet.Holds(1));
}

TEST_CASE("a steward that starts again replaces its earlier run") {
  FakeLog log;
  Fleet fleet(log);
  REQUIRE(Eventually([&] { return fleet.HasWitnesses(); }));
  const Incarnation earlier = fleet.View(2).self;
  fleet.stewards[2].reset();
  fleet.stewards[2] = Start(fleet.options[2]);
  REQUIRE(Eventually(
      [&] { return fleet.View(2).self != earlier && fleet.HasWitnesses(); }));
  CHECK(fleet.View(0).state->departed.contains(earlier));
  CHECK(fleet.View(0).state->members.size() == 3);
}

TEST_CASE("while the log is down for all, leases and freshness go on") {
  FakeLog log;
  Fleet fleet(log);
  REQUIRE(Eventually([&] { return fleet.HasWitnesses(); }));
  log.down = true;
  REQUIRE(Eventually([&] {
    return !fleet.View(0).log_reachable && !fleet.View(1).log_reachable &&
           !fleet.View(2).log_reachable;
  }));
  const Duration later = Now() + fleet.options[0].lease;
  REQUIRE(Eventually([&] {
    return fleet.View(0).lease_until > later + fleet.options[0].lease / 2 &&
           fleet.View(0).fresh_at > later;
  }));

  // An instance that starts now reads, from the peers that it is told of, and
  // does not join.
  StewardOptions late = OptionsOf(3, log);
  late.seed_peers = {fleet.options[0].peers};
  const auto steward = Start(late);
  const auto reader = Reader(late);
  const Offset offset = fleet.View(0).state->offset;
  REQUIRE(Eventually([&] { return reader->View().state->offset >= offset; }));
  CHECK(reader->View().self == 0);
  CHECK(reader->View().fresh_at > Duration{});

  log.down = false;
  REQUIRE(Eventually([&] { return reader->View().self != 0; }));
}

TEST_CASE("an instance cut off from the log learns records from its peers") {
  FakeLog log;
  Fleet fleet(log);
  REQUIRE(Eventually([&] { return fleet.HasWitnesses(); }));
  log.Cut(fleet.options[1].instance);
  REQUIRE(Eventually([&] { return !fleet.View(1).log_reachable; }));
  log.Put("fleet", TicketRecord(7));
  const Duration put_at = Now();
  REQUIRE(Eventually([&] {
    return fleet.View(1).state->in_force.teams.contains("eidfjord-coop");
  }));
  REQUIRE(Eventually([&] { return fleet.View(1).fresh_at > put_at; }));
  CHECK_FALSE(fleet.View(1).log_reachable);
  CHECK(fleet.Holds(1));
}

TEST_CASE("a drained instance leaves, and the log shows it") {
  FakeLog log;
  Fleet fleet(log);
  REQUIRE(Eventually([&] { return fleet.HasWitnesses(); }));
  const Incarnation leaving = fleet.View(2).self;
  fleet.stewards[2]->Drain();
  REQUIRE(Eventually([&] { return fleet.View(2).draining; }));
  CHECK_FALSE(fleet.stewards[2]->HasLeft());
  // The process ends right after its report, as a gate does.
  fleet.readers[2]->ReportDrained();
  fleet.readers[2].reset();
  REQUIRE(Eventually([&] { return fleet.stewards[2]->HasLeft(); }));
  REQUIRE(Eventually(
      [&] { return fleet.View(0).state->departed.contains(leaving); }));
  CHECK_FALSE(fleet.View(0).state->departed.at(leaving).evicted);
}

}  // namespace
}  // namespace celerykeel

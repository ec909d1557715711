#include "celerykeel/steward/steward.h"

#include <doctest/doctest.h>

#include <functional>  // for std::function
#include <thread>      // for std::this_thread

#include "celerykeel/net/bounded_ring.h"  // for BoundedRing
#include "celerykeel/net/clock.h"         // for Now
#include "celerykeel/net/feed_client.h"   // for FeedClient
#include "celerykeel/testing/fake_log.h"  // for FakeLog
#include "celerykeel/wire/fleet_codec.h"  // for EncodeFleetRecord

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

std::string AddressAt(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Each instance takes ten ports.
StewardOptions OptionsOf(int number, const FakeLog& log) {
  const int port = 22900 + number * 10;
  StewardOptions options;
  options.instance = "instance-" + std::to_string(number);
  options.availability_zone = "zone-" + std::to_string(number);
  options.log = log.Address();
  options.feed = AddressAt(port);
  options.peers = AddressAt(port + 1);
  options.operators = AddressAt(port + 2);
  options.gate_address = AddressAt(port + 3);
  options.scheduler_address = AddressAt(port + 4);
  options.rate_address = AddressAt(port + 5);
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
  const auto reader = Reader(options);
  REQUIRE(Eventually([&] { return HoldsLease(reader->View(), Now()); }));
  const FleetView view = reader->View();
  CHECK(view.state->members.at(view.self).join.instance == "instance-1");
  CHECK(view.state->in_force.teams.contains("eidfjord-coop"));

  BoundedRing<AppendResult> results(1);
  REQUIRE(reader->AppendJournal(
      {"one", "two"},
      [&](const AppendResult& result) { results.Push(result); }));
  const auto result = results.Pop(kPatience);
  REQUIRE(result.has_value());
  CHECK(result->outcome == AppendOutcome::kAppended);
  CHECK(result->first_offset == 1);

  BoundedRing<JournalPage> pages(1);
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

}  // namespace
}  // namespace celerykeel

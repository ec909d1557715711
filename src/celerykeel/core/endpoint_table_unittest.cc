#include "celerykeel/core/endpoint_table.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::seconds;

constexpr Duration kNow = seconds(100);

EndpointEntry Entry(const std::string& id,
                    const std::string& address,
                    WallMillis started_at) {
  return {.id = id,
          .service = "s",
          .address = address,
          .zone = "z",
          .version = "v1",
          .slots = 4,
          .leaving = false,
          .warming = {},
          .started_at = started_at,
          .beat = 1};
}

const EndpointStatus* Chosen(EndpointTable& table) {
  return ChooseEndpoint(
      table, {.service = "s", .zone = "z", .subject = "p", .preferred = {}},
      kNow);
}

TEST_CASE("an endpoint that announced its departure gets no new calls") {
  EndpointTable table;
  RecordEntry(table, Entry("e1", "1.2.3.4:5", 1700));
  REQUIRE(Chosen(table) != nullptr);
  CHECK(RecordDeparture(table, "e1", 1700));
  CHECK_FALSE(RecordDeparture(table, "e1", 1700));

  SUBCASE("although its entry does not show the departure") {
    EndpointEntry entry = Entry("e1", "1.2.3.4:5", 1700);
    entry.beat = 9;
    RecordEntry(table, entry);
    CHECK(Chosen(table) == nullptr);
  }
  SUBCASE("although its entry was removed and reappeared") {
    RecordRemoval(table, "e1", kNow);
    RecordEntry(table, Entry("e1", "1.2.3.4:5", 1700));
    CHECK(Chosen(table) == nullptr);
  }
  SUBCASE("until it restarts with the same id") {
    RecordEntry(table, Entry("e1", "1.2.3.4:5", 1900));
    CHECK(Chosen(table) != nullptr);
    // A late answer of the earlier start changes nothing.
    CHECK_FALSE(RecordDeparture(table, "e1", 1700));
    CHECK(Chosen(table) != nullptr);
  }
  SUBCASE("but another endpoint at the same address does") {
    RecordEntry(table, Entry("e2", "1.2.3.4:5", 1700));
    REQUIRE(Chosen(table) != nullptr);
    CHECK(Chosen(table)->entry.id == "e2");
  }
}

// Guards against programs that move at every turn, and are read again each
// time, while all endpoints are full.
TEST_CASE("an overloaded service: programs stay at their last endpoint") {
  EndpointTable table;
  for (const char* id : {"e1", "e2", "e3"}) {
    RecordEntry(table, Entry(id, std::string(id) + ":5", 1700));
  }
  const EndpointCriteria criteria{.service = "s",
                                  .zone = "z",
                                  .subject = "p",
                                  .preferred = "e2",
                                  .prefers_subject = true};
  table.endpoints["e1"].in_flight = 4;
  table.endpoints["e2"].in_flight = 5;
  table.endpoints["e3"].in_flight = 6;
  CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e2");

  SUBCASE("unless another one is much less loaded") {
    table.endpoints["e2"].in_flight = 6;
    CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e1");
  }
  SUBCASE("also if its rate limit requires a short wait") {
    RecordLimitedUntil(table, "e2", kNow + kPreferredLimitWait);
    CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e2");
    RecordLimitedUntil(table, "e2", kNow + 2 * kPreferredLimitWait);
    CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e1");
  }
}

// Guards against shares between zones that override a failure or a limit, or
// move a program from the endpoint that has read its prompt.
TEST_CASE("shares between zones: what ranks first, and where programs stay") {
  EndpointTable table;
  for (const char* id : {"a1", "a2", "b1", "b2"}) {
    EndpointEntry entry = Entry(id, std::string(id) + ":5", 1700);
    entry.zone = entry.id.substr(0, 1);
    RecordEntry(table, entry);
  }
  ZoneShares shares;
  EndpointCriteria criteria{
      .service = "s", .zone = "a", .subject = "p", .preferred = {}};
  criteria.zone_shares = &shares;
  const auto zone = [&] {
    return ChooseEndpoint(table, criteria, kNow)->entry.zone;
  };
  CHECK(zone() == "a");
  shares.shares["b"] = 1;
  CHECK(zone() == "b");
  RecordFailure(table, "b1", kNow);
  RecordLimitedUntil(table, "b2", kNow + seconds(1));
  CHECK(zone() == "a");
  CHECK_FALSE(IsUsable(table, table.endpoints["b2"], kNow));

  criteria.prefers_subject = true;
  criteria.preferred = "a2";
  CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "a2");
  criteria.preferred = "gone";
  shares.shares.clear();
  CHECK(zone() == "a");

  SUBCASE("a zone that is full is left whatever the shares say") {
    table.endpoints["a1"].in_flight = 40;
    table.endpoints["a2"].in_flight = 40;
    RecordSuccess(table, "b1");
    RecordLimitedUntil(table, "b2", {});
    criteria.prefers_subject = false;
    CHECK(zone() == "b");
  }
}

TEST_CASE("an endpoint whose rate limit is used up is the last choice") {
  EndpointTable table;
  RecordEntry(table, Entry("e1", "1.2.3.4:5", 1700));
  RecordEntry(table, Entry("e2", "1.2.3.5:5", 1700));
  RecordLimitedUntil(table, "e1", kNow + seconds(1));
  CHECK(Chosen(table)->entry.id == "e2");
  RecordLimitedUntil(table, "e2", kNow + seconds(2));
  CHECK(Chosen(table)->entry.id == "e1");
}

// Guards against a stream whose rest comes from another software version.
TEST_CASE("a release: a stream stays at the version that began it") {
  EndpointTable table;
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    EndpointEntry entry = Entry(id, std::string(id) + ":5", 1700);
    entry.version = entry.id < "e3" ? "v1" : "v2";
    RecordEntry(table, entry);
  }
  EndpointCriteria criteria{
      .service = "s", .zone = "z", .subject = "p", .preferred = "e3"};
  criteria.prefers_subject = true;
  CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e3");
  criteria.version = "v1";
  std::set<std::string> tried;
  criteria.excluded = &tried;
  table.endpoints["e1"].in_flight = 9;
  table.endpoints["e2"].in_flight = 9;
  for (int i = 0; i < 2; ++i) {
    const EndpointStatus* chosen = ChooseEndpoint(table, criteria, kNow);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->entry.version == "v1");
    tried.insert(chosen->entry.id);
  }
  CHECK(ChooseEndpoint(table, criteria, kNow) == nullptr);
}

// Guards against calls that reach an evacuated zone as they prefer an endpoint
// there, must run alone there or resume a stream that began there.
TEST_CASE("endpoints of an evacuated zone get no calls") {
  EndpointTable table;
  for (const char* id : {"e1", "e2"}) {
    EndpointEntry entry = Entry(id, std::string(id) + ":5", 1700);
    entry.zone = entry.id == "e1" ? "za" : "zb";
    entry.version = entry.id == "e1" ? "v1" : "v2";
    RecordEntry(table, entry);
  }
  EndpointCriteria criteria{.service = "s",
                            .zone = "za",
                            .subject = "p",
                            .preferred = "e1",
                            .prefers_subject = true};
  REQUIRE(ChooseEndpoint(table, criteria, kNow)->entry.id == "e1");
  RecordEvacuation(table.evacuations, "za", {.in_force = true, .offset = 3});
  CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e2");
  CHECK_FALSE(TakesWork(table, {"s", "v1"}));
  CHECK_FALSE(IsServiceEvacuated(table, "s"));
  criteria.only = "e1";
  CHECK(ChooseEndpoint(table, criteria, kNow) == nullptr);
  criteria.only = "";
  RecordEvacuation(table.evacuations, "zb", {.in_force = true, .offset = 4});
  CHECK(ChooseEndpoint(table, criteria, kNow) == nullptr);
  CHECK(IsServiceEvacuated(table, "s"));
  CHECK_FALSE(IsServiceEvacuated(table, "other"));
  RecordEvacuation(table.evacuations, "za", {.in_force = false, .offset = 5});
  CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e1");
}

}  // namespace
}  // namespace celerykeel

#include "celerykeel/core/cold_endpoints.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kNow = seconds(100);

EndpointEntry Entry(uint64_t beat,
                    std::optional<Duration> cold,
                    WallMillis started_at = 1700) {
  return {.id = "e1",
          .service = "s",
          .address = "1.2.3.4:5",
          .zone = "z",
          .version = "v1",
          .slots = 4,
          .leaving = false,
          .warming = cold,
          .started_at = started_at,
          .beat = beat};
}

EndpointTable ColdTable() {
  EndpointTable table;
  table.cold_traits["s"] = {.per_second = 6, .after_start = seconds(20)};
  return table;
}

bool Record(EndpointTable& table, const EndpointEntry& entry, Duration now) {
  RecordEntry(table, entry);
  return RecordColdness(table, entry, true, now);
}

bool IsCold(const EndpointTable& table, Duration now) {
  return ColdRateOf(table, table.endpoints.at("e1"), now).has_value();
}

// Guards against a message to all peers for each heartbeat of a cold endpoint,
// and against peers that never learn that an endpoint became cold.
TEST_CASE("only unexpected changes of coldness are news") {
  EndpointTable table = ColdTable();
  CHECK(Record(table, Entry(1, seconds(8)), kNow));
  CHECK(IsCold(table, kNow + seconds(7)));
  CHECK_FALSE(IsCold(table, kNow + seconds(8)));
  CHECK_FALSE(
      Record(table, Entry(2, milliseconds(7600)), kNow + milliseconds(500)));
  CHECK_FALSE(Record(table, Entry(3, seconds(0)), kNow + seconds(8)));
  CHECK(Record(table, Entry(4, seconds(5)), kNow + seconds(9)));
  CHECK(Record(table, Entry(5, seconds(0)), kNow + seconds(10)));
  CHECK_FALSE(IsCold(table, kNow + seconds(10)));
}

// Guards against an endpoint that stays cold for ever, as its last entry is
// read again in each complete list.
TEST_CASE("an entry that is read again does not prolong the cold time") {
  EndpointTable table = ColdTable();
  Record(table, Entry(1, seconds(8)), kNow);
  CHECK_FALSE(Record(table, Entry(1, seconds(8)), kNow + seconds(4)));
  CHECK_FALSE(IsCold(table, kNow + seconds(8)));
}

TEST_CASE("a start counts as cold unless its entry says otherwise") {
  EndpointTable table = ColdTable();
  Record(table, Entry(1, std::nullopt), kNow);
  CHECK(IsCold(table, kNow + seconds(19)));
  Record(table, Entry(2, seconds(0)), kNow + seconds(1));
  CHECK_FALSE(IsCold(table, kNow + seconds(1)));
  Record(table, Entry(1, std::nullopt, 1900), kNow + seconds(30));
  CHECK(IsCold(table, kNow + seconds(31)));
}

// Guards against full load at endpoints that became cold during the evacuation
// of their zone, or that restarted and have not written an entry yet.
TEST_CASE("an endpoint may count as cold until later entries deny it") {
  EndpointTable table = ColdTable();
  Record(table, Entry(5, seconds(0)), kNow);
  REQUIRE_FALSE(IsCold(table, kNow));
  SUBCASE("after the evacuation of its zone") {
    PresumeZoneCold(table, "other");
    CHECK_FALSE(IsCold(table, kNow));
    PresumeZoneCold(table, "z");
    CHECK(IsCold(table, kNow));
    CHECK_FALSE(Record(table, Entry(5, seconds(0)), kNow));
    CHECK(IsCold(table, kNow));
    CHECK(Record(table, Entry(6, seconds(0)), kNow));
    CHECK_FALSE(IsCold(table, kNow));
  }
  SUBCASE("after a crash, as entries of the former process may follow") {
    PresumeCold(table, "e1");
    Record(table, Entry(6, seconds(0)), kNow);
    CHECK(IsCold(table, kNow));
    SUBCASE("until it starts anew") {
      CHECK(Record(table, Entry(1, seconds(3), 1900), kNow));
      CHECK_FALSE(IsCold(table, kNow + seconds(3)));
    }
    SUBCASE("until it goes on writing entries") {
      Record(table, Entry(8, seconds(0)), kNow);
      CHECK_FALSE(IsCold(table, kNow));
    }
  }
}

TEST_CASE("the lower one of the rate limit and the cold rate applies") {
  EndpointTable table = ColdTable();
  EndpointLimits limits;
  Record(table, Entry(1, seconds(8)), kNow);
  const EndpointStatus& endpoint = table.endpoints.at("e1");
  CHECK(CallLimitOf(limits, table, endpoint, kNow)->per_second == 6);
  for (const double named : {2.0, 9.0}) {
    RecordLimit(limits, "e1",
                {.per_second = named,
                 .started_at = 1700,
                 .answered_at = kNow + milliseconds(int(named)),
                 .announced = std::nullopt});
    const auto limit = CallLimitOf(limits, table, endpoint, kNow);
    REQUIRE(limit);
    CHECK(limit->per_second == std::min(named, 6.0));
    CHECK(limit->is_cold);
  }
  CHECK_FALSE(CallLimitOf(limits, table, endpoint, kNow + seconds(9))->is_cold);
  table.cold_traits.clear();
  CHECK(CallLimitOf(limits, table, endpoint, kNow)->per_second == 9);
  CHECK_FALSE(CallLimitOf({}, table, endpoint, kNow));
}

// Guards against programs that are slowed down by cold endpoints while others
// have room.
TEST_CASE("a call goes to a warm endpoint if one has room") {
  EndpointTable table = ColdTable();
  Record(table, Entry(1, seconds(8)), kNow);
  EndpointEntry warm = Entry(1, seconds(0));
  warm.id = "e2";
  RecordEntry(table, warm);
  EndpointCriteria criteria{
      .service = "s", .zone = "z", .subject = "p", .preferred = "e1"};
  criteria.prefers_subject = true;
  table.endpoints["e2"].in_flight = 3;
  CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e2");
  SUBCASE("else to a cold one") {
    table.endpoints["e2"].in_flight = 4;
    CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e1");
  }
  SUBCASE("a service without a limit for cold endpoints is served as before") {
    table.cold_traits.clear();
    CHECK(ChooseEndpoint(table, criteria, kNow)->entry.id == "e1");
  }
}

}  // namespace
}  // namespace celerykeel

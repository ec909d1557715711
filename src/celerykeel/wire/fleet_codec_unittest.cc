#include "celerykeel/wire/fleet_codec.h"

#include <doctest/doctest.h>

#include <memory>  // for std::make_shared

#include "celerykeel/core/fold.h"         // for Fold
#include "celerykeel/wire/ticket_json.h"  // for ParseTicketJson

namespace celerykeel {
namespace {

Ticket Everything() {
  auto ticket = ParseTicketJson(R"({
    "number": 7, "operator": "kari", "comment": "first",
    "profiles": [{"id": "default", "valueWeighted": true}],
    "teams": [{"id": "coop", "rate": 5, "burst": 10, "profile": "default"}],
    "models": [{"id": "assistant", "version": "3", "minEndpoints": 1,
                "weightBytes": "9000000000"}],
    "adapters": [{"id": "fruit", "model": "assistant", "version": "1"}],
    "endpoints": [
      {"id": "e1", "kind": "MODEL_ENGINE", "host": "127.0.0.1", "port": 1,
       "availabilityZone": "utne", "model": "assistant", "slots": 4,
       "adapters": ["fruit"], "cacheTokens": 5, "checksFencing": true,
       "state": "LEAVING"},
      {"id": "s1", "kind": "PLAIN_SERVICE", "host": "127.0.0.1", "port": 2,
       "availabilityZone": "utne", "service": "booking"}],
    "routes": [{"id": "r1", "service": "booking", "pathPrefix": "/slots",
                "method": "POST", "openToAll": true, "value": 2.5}]
  })");
  REQUIRE(ticket.has_value());
  return *ticket;
}

template <typename T>
T RoundTrip(const T& record) {
  const FleetRecord decoded = DecodeFleetRecord(EncodeFleetRecord(record));
  REQUIRE(std::holds_alternative<T>(decoded));
  return std::get<T>(decoded);
}

TEST_CASE("records survive encoding and decoding unchanged") {
  const Ticket ticket = Everything();
  CHECK(RoundTrip(ticket) == ticket);
  const Join join{1,   "a", "utne",     "g", "s", "t",
                  "r", "o", {"a", "b"}, 2,   "f", 9};
  CHECK(RoundTrip(join) == join);
  CHECK(RoundTrip(Leave{3}).incarnation == 3);
  const Evict evict = RoundTrip(Evict{4, {5, 6}, 7, "silent"});
  CHECK(evict.words == std::vector<Incarnation>{5, 6});
  CHECK(evict.by == 7);
  const RefusedTicket refused{"7", "kari", "first", "teams[0]", "stale"};
  CHECK(RoundTrip(refused) == refused);
  const WitnessChange change = RoundTrip(WitnessChange{4, 2, {"a", "b"}});
  CHECK(change.number == 2);
  CHECK(change.witnesses == std::vector<std::string>{"a", "b"});
}

TEST_CASE("a snapshot carries the complete state") {
  FleetState state;
  Fold(state, 1, Join{1, "a", "utne", "g", "s", "t", "r", "o", {"a"}, 0, "f"});
  Fold(state, 2, Join{2, "b", "utne", "g", "s", "t", "r", "o", {"b"}, 0, ""});
  Fold(state, 3, Leave{2});
  REQUIRE(Fold(state, 4, Everything())->accepted);
  Fold(state, 5, Unreadable{});
  const Snapshot snapshot{5, std::make_shared<const FleetState>(state)};
  CHECK(*RoundTrip(snapshot).state == state);
}

TEST_CASE("bytes that are not a record decode to Unreadable") {
  CHECK(std::holds_alternative<Unreadable>(DecodeFleetRecord("")));
  CHECK(std::holds_alternative<Unreadable>(DecodeFleetRecord("\xff\xff")));
  std::string torn = EncodeFleetRecord(Everything());
  torn.resize(torn.size() / 2);
  CHECK(std::holds_alternative<Unreadable>(DecodeFleetRecord(torn)));
}

}  // namespace
}  // namespace celerykeel

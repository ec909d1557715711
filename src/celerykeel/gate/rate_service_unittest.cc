#include "celerykeel/gate/rate_service.h"

#include <doctest/doctest.h>

#include "celerykeel/base/clock.h"                  // for Now
#include "celerykeel/gate/gate_fixture_unittest.h"  // for GateFixture

namespace celerykeel {
namespace {

using testing::Eventually;
using testing::FakeFeed;
using testing::FreeAddress;
using testing::GateFixture;
using testing::ProblemType;

void SetRate(FakeFeed& feed, double rate, double burst) {
  feed.Change([&](FleetState& state) {
    state.in_force.teams["orchard"].rate = rate;
    state.in_force.teams["orchard"].burst = burst;
  });
}

/// The rate service of one member of a fleet of two.
std::unique_ptr<RateService> ServiceOf(const FakeFeed& feed, Incarnation self) {
  const std::string address =
      feed.View().state->members.at(self).join.rate_address;
  return RateService::Create({.listen = address,
                              .view =
                                  [&feed, self] {
                                    FleetView view = feed.View();
                                    view.self = self;
                                    return view;
                                  }})
      .value();
}

void AddMembers(FakeFeed& feed) {
  for (const Incarnation self : {1, 2}) {
    feed.AddMember(self, FreeAddress());
    feed.Change([&](FleetState& state) {
      state.members[self].join.rate_address = FreeAddress();
    });
  }
}

TEST_CASE("two gates share a team's rate and burst") {
  FakeFeed feed;
  AddMembers(feed);
  SetRate(feed, 5, 20);
  const auto first = ServiceOf(feed, 1);
  const auto second = ServiceOf(feed, 2);
  // A new fleet lends as soon as its members have spoken with each other.
  REQUIRE(Eventually([&] { return first->Admit("orchard").admitted; }));
  REQUIRE(Eventually([&] { return second->Admit("orchard").admitted; }));
  const Duration start = Now();
  int admitted = 0;
  for (int i = 0; i < 60; ++i) {
    admitted += first->Admit("orchard").admitted ? 1 : 0;
    admitted += second->Admit("orchard").admitted ? 1 : 0;
  }
  const double seconds = std::chrono::duration<double>(Now() - start).count();
  CHECK(admitted >= 10);
  CHECK(admitted <= 20 + 5 * seconds);
  const RateVerdict refused = first->Admit("orchard");
  CHECK(refused.retry_after > Duration::zero());
  CHECK_FALSE(first->Admit("no such team").admitted);
}

TEST_CASE("a request beyond the rate is refused with a time to come back") {
  FakeFeed feed;
  feed.AddMember(1, FreeAddress());
  SetRate(feed, 0.001, 2);
  const auto rates =
      RateService::Create(
          {.listen = FreeAddress(), .view = [&feed] { return feed.View(); }})
          .value();
  GateFixture fixture(testing::AnswerChat, {}, rates.get());
  CHECK(fixture.PostChat()->status == 200);
  CHECK(fixture.PostChat()->status == 200);
  const auto refused = fixture.PostChat();
  REQUIRE(refused);
  CHECK(refused->status == 429);
  CHECK(ProblemType(refused) == "rate-exceeded");
  CHECK(refused->has_header("Retry-After"));
  CHECK(nlohmann::json::parse(refused->body).at("ran") == "no");
  CHECK(fixture.scheduler.Seen().size() == 2);
}

}  // namespace
}  // namespace celerykeel

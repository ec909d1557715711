#include <doctest/doctest.h>

#include "celerykeel/node/endpoint_limits.h"  // for DecideAsHome
#include "celerykeel/node/holder_unittest.h"  // for MakeHolder
#include "celerykeel/node/rate_lending.h"     // for LendToPeer
#include "celerykeel/node/suspect_run.h"      // for DecideSuspectRun

namespace celerykeel::testing {
namespace {

Task<> Lend(Node& node, pb::RateGrant& grant, bool& is_done) {
  pb::RateWish wish;
  wish.set_team("orchard");
  wish.set_borrower(7);
  wish.set_request(1);
  wish.set_needed(1);
  wish.set_wanted(1);
  grant = co_await LendToPeer(node, wish);
  is_done = true;
}

// True if the instance lends a token of the team's rate as its home.
bool Lends(Node& node) {
  pb::RateGrant grant;
  bool is_done = false;
  Spawn(node.io, Lend(node, grant, is_done));
  for (int i = 0; i < 100 && !is_done; ++i) {
    node.io.run_for(std::chrono::milliseconds(10));
    node.io.restart();
  }
  REQUIRE(is_done);
  return !grant.not_home() && grant.tokens() > 0;
}

bool GrantsLimitedCall(Node& node) {
  pb::LimitedCallWish wish;
  wish.mutable_limit()->set_endpoint("e0");
  wish.mutable_limit()->set_per_second(5);
  return !DecideAsHome(node, wish).not_home();
}

bool GrantsSuspectRun(Node& node) {
  pb::SuspectRunWish wish;
  wish.mutable_request()->set_team("orchard");
  return !DecideSuspectRun(node, wish).not_home();
}

void SetUnavailable(Node& node) {
  node.store.unavailable = true;
}

// Guards against two instances that give out one team's rate, one endpoint's
// limit and the runs of one suspect request: the holder is cut off from the
// store and from the others, which take its slots over.
TEST_CASE("a holder that is cut off gives nothing out") {
  const auto node = MakeHolder();
  CutOff(*node);
  SUBCASE("it knows that it does not reach the store") {
    SetUnavailable(*node);
  }
  SUBCASE("it does not know yet") {}
  CHECK_FALSE(Lends(*node));
  CHECK_FALSE(GrantsLimitedCall(*node));
  CHECK_FALSE(GrantsSuspectRun(*node));
}

// The check above must cost nothing in an outage of the store, which is away
// for all: nobody can take a slot over then.
TEST_CASE("a holder that hears most others serves in an outage of the store") {
  const auto node = MakeHolder();
  SetUnavailable(*node);
  node->fleet.members["peer1"].last_heartbeat_at.reset();
  CHECK(Lends(*node));
  CHECK(GrantsLimitedCall(*node));
  CHECK(GrantsSuspectRun(*node));
}

// As after the loss of most instances, while the store serves.
TEST_CASE("a holder that hears few others serves if the store confirms it") {
  const auto node = MakeHolder();
  CutOff(*node);
  for (const auto& [number, slot] : node->slots.held) {
    slot->confirmed_at = Now();
  }
  CHECK(Lends(*node));
  CHECK(GrantsLimitedCall(*node));
  CHECK(GrantsSuspectRun(*node));
}

// A partition must not shrink the fleet of which a holder has to hear the most.
TEST_CASE("an instance that can't read the entries forgets no member") {
  const auto node = MakeHolder();
  CHECK_FALSE(MayForgetMembers(node->fleet, Now()));
  node->fleet.entries_read_at = Now();
  CHECK(MayForgetMembers(node->fleet, Now()));
  CHECK_FALSE(MayForgetMembers(node->fleet, Now() + std::chrono::seconds(10)));
}

}  // namespace
}  // namespace celerykeel::testing

#include "celerykeel/core/limit_home.h"

#include <doctest/doctest.h>

#include <algorithm>  // for std::sort
#include <random>     // for std::mt19937
#include <span>       // for std::span
#include <vector>     // for std::vector

#include "celerykeel/testing/arrival_window.h"  // for MostInWindow

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kNow = seconds(100);

TEST_CASE("a home spaces calls and says how long the next one has to wait") {
  LimitHome home;
  const LimitedCall call{.endpoint = "e", .per_second = 5, .max_wait = {}};
  CHECK(ReserveCall(home, call, kNow).granted);
  const LimitVerdict refused = ReserveCall(home, call, kNow + milliseconds(50));
  CHECK_FALSE(refused.granted);
  CHECK(refused.wait == milliseconds(150));

  SUBCASE("calls that may wait are granted one after the other") {
    LimitedCall patient = call;
    patient.max_wait = milliseconds(400);
    CHECK(ReserveCall(home, patient, kNow).wait == milliseconds(200));
    CHECK(ReserveCall(home, patient, kNow).wait == milliseconds(400));
    const LimitVerdict last = ReserveCall(home, patient, kNow);
    CHECK_FALSE(last.granted);
    CHECK(last.wait == milliseconds(600));
  }
  SUBCASE("only the unused calls of a short time are kept") {
    int granted = 0;
    while (ReserveCall(home, call, kNow + seconds(60)).granted) {
      ++granted;
    }
    CHECK(granted == 2);
  }
  SUBCASE("a lower limit holds from the next call") {
    const LimitedCall slower{.endpoint = "e", .per_second = 1, .max_wait = {}};
    CHECK(ReserveCall(home, slower, kNow + milliseconds(200)).granted);
    CHECK(ReserveCall(home, slower, kNow + milliseconds(400)).wait ==
          milliseconds(800));
  }
}

// Guards against an instance that is paused after its request and sends the
// call when it goes on, although the home granted it seconds before.
TEST_CASE("a permit expires in time, counted from the request") {
  const LimitVerdict granted{.granted = true, .wait = milliseconds(100)};
  const LimitPermit permit = PermitFor(granted, kNow);
  CHECK(permit.valid_from == kNow + milliseconds(100));
  CHECK_FALSE(HasExpired(permit, permit.valid_from));
  CHECK(HasExpired(permit, permit.valid_from + kLimitPermitValidity));
  CHECK(HasExpired(permit, kNow + seconds(3)));
}

// Guards against instances that all send their first call at the same moment
// when they lose the home.
TEST_CASE("instances without a home begin at different times") {
  std::vector<int> tenths(10);
  for (int i = 0; i < 1000; ++i) {
    const double phase = FirstCallPhase("edge-" + std::to_string(i), "e");
    REQUIRE(phase >= 0);
    REQUIRE(phase < 1);
    ++tenths[static_cast<size_t>(phase * 10)];
  }
  for (const int instances : tenths) {
    CHECK(instances > 60);
    CHECK(instances < 140);
  }
}

// Guards against programs that are pushed off a limited endpoint, and read
// again elsewhere, since calls of others take its limit.
TEST_CASE("a limited endpoint: calls of others get only what is spare") {
  LimitHome home;
  const LimitedCall own{.endpoint = "e", .per_second = 10, .max_wait = {}};
  LimitedCall other = own;
  other.spare_only = true;
  CHECK_FALSE(ReserveCall(home, other, kNow).granted);
  CHECK(ReserveCall(home, own, kNow).granted);
  CHECK(ReserveCall(home, other, kNow + milliseconds(100)).wait == kSpareTime);
  CHECK(ReserveCall(home, own, kNow + milliseconds(100)).granted);
  CHECK(
      ReserveCall(home, other, kNow + milliseconds(200) + kSpareTime).granted);
}

// What may differ between the runs of the simulation below.
struct FleetRun {
  size_t instances = 13;
  double limit = 6;                 // calls per second
  bool shares_without_home = true;  // false: each uses the complete limit
  bool spreads_first_calls = true;  // false: each sends one immediately
  bool is_cold = false;             // the endpoint; see LimitedCall
  int window = 4;                   // seconds, in which calls are counted
  // Callers pause and return together, calls arrive at once or at the end of
  // their permits, and most of the fleet may be cut off.
  bool is_harsh = false;
};

// Simulates a fleet whose callers want far more than the limit, while homes are
// replaced or frozen, instances are cut off from the home, and instances are
// restarted.
// @return the times at which calls arrive at the endpoint.
std::vector<Duration> ArrivalsOf(const FleetRun& run, unsigned seed) {
  constexpr Duration kStep = milliseconds(5);
  constexpr Duration kEnd = seconds(40);
  constexpr int kCallsPerStep = 2;
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  LimitHome home;
  std::vector<LimitHome> own(run.instances);
  std::vector<Duration> cut_until(run.instances);
  Duration home_silent_until{};
  std::vector<Duration> arrivals;
  for (Duration now{}; now < kEnd; now += kStep) {
    if (uniform(random) < 0.0005) {  // the home's successor knows nothing
      home = {};
      home_silent_until = now + milliseconds(1200);
    }
    if (uniform(random) < 0.0005) {  // the home freezes
      home_silent_until = now + milliseconds(2000);
    }
    if (uniform(random) < 0.0005) {  // up to a third of the fleet is cut off
      for (size_t i = 0; i < run.instances / (run.is_harsh ? 1 : 3); ++i) {
        cut_until[random() % run.instances] = now + seconds(3);
      }
    }
    if (uniform(random) < 0.002) {  // an instance restarts
      own[random() % run.instances] = {};
    }
    const bool pauses = run.is_harsh && now % seconds(3) < seconds(1);
    for (int i = 0; i < (pauses ? 0 : kCallsPerStep); ++i) {
      const size_t instance = random() % run.instances;
      const LimitedCall call{
          .endpoint = "e",
          .per_second = run.limit,
          .max_wait = milliseconds(uniform(random) < 0.5 ? 0 : 250),
          .is_cold = run.is_cold};
      const bool reaches_home =
          now >= home_silent_until && now >= cut_until[instance];
      const double phase = run.spreads_first_calls ? uniform(random) : 0;
      const LimitVerdict verdict =
          reaches_home
              ? ReserveCall(home, call, now)
              : ReserveCallWithoutHome(
                    own[instance], call,
                    run.shares_without_home ? run.instances : 1, phase, now);
      if (reaches_home) {
        own[instance] = {};
      }
      if (verdict.granted) {
        const double delay =
            run.is_harsh ? static_cast<double>(random() % 2) : uniform(random);
        const LimitPermit permit = PermitFor(verdict, now, run.is_cold);
        arrivals.push_back(
            permit.valid_from +
            std::chrono::duration_cast<Duration>(
                (permit.valid_until - permit.valid_from) * delay));
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

// Returns in how many of 30 seeds an endpoint gets more calls in the window
// than the users allow: one and a half times its limit, and five more.
int SeedsOverLimit(const FleetRun& run) {
  int over = 0;
  for (unsigned seed = 1; seed <= 30; ++seed) {
    const auto allowed = static_cast<size_t>(1.5 * run.window * run.limit + 5);
    const std::vector<Duration> arrivals = ArrivalsOf(run, seed);
    const size_t most = testing::MostInWindow(std::span(arrivals),
                                              Duration(seconds(run.window)));
    over += most > allowed ? 1 : 0;
  }
  return over;
}

// Guards against instances that exceed an endpoint's limit together while its
// home changes or is out of reach.
TEST_CASE("a limit holds over takeovers, freezes, cuts and restarts") {
  for (const size_t instances : {size_t{3}, size_t{13}, size_t{195}}) {
    for (const double limit : {0.5, 2.0, 6.0, 40.0}) {
      CAPTURE(instances);
      CAPTURE(limit);
      CHECK(SeedsOverLimit({.instances = instances, .limit = limit}) == 0);
    }
  }
}

// Guards against instances that crash a cold endpoint together: its bound holds
// for any second, so that bursts, late permits and shares without a home count
// more than for a named limit.
TEST_CASE("a cold rate holds over takeovers, freezes, cuts and restarts") {
  for (const size_t instances : {size_t{10}, size_t{83}, size_t{300}}) {
    for (const double limit : {0.5, 2.0, 6.0, 15.0, 30.0, 60.0}) {
      CAPTURE(instances);
      CAPTURE(limit);
      CHECK(SeedsOverLimit({.instances = instances,
                            .limit = limit,
                            .is_cold = true,
                            .window = 1,
                            .is_harsh = true}) == 0);
    }
  }
  const auto arrivals =
      ArrivalsOf({.instances = 83, .limit = 30, .is_cold = true}, 1);
  CHECK(arrivals.size() > 0.75 * 30 * 40);
}

TEST_CASE("most of a limit is used while its home changes now and then") {
  const auto arrivals = ArrivalsOf({.instances = 13, .limit = 6}, 1);
  CHECK(arrivals.size() > 0.75 * 6 * 40);
}

// The terms of a named limit leave too much open for one second.
TEST_CASE("the simulation finds a cold endpoint that is not treated as one") {
  CHECK(SeedsOverLimit(
            {.instances = 83, .limit = 60, .window = 1, .is_harsh = true}) > 0);
}

TEST_CASE("the simulation finds a limit that instances do not share") {
  CHECK(SeedsOverLimit({.instances = 13, .shares_without_home = false}) > 0);
  CHECK(SeedsOverLimit({.instances = 195, .spreads_first_calls = false}) > 0);
}

}  // namespace
}  // namespace celerykeel

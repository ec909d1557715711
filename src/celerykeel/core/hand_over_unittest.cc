#include "celerykeel/core/hand_over.h"

#include <doctest/doctest.h>

#include <array>  // for std::array

namespace celerykeel {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAnsweredAt = milliseconds(90);

TEST_CASE("a holder that can't write while a peer can hands over") {
  const std::array<Duration, 2> peers{milliseconds(10), milliseconds(900)};
  CHECK_FALSE(ShouldHandOver(milliseconds(100), kAnsweredAt, peers,
                             milliseconds(1500)));
  CHECK(ShouldHandOver(milliseconds(100), kAnsweredAt, peers,
                       milliseconds(1600)));
  CHECK_FALSE(
      ShouldHandOver(std::nullopt, kAnsweredAt, peers, milliseconds(1600)));
}

// Guards against slots that change hands every second while the store is down
// or slow for all: what a peer wrote before shows nothing.
TEST_CASE("a holder keeps its slot while no peer can write") {
  const std::array<Duration, 2> peers{milliseconds(10), milliseconds(300)};
  CHECK_FALSE(ShouldHandOver(milliseconds(100), kAnsweredAt, peers,
                             milliseconds(9000)));
  CHECK_FALSE(
      ShouldHandOver(milliseconds(100), kAnsweredAt, {}, milliseconds(9000)));
}

// Guards against slots without a holder while the store refuses some of its
// partitions: four of 16 were given up after 1.5 s, and no instance could take
// them for another 1.8 s.
TEST_CASE("a holder that the store serves keeps a slot whose partition fails") {
  const std::array<Duration, 1> peers{milliseconds(1900)};
  constexpr Duration kNow = milliseconds(2000);
  CHECK_FALSE(
      ShouldHandOver(milliseconds(100), milliseconds(1800), peers, kNow));
  CHECK_FALSE(
      ShouldHandOver(milliseconds(100), milliseconds(600), peers, kNow));
  // Its way to the store was lost 1.5 s ago.
  CHECK(ShouldHandOver(milliseconds(100), milliseconds(500), peers, kNow));
}

}  // namespace
}  // namespace celerykeel

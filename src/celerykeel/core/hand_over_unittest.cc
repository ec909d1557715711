#include "celerykeel/core/hand_over.h"

#include <doctest/doctest.h>

#include <array>  // for std::array

namespace celerykeel {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a holder that can't write while a peer can hands over") {
  const std::array<Duration, 2> peers{milliseconds(10), milliseconds(900)};
  CHECK_FALSE(ShouldHandOver(milliseconds(100), peers, milliseconds(1500)));
  CHECK(ShouldHandOver(milliseconds(100), peers, milliseconds(1600)));
  CHECK_FALSE(ShouldHandOver(std::nullopt, peers, milliseconds(1600)));
}

// Guards against slots that change hands every second while the store is down
// or slow for all: what a peer wrote before shows nothing.
TEST_CASE("a holder keeps its slot while no peer can write") {
  const std::array<Duration, 2> peers{milliseconds(10), milliseconds(300)};
  CHECK_FALSE(ShouldHandOver(milliseconds(100), peers, milliseconds(9000)));
  CHECK_FALSE(ShouldHandOver(milliseconds(100), {}, milliseconds(9000)));
}

}  // namespace
}  // namespace celerykeel

#include "celerykeel/core/copy_sessions.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::milliseconds;

// Guards against 21 instances that copy 400 KB each from one peer with a link
// of 22 Mbit/s: the last would have it after 3 s.
TEST_CASE("a peer gives its configuration to a few instances at a time") {
  CopySessions sessions;
  for (size_t i = 0; i < kMaxCopySessions; ++i) {
    CHECK(MayCopy(sessions, "i" + std::to_string(i), milliseconds(1)));
  }
  CHECK_FALSE(MayCopy(sessions, "late", milliseconds(2)));
  CHECK(MayCopy(sessions, "i0", milliseconds(200)));  // the next piece
  EndCopy(sessions, "i1");
  CHECK(MayCopy(sessions, "late", milliseconds(201)));
  CHECK_FALSE(MayCopy(sessions, "later", milliseconds(202)));
}

TEST_CASE("a copy that was given up makes room") {
  CopySessions sessions;
  for (size_t i = 0; i < kMaxCopySessions; ++i) {
    MayCopy(sessions, "i" + std::to_string(i), milliseconds(1));
  }
  CHECK(MayCopy(sessions, "late", milliseconds(2) + kCopySessionTimeout));
}

}  // namespace
}  // namespace celerykeel

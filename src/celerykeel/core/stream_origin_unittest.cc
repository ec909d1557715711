#include <doctest/doctest.h>

#include "celerykeel/core/stream_origin.h"  // for StreamOrigins

namespace celerykeel {
namespace {

constexpr Duration kNow = std::chrono::seconds(100);

TEST_CASE("the origin of a stream is known as long as a caller may resume it") {
  StreamOrigins origins;
  const StreamName stream{"team", "a1"};
  CHECK(RecordOrigin(origins, stream, {"s", "v1"}, kNow));
  CHECK_FALSE(RecordOrigin(origins, stream, {"s", "v1"}, kNow));
  REQUIRE(FindOrigin(origins, stream) != nullptr);
  CHECK(*FindOrigin(origins, stream) == StreamOrigin{"s", "v1"});
  // Request ids of different teams may be equal.
  CHECK(FindOrigin(origins, {"other", "a1"}) == nullptr);
  CHECK(FindOrigin(origins, {"team", ""}) == nullptr);
  ExpireOrigins(origins, kNow + kStreamOriginLifetime);
  CHECK(FindOrigin(origins, stream) != nullptr);
  ExpireOrigins(origins, kNow + 2 * kStreamOriginLifetime);
  CHECK(FindOrigin(origins, stream) == nullptr);
}

TEST_CASE("many streams: further ones are not recorded, known ones stay") {
  StreamOrigins origins;
  for (size_t i = 0; i < kMaxStreamOrigins; ++i) {
    CHECK(
        RecordOrigin(origins, {"team", std::to_string(i)}, {"s", "v1"}, kNow));
  }
  CHECK_FALSE(RecordOrigin(origins, {"team", "more"}, {"s", "v1"}, kNow));
  CHECK(FindOrigin(origins, {"team", "more"}) == nullptr);
  CHECK(FindOrigin(origins, {"team", "0"}) != nullptr);
}

}  // namespace
}  // namespace celerykeel

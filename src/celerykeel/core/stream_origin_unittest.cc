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
  size_t recorded = 0;
  for (size_t i = 0; i < kMaxStreamOrigins; ++i) {
    const StreamName stream{"team", std::to_string(i)};
    recorded += RecordOrigin(origins, stream, {"s", "v1"}, kNow) ? 1 : 0;
  }
  CHECK(recorded == kMaxStreamOrigins);
  CHECK_FALSE(RecordOrigin(origins, {"team", "more"}, {"s", "v1"}, kNow));
  CHECK(FindOrigin(origins, {"team", "more"}) == nullptr);
  CHECK(FindOrigin(origins, {"team", "0"}) != nullptr);
}

TEST_CASE("a replay keeps the origins of streams that may be resumed") {
  constexpr WallMillis kWall = 1'000'000;
  StreamOrigins origins;
  const StreamName recent{"team", "a1"};
  const StreamName old{"team", "a0"};
  ReplayOrigin(origins, {old, {"s", "v1"}, kWall - 31'000}, kWall, kNow);
  ReplayOrigin(origins, {recent, {"s", "v1"}, kWall - 20'000}, kWall, kNow);
  CHECK(FindOrigin(origins, old) == nullptr);
  REQUIRE(FindOrigin(origins, recent) != nullptr);
  CHECK(origins.streams.at(recent).in_log);
  // The stream began anew at another version before it had an event.
  ReplayOrigin(origins, {recent, {"s", "v2"}, kWall - 19'000}, kWall, kNow);
  CHECK(*FindOrigin(origins, recent) == StreamOrigin{"s", "v2"});
  ExpireOrigins(origins, kNow + std::chrono::seconds(11));
  CHECK(FindOrigin(origins, recent) == nullptr);
  // A writer's clock may be ahead of this one.
  ReplayOrigin(origins, {old, {"s", "v1"}, kWall + 5'000}, kWall, kNow);
  CHECK(FindOrigin(origins, old) != nullptr);
}

}  // namespace
}  // namespace celerykeel

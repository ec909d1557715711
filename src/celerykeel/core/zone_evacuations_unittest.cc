#include "celerykeel/core/zone_evacuations.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::seconds;

constexpr Duration kNow = seconds(100);

ZoneEvacuation Record(uint64_t offset, bool in_force = true) {
  return {.in_force = in_force, .offset = offset, .recorded_at = kNow};
}

// Guards against reports of peers that arrive after a newer record was read.
TEST_CASE("of two reports of an evacuation the one of the later record holds") {
  ZoneEvacuations known;
  CHECK_FALSE(IsEvacuated(known, "a"));
  CHECK(RecordEvacuation(known, "a", Record(4)));
  CHECK(IsEvacuated(known, "a"));
  CHECK_FALSE(IsEvacuated(known, "b"));
  CHECK_FALSE(RecordEvacuation(known, "a", Record(4)));
  CHECK(RecordEvacuation(known, "a", Record(9, false)));
  CHECK_FALSE(RecordEvacuation(known, "a", Record(4)));
  CHECK_FALSE(IsEvacuated(known, "a"));
  CHECK(RecordEvacuation(known, "a", Record(12)));
  CHECK(IsEvacuated(known, "a"));
}

// Guards against an evacuation that is dropped by a read that could not have
// listed it: one that began before, or that the store answered with old data.
TEST_CASE("a complete read revokes only what it would have listed") {
  ZoneEvacuations known;
  RecordEvacuation(known, "a", Record(4));
  CompleteKeyRead read{.zones = {}, .end = 5, .began_at = kNow + seconds(1)};
  SUBCASE("an evacuation with an earlier record") {
    CHECK(RevokeUnlisted(known, read, kNow + seconds(2)).size() == 1);
    CHECK_FALSE(IsEvacuated(known, "a"));
    // Its own record, reported late, does not bring it back; a new one does.
    CHECK_FALSE(RecordEvacuation(known, "a", Record(4)));
    CHECK(RecordEvacuation(known, "a", Record(5)));
  }
  SUBCASE("not one that is listed") {
    read.zones = {"a"};
    CHECK(RevokeUnlisted(known, read, kNow + seconds(2)).empty());
  }
  SUBCASE("not one that was recorded after the read began") {
    read.began_at = kNow - seconds(1);
    CHECK(RevokeUnlisted(known, read, kNow + seconds(2)).empty());
    CHECK(IsEvacuated(known, "a"));
  }
  SUBCASE("not one that the store's older data lack") {
    read.end = 4;
    CHECK(RevokeUnlisted(known, read, kNow + seconds(2)).empty());
    CHECK(IsEvacuated(known, "a"));
  }
}

// Guards against an instance that missed a message and is never brought up to
// date, as another of its records is as new as those of its peers.
TEST_CASE("digests differ while instances know different evacuations") {
  ZoneEvacuations first;
  ZoneEvacuations second;
  CHECK(DigestOf(first) == 0);
  RecordEvacuation(first, "a", Record(4));
  RecordEvacuation(first, "b", Record(9));
  RecordEvacuation(second, "b", Record(9));
  CHECK(DigestOf(first) != DigestOf(second));
  RecordEvacuation(second, "a", Record(4));
  CHECK(DigestOf(first) == DigestOf(second));
  RecordEvacuation(second, "a", Record(11, false));
  CHECK(DigestOf(first) != DigestOf(second));
}

TEST_CASE("the number of zones is bounded") {
  ZoneEvacuations known;
  for (size_t i = 0; i < 2 * kMaxEvacuationZones; ++i) {
    RecordEvacuation(known, "z" + std::to_string(i), Record(i));
  }
  CHECK(known.zones.size() == kMaxEvacuationZones);
}

}  // namespace
}  // namespace celerykeel

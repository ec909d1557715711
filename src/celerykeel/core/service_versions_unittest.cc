#include <doctest/doctest.h>

#include "celerykeel/core/service_versions.h"  // for ServiceVersions

namespace celerykeel {
namespace {

TEST_CASE("a version that began streams stays in use until it is dropped") {
  ServiceVersions versions;
  CHECK_FALSE(OnlyVersion(versions, "s"));
  CHECK(RecordVersion(versions, "s", "v1", {.in_use = true, .offset = 3}));
  CHECK_FALSE(
      RecordVersion(versions, "s", "v1", {.in_use = true, .offset = 4}));
  CHECK(OnlyVersion(versions, "s") == "v1");
  CHECK(RecordVersion(versions, "s", "v2", {.in_use = true, .offset = 5}));
  CHECK(IsVersionInUse(versions, "s", "v2"));
  CHECK_FALSE(IsVersionInUse(versions, "t", "v2"));
  // Either version may have begun a stream.
  CHECK_FALSE(OnlyVersion(versions, "s"));
  CHECK(RecordVersion(versions, "s", "v1", {.in_use = false, .offset = 9}));
  CHECK(OnlyVersion(versions, "s") == "v2");

  SUBCASE("records that arrive late change nothing") {
    CHECK_FALSE(
        RecordVersion(versions, "s", "v1", {.in_use = true, .offset = 8}));
    CHECK_FALSE(IsVersionInUse(versions, "s", "v1"));
  }
  SUBCASE("a version may return") {
    CHECK(RecordVersion(versions, "s", "v1", {.in_use = true, .offset = 10}));
    CHECK_FALSE(OnlyVersion(versions, "s"));
  }
}

}  // namespace
}  // namespace celerykeel

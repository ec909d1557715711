#include "celerykeel/node/options.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

std::string SettingsWith(const std::string& more) {
  return R"({"instance":"i","zone":"z","ip":"127.0.0.1",
"callers_address":"127.0.0.1:1","readiness_address":"127.0.0.1:2",
"peer_port":3,"store_address":"127.0.0.1:4","store_partitions":8,
"store_retention_s":300,"store_record_bytes":262144,
"store_call_bytes":2097152,"stop_s":8)" +
         more + "}";
}

// Guards against a start with regions of the wrong type, by which restricted
// calls would have nowhere to go, and against a required new field.
TEST_CASE("the regions of zones are optional and checked") {
  const auto without = ParseNodeOptions(SettingsWith(""));
  REQUIRE(without.has_value());
  CHECK(without->zone_regions.empty());
  CHECK(ParseNodeOptions(SettingsWith(R"(,"zone_regions":null)")).has_value());
  const auto options =
      ParseNodeOptions(SettingsWith(R"(,"zone_regions":{"z":"north"})"));
  REQUIRE(options.has_value());
  CHECK(options->zone_regions.at("z") == "north");
  for (const char* bad :
       {R"("north")", "[]", R"({"z":7})", R"({"z":""})", R"({"":"north"})"}) {
    const auto rejected = ParseNodeOptions(
        SettingsWith(R"(,"zone_regions":)" + std::string(bad)));
    REQUIRE_FALSE(rejected.has_value());
    CHECK(rejected.error().errors.at(0).starts_with("zone_regions"));
  }
}

// Guards against a platform that does not know the machine's link, and against
// a rate in another unit.
TEST_CASE("the rate of the link is optional and checked") {
  for (const char* none : {"", R"(,"link_mbps":null)", R"(,"link_mbps":0)"}) {
    const auto options = ParseNodeOptions(SettingsWith(none));
    REQUIRE(options.has_value());
    CHECK(options->link_mbps == 0);
  }
  const auto given = ParseNodeOptions(SettingsWith(R"(,"link_mbps":22.5)"));
  REQUIRE(given.has_value());
  CHECK(given->link_mbps == 22.5);
  for (const char* bad : {"-1", "2e9", R"("22 Mbit/s")"}) {
    CHECK_FALSE(
        ParseNodeOptions(SettingsWith(R"(,"link_mbps":)" + std::string(bad))));
  }
}

// A platform may not know the limits for callers, and leave them out or empty.
TEST_CASE("limits for callers are optional, and checked") {
  for (const char* none : {"", R"(,"memory_mb":null,"max_fds":null)"}) {
    const auto options = ParseNodeOptions(SettingsWith(none));
    REQUIRE(options.has_value());
    CHECK(options->memory_bytes == 88UL * 1024 * 1024);
    CHECK(options->max_descriptors == 3075);
  }
  const auto given = ParseNodeOptions(SettingsWith(
      R"(,"memory_mb":512,"max_fds":10250,"min_body_bytes_per_s":1000,)"
      R"("max_header_fields":100)"));
  REQUIRE(given.has_value());
  CHECK(given->memory_bytes == 512UL * 1024 * 1024);
  CHECK(given->max_descriptors == 10250);
  CHECK(given->min_body_bytes_per_second == 1000);
  CHECK(given->max_header_fields == 100);
  const auto wrong = ParseNodeOptions(
      SettingsWith(R"(,"memory_mb":1,"max_fds":10,"min_body_bytes_per_s":0,)"
                   R"("max_header_fields":"x")"));
  REQUIRE_FALSE(wrong.has_value());
  CHECK(wrong.error().errors.size() == 4);
}

}  // namespace
}  // namespace celerykeel

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

}  // namespace
}  // namespace celerykeel

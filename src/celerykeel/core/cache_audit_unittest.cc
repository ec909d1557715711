#include "celerykeel/core/cache_audit.h"

#include <doctest/doctest.h>

#include "celerykeel/core/rendezvous.h"  // for SlotOf

namespace celerykeel {
namespace {

TEST_CASE("a cache name contains its slot and hides its program") {
  const ProgramName trip{"coop", "trip"};
  const std::string name = CacheName(trip);
  CHECK(SlotOfCacheName(name) == SlotOf(trip));
  CHECK(name.find("trip") == std::string::npos);
  CHECK(name != CacheName({"coop", "trap"}));
  CHECK_FALSE(SlotOfCacheName("foreign").has_value());
  CHECK_FALSE(SlotOfCacheName("").has_value());
}

TEST_CASE("names unwanted in two consecutive lists are released") {
  CacheAudit audit;
  const std::vector<std::string> held{"live", "gone"};
  const auto is_unwanted = [](const std::string& name) {
    return name == "gone";
  };
  CHECK(ProcessHoldings(audit, "engine-1", held, is_unwanted).empty());
  CHECK(ProcessHoldings(audit, "engine-2", held, is_unwanted).empty());
  CHECK(ProcessHoldings(audit, "engine-1", held, is_unwanted) ==
        std::vector<std::string>{"gone"});
  CHECK(ProcessHoldings(audit, "engine-1", {}, is_unwanted).empty());
  CHECK(ProcessHoldings(audit, "engine-1", held, is_unwanted).empty());
}

}  // namespace
}  // namespace celerykeel

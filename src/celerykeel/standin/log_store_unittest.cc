#include "celerykeel/standin/log_store.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

TEST_CASE("offsets start at 1 in each stream and run on") {
  LogStore store;
  const std::vector<std::string> two = {"a", "b"};
  CHECK(AppendRecords(store, "fleet", two, 10) == 1);
  CHECK(AppendRecords(store, "fleet", two, 20) == 3);
  CHECK(AppendRecords(store, "journal", two, 20) == 1);
  const LogPage page = ReadRecords(store, "fleet", 2, 2);
  CHECK(page.earliest_offset == 1);
  CHECK(page.next_offset == 5);
  REQUIRE(page.records.size() == 2);
  CHECK(page.records[0].payload == "b");
  CHECK(page.records[1].offset == 3);
}

TEST_CASE("an expired record leaves its offset behind") {
  LogStore store;
  const std::vector<std::string> one = {"a"};
  AppendRecords(store, "fleet", one, 10);
  AppendRecords(store, "fleet", one, 20);
  ExpireByAge(store, 100, 111);
  CHECK(ReadRecords(store, "fleet", 1, 9).earliest_offset == 2);
  ExpireBefore(store, "fleet", 3);
  const LogPage page = ReadRecords(store, "fleet", 1, 9);
  CHECK(page.records.empty());
  CHECK(page.earliest_offset == 3);
  CHECK(AppendRecords(store, "fleet", one, 120) == 3);
}

}  // namespace
}  // namespace celerykeel

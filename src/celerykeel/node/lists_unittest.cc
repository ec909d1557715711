#include <doctest/doctest.h>

#include <chrono>  // for std::chrono::milliseconds
#include <thread>  // for std::this_thread::sleep_for

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/node/calls_unittest.h"  // for ToolHeaders
#include "celerykeel/testing/node_fleet.h"   // for NodeFleet
#include "celerykeel/testing/wait_for.h"     // for WaitFor

namespace celerykeel::testing {
namespace {

constexpr size_t kInstances = 3;
constexpr const char* kTopics[] = {"keyed.op", "keyed.servers"};

// Kills all instances, lets `change` write to the store, and starts them again.
void ChangeWhileDown(NodeFleet& fleet, const std::function<void()>& change) {
  REQUIRE(fleet.WaitUntilServing());
  for (size_t i = 0; i < kInstances; ++i) {
    fleet.Kill(i);
  }
  fleet.RunOnStandinLoop(change);
  for (size_t i = 0; i < kInstances; ++i) {
    fleet.Start(i);
  }
}

void CheckServes(NodeFleet& fleet) {
  REQUIRE(fleet.WaitUntilServing());
  for (size_t i = 0; i < kInstances; ++i) {
    CHECK(fleet
              .Send(i, "GET", "/look/x",
                    ToolHeaders("after-" + std::to_string(i)), "")
              .status == 200);
  }
}

// Guards against instances that come back and never serve: a key that ended a
// page was a part of the next page's request, and changed it.
TEST_CASE("keys with separators don't keep an instance from starting") {
  for (const size_t page_size : {1, 2, 3}) {
    CAPTURE(page_size);
    NodeFleet fleet(kInstances);
    ChangeWhileDown(fleet, [&] {
      fleet.store.pages.max_items = page_size;
      for (const char* topic : kTopics) {
        for (const char* key : {"a02%41", "a05&b=", "a 6\r\n", "a+7#?"}) {
          PutKeyed(fleet.store, topic, key, "{}");
        }
      }
    });
    CheckServes(fleet);
  }
}

// Guards against one key that isn't UTF-8 and makes its page unreadable.
TEST_CASE("keys of any bytes don't keep an instance from starting") {
  for (const KeyText text :
       {KeyText::kReplaced, KeyText::kSurrogates, KeyText::kRaw}) {
    for (const size_t page_size : {2, 500}) {
      CAPTURE(int(text));
      CAPTURE(page_size);
      NodeFleet fleet(kInstances);
      ChangeWhileDown(fleet, [&] {
        fleet.store.pages.max_items = page_size;
        fleet.store.pages.key_text = text;
        for (const char* topic : kTopics) {
          for (int i = 0; i < 6; ++i) {
            PutKeyed(fleet.store, topic, fmt::format("a\xff{}", i), "{}");
            PutKeyed(fleet.store, topic, fmt::format("a{}\xc3\x28", i), "");
            PutKeyed(fleet.store, topic, std::string(255, '\x80'), "\xff");
            PutKeyed(fleet.store, topic, std::string("a\0b", 3), "x");
          }
        }
      });
      CheckServes(fleet);
    }
  }
}

// Guards against a start that waits for the end of a list of endpoints, while
// the live ones write their entries all the time.
TEST_CASE("a list of endpoints without an end doesn't delay a start") {
  for (const bool grows : {false, true}) {
    CAPTURE(grows);
    NodeFleet fleet(kInstances);
    ChangeWhileDown(fleet, [&] {
      PageRules& rules = fleet.store.pages_of_topics["keyed.servers"];
      rules.max_items = 20;
      rules.ignores_after = !grows;
      rules.grows_with = grows ? "a" : "";
      for (int i = 0; i < 100; ++i) {
        PutKeyed(fleet.store, "keyed.servers", fmt::format("a{}", 1000 + i),
                 "{}");
      }
    });
    for (int i = 0; i < 10; ++i) {
      fleet.SetEndpointSlots(24);  // both endpoints write a heartbeat
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    CheckServes(fleet);
  }
}

// Guards against a page without a usable key that counts as the list's end: the
// endpoints that it doesn't hold would be removed.
TEST_CASE("an empty page that others follow isn't the end of a list") {
  NodeFleet fleet(5);  // of which three are readers, and two read whole lists
  REQUIRE(fleet.WaitUntilServing());
  fleet.RunOnStandinLoop(
      [&] { fleet.store.pages_of_topics["keyed.servers"].is_empty = true; });
  const uint64_t reads = fleet.store.list_reads;
  REQUIRE(WaitFor([&] { return fleet.store.list_reads >= reads + 4; }));
  for (size_t i = 0; i < 5; ++i) {
    CHECK(fleet.MetricsOf(i).find("{of=\"endpoints\"} 2") != std::string::npos);
  }
}

// Guards against others' entries that leave no room for the endpoints of the
// configuration, which may come after the list.
TEST_CASE("entries of unknown services leave room for the endpoints") {
  NodeFleet fleet(kInstances);
  ChangeWhileDown(fleet, [&] {
    for (int i = 0; i < 1500; ++i) {
      PutKeyed(fleet.store, "keyed.servers", fmt::format("a{}", 10'000 + i),
               R"({"service":"other","address":"127.0.0.1:9","zone":"z",)"
               R"("version":"v","slots":1,"state":"ready","sequence":1})");
    }
  });
  for (size_t i = 0; i < kInstances; ++i) {
    CHECK(WaitFor([&] {
      return fleet
                 .Send(i, "GET", "/look/x",
                       ToolHeaders("after-" + std::to_string(i)), "")
                 .status == 200;
    }));
    CHECK(fleet.MetricsOf(i).find("{of=\"endpoints\"} 1026") !=
          std::string::npos);
  }
}

// Guards against one call for each record that another writer adds.
TEST_CASE("others' records don't set the pace of reads") {
  constexpr int kWrites = 300;
  NodeFleet fleet(kInstances);
  REQUIRE(fleet.WaitUntilServing());
  uint64_t before = 0;
  uint64_t after = 0;
  fleet.RunOnStandinLoop([&] { before = fleet.store.log_reads["keyed.op"]; });
  for (int i = 0; i < kWrites; ++i) {
    fleet.RunOnStandinLoop(
        [&] { PutKeyed(fleet.store, "keyed.op", "a05", std::to_string(i)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  fleet.RunOnStandinLoop([&] { after = fleet.store.log_reads["keyed.op"]; });
  CHECK(after - before < kWrites / 4 * kInstances);
  fleet.AddRoutes(8);
  CHECK(fleet.WaitUntilInForce(8));
}

// Guards against other writers' zones that leave no room for the real ones.
TEST_CASE("evacuations of unknown zones leave room for those of known ones") {
  NodeFleet fleet(kInstances, {"v1", "v1"}, {"za", "zb"});
  ChangeWhileDown(fleet, [&] {
    for (int i = 0; i < 2000; ++i) {
      PutKeyed(fleet.store, "keyed.op", fmt::format("evacuate/{}", 1000 + i),
               "{}");
    }
    PutKeyed(fleet.store, "keyed.op", "evacuate/zb", "{}");
  });
  CheckServes(fleet);
  CHECK(fleet.endpoints[0].runs.size() == kInstances);
  CHECK(fleet.endpoints[1].runs.empty());
}

TEST_CASE("logs and metrics tell what a start waits for") {
  NodeFleet fleet(kInstances);
  ChangeWhileDown(fleet, [&] {
    fleet.store.pages_of_topics["keyed.op"].max_items = 1;
    fleet.store.pages_of_topics["keyed.op"].ignores_after = true;
    PutKeyed(fleet.store, "keyed.op", "a05&b=", "{}");
  });
  REQUIRE(WaitFor([&] {
    return fleet.Logs().find("\"not serving yet\"") != std::string::npos;
  }));
  const std::string logs = fleet.Logs();
  CHECK(logs.find("\"waits_for_configuration\":true") != std::string::npos);
  CHECK(logs.find("\"list incomplete\",\"topic\":\"keyed.op\"") !=
        std::string::npos);
  const std::string metrics = fleet.MetricsOf(0);
  CHECK(metrics.find("celerykeel_level{of=\"waits_for_configuration\"} 1") !=
        std::string::npos);
  CHECK(metrics.find("celerykeel_list{of=\"pages\",topic=\"keyed.op\"}") !=
        std::string::npos);
  fleet.RunOnStandinLoop([&] { fleet.store.pages_of_topics.clear(); });
  CheckServes(fleet);
}

}  // namespace
}  // namespace celerykeel::testing

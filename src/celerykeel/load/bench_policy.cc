#include "celerykeel/load/bench_policy.h"

#include <functional>  // for std::function
#include <map>         // for std::map

namespace celerykeel {

namespace {

BenchPolicy First(BenchPlacement placement) {
  BenchPolicy policy;
  policy.placement = placement;
  return policy;
}

BenchPolicy Chosen() {
  BenchPolicy policy;
  policy.order = BenchOrder::kAttainedService;
  policy.placement = BenchPlacement::kExpectedCost;
  policy.is_fair = true;
  return policy;
}

BenchPolicy Without(void (*change)(BenchPolicy&)) {
  BenchPolicy policy = Chosen();
  change(policy);
  return policy;
}

std::map<std::string, BenchPolicy, std::less<>> Policies() {
  return {
      {"fcfs-round-robin", First(BenchPlacement::kRoundRobin)},
      {"fcfs-least-outstanding", First(BenchPlacement::kLeastOutstanding)},
      {"fcfs-prefix-hash", First(BenchPlacement::kPrefixHash)},
      {"fcfs-cost", First(BenchPlacement::kExpectedCost)},
      {"las-cost", Chosen()},
      {"las-prefix-hash", Without([](BenchPolicy& policy) {
         policy.placement = BenchPlacement::kPrefixHash;
       })},
      {"las-cost-no-holdings", Without([](BenchPolicy& policy) {
         policy.cost.uses_cache_estimate = false;
       })},
      {"las-cost-no-eviction",
       Without([](BenchPolicy& policy) { policy.cost.eviction_weight = 0; })},
      {"las-cost-no-bound",
       Without([](BenchPolicy& policy) { policy.cost.bounded_load = 0; })},
      {"las-cost-two-choices",
       Without([](BenchPolicy& policy) { policy.cost.samples = 2; })},
      {"las-cost-no-reports",
       Without([](BenchPolicy& policy) { policy.takes_reports = false; })},
      {"las-cost-no-drop",
       Without([](BenchPolicy& policy) { policy.drops_over_pauses = false; })},
      {"las-cost-unfair",
       Without([](BenchPolicy& policy) { policy.is_fair = false; })},
  };
}

}  // namespace

std::optional<BenchPolicy> FindPolicy(std::string_view name) {
  const auto policies = Policies();
  const auto found = policies.find(name);
  if (found == policies.end()) {
    return std::nullopt;
  }
  BenchPolicy policy = found->second;
  policy.name = name;
  return policy;
}

}  // namespace celerykeel

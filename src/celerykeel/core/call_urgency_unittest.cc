#include "celerykeel/core/call_urgency.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

CallRoute RouteOf(const std::string& service, uint32_t priority) {
  CallRoute route;
  route.services = {{service, 1}};
  route.priority = priority;
  return route;
}

// Guards against a new program that preempts a turn of a program in progress,
// whose work so far is then wasted.
TEST_CASE("calls of programs in progress are more urgent than new programs") {
  Deployment deployment;
  deployment.routes = {RouteOf("llm", 2), RouteOf("llm", 7),
                       RouteOf("other", 0)};
  DeployedTeam favored;
  favored.priority = 0;
  deployment.teams["favored"] = favored;
  IndexDeployment(deployment);
  CHECK(PriorityOf(deployment.routes[0], nullptr) == 2);
  CHECK(PriorityOf(deployment.routes[0], &favored) == 0);
  CHECK(UrgencyOf(deployment, "llm", 0, false) == 0);
  CHECK(UrgencyOf(deployment, "llm", 0, true) == 1);
  CHECK(UrgencyOf(deployment, "llm", 2, false) == 2);
  CHECK(UrgencyOf(deployment, "llm", 2, true) == 3);
  CHECK(UrgencyOf(deployment, "llm", 7, true) == 5);
}

TEST_CASE("an urgency is at most 9") {
  Deployment deployment;
  for (uint32_t priority = 0; priority < 20; ++priority) {
    deployment.routes.push_back(RouteOf("llm", priority));
  }
  IndexDeployment(deployment);
  CHECK(UrgencyOf(deployment, "llm", 19, true) == kMaxUrgency);
  CHECK(UrgencyOf(deployment, "llm", 0, false) == 0);
  CHECK(UrgencyOf(deployment, "unknown", 30, false) == kMaxUrgency);
}

}  // namespace
}  // namespace celerykeel

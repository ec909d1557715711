#include <doctest/doctest.h>

#include <memory>  // for std::make_shared

#include "celerykeel/scheduler/choose_endpoint.h"  // for ChooseEndpoint

namespace celerykeel {
namespace {

using std::chrono::seconds;

struct Scene {
  FleetState view;
  EndpointLoad load;
  QueuedCall call;
  PlacementRequest request;

  std::string Choice(int now) const {
    const auto choice = ChooseEndpoint(this->view, this->load, this->call,
                                       this->request, seconds(now));
    return choice ? choice->endpoint : "none";
  }
};

Scene TwoEngines() {
  Scene scene;
  for (const char* id : {"engine-a", "engine-b"}) {
    Endpoint& endpoint = scene.view.in_force.endpoints[id];
    endpoint.id = id;
    endpoint.kind = EndpointKind::kModelEngine;
    endpoint.model = "assistant";
    endpoint.state = EndpointState::kActive;
    scene.load.books[id] = BookOf(scene.load, endpoint);
  }
  CallWork work;
  work.model = "assistant";
  scene.call.work = std::make_shared<const CallWork>(work);
  scene.request.prompt = {"trip-7", 0, 0, 4000};
  scene.request.call_time = seconds(1);
  return scene;
}

TEST_CASE("a call goes to the engine that holds its prefix") {
  Scene scene = TwoEngines();
  CHECK(scene.Choice(1) == "engine-a");
  RecordUsedPrompt(scene.load.books["engine-b"].held, scene.request.prompt,
                   seconds(1));
  scene.load.outstanding["engine-b"] = 1;
  CHECK(scene.Choice(2) == "engine-b");
}

TEST_CASE(
    "an engine that failed the call is chosen only if there is no other") {
  Scene scene = TwoEngines();
  RecordUsedPrompt(scene.load.books["engine-b"].held, scene.request.prompt,
                   seconds(1));
  scene.call.avoid = {"engine-b"};
  CHECK(scene.Choice(2) == "engine-a");
  scene.view.in_force.endpoints["engine-a"].state = EndpointState::kLeaving;
  CHECK(scene.Choice(2) == "engine-b");
}

TEST_CASE("engines of equal cost share calls by their number") {
  Scene scene = TwoEngines();
  scene.load.outstanding["engine-a"] = 1;
  CHECK(scene.Choice(1) == "engine-b");
}

}  // namespace
}  // namespace celerykeel

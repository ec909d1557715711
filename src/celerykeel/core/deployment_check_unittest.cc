#include "celerykeel/core/deployment_check.h"

#include <doctest/doctest.h>

#include <functional>  // for std::function

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kRecordBytes = 262144;

CallRoute RouteNamed(const std::string& name, const std::string& prefix) {
  CallRoute route;
  route.name = name;
  route.host = "h";
  route.path_prefix = prefix;
  route.repeat = RepeatRule::kStream;
  route.services = {{"llm", 1}};
  route.timeout = seconds(3);
  route.target_latency = milliseconds(200);
  return route;
}

Deployment SoundDeployment() {
  Deployment deployment;
  deployment.version = 7;
  deployment.limits.body_bytes = 200000;
  deployment.routes = {RouteNamed("chat", "/chat/"),
                       RouteNamed("deep", "/chat/deep/")};
  deployment.services["llm"] = {.name = "llm",
                                .health_path = "/healthz",
                                .max_connections = 210,
                                .engine = EngineTraits{.slots = 24}};
  DeployedTeam& team = deployment.teams["orchard"];
  team.name = "orchard";
  team.keys = {"k1"};
  team.limits = {10, 20};
  IndexDeployment(deployment);
  return deployment;
}

struct Mistake {
  const char* what;
  FindingKind kind;
  std::function<void(Deployment&)> make;
};

// Guards against a version with a mistake that is noticed only when callers are
// refused: each row has one, and the sound version has none.
TEST_CASE("each mistake of a configuration is found") {
  CHECK(CheckDeployment(SoundDeployment(), kRecordBytes).empty());
  const std::vector<Mistake> mistakes{
      {"shadowed", FindingKind::kNeverMatches,
       [](Deployment& d) { d.routes[1].path_prefix = "/chat/"; }},
      {"no slash", FindingKind::kNeverMatches,
       [](Deployment& d) { d.routes[1].path_prefix = "/chat/deep"; }},
      {"name twice", FindingKind::kInvalid,
       [](Deployment& d) { d.routes[1].name = "chat"; }},
      {"no such service", FindingKind::kInvalid,
       [](Deployment& d) {
         d.routes[1].services = {{"llm", 1}, {"x", 1}};
       }},
      {"no weight", FindingKind::kInvalid,
       [](Deployment& d) {
         d.routes[1].services = {{"llm", 0}};
       }},
      {"timeout", FindingKind::kContradiction,
       [](Deployment& d) { d.routes[0].timeout = milliseconds(100); }},
      {"priority", FindingKind::kInvalid,
       [](Deployment& d) { d.routes[0].priority = 10; }},
      {"retention", FindingKind::kContradiction,
       [](Deployment& d) { d.routes[0].retained = true; }},
      {"retained body", FindingKind::kContradiction,
       [](Deployment& d) {
         d.routes[0].retained = true;
         d.routes[0].retention = seconds(60);
         d.limits.body_bytes = 4194304;
       }},
      {"retained call", FindingKind::kContradiction,
       [](Deployment& d) {
         d.routes[0].retained = true;
         d.routes[0].retention = seconds(60);
         d.routes[0].repeat = RepeatRule::kOnce;
       }},
      {"key twice", FindingKind::kInvalid,
       [](Deployment& d) {
         d.teams["orchard"].keys = {"k1", "k1"};
       }},
      {"no key", FindingKind::kNeverMatches,
       [](Deployment& d) { d.teams["orchard"].keys.clear(); }},
      {"regions", FindingKind::kNeverMatches,
       [](Deployment& d) {
         d.teams["orchard"].allowed_regions = {"north"};
         d.routes[0].allowed_regions = {"south"};
         d.routes[1].allowed_regions = {"south"};
       }},
      {"burst", FindingKind::kContradiction,
       [](Deployment& d) { d.teams["orchard"].limits.burst = 0; }},
      {"no rate", FindingKind::kContradiction,
       [](Deployment& d) { d.teams["orchard"].limits.rate = 0; }},
      {"unused service", FindingKind::kNeverMatches,
       [](Deployment& d) { d.services["app"].max_connections = 1; }},
      {"no connection", FindingKind::kContradiction,
       [](Deployment& d) { d.services["llm"].max_connections = 0; }},
      {"no slot", FindingKind::kContradiction,
       [](Deployment& d) { d.services["llm"].engine->slots = 0; }},
      {"idle", FindingKind::kContradiction,
       [](Deployment& d) { d.limits.idle_timeout = {}; }},
      {"header bytes", FindingKind::kContradiction,
       [](Deployment& d) { d.limits.header_bytes = 0; }},
  };
  for (const Mistake& mistake : mistakes) {
    CAPTURE(mistake.what);
    Deployment deployment = SoundDeployment();
    mistake.make(deployment);
    const auto findings = CheckDeployment(deployment, kRecordBytes);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == mistake.kind);
    CHECK_FALSE(findings[0].place.empty());
  }
}

TEST_CASE("no finding names a key") {
  Deployment deployment = SoundDeployment();
  deployment.teams["orchard"].keys = {"secret-1", "secret-1"};
  for (const auto& finding : CheckDeployment(deployment, kRecordBytes)) {
    CHECK(finding.text.find("secret") == std::string::npos);
  }
}

TEST_CASE("what callers notice of a new version is listed") {
  const Deployment before = SoundDeployment();
  CHECK(CompareDeployments(before, before).size() == 1);  // the same number
  Deployment after = before;
  after.version = 8;
  CHECK(CompareDeployments(before, after).empty());
  after.routes[0].timeout = seconds(1);
  after.routes.pop_back();
  after.teams["orchard"].keys = {"k2"};
  after.teams["orchard"].limits.rate = 2.5;
  after.services["app"].name = "app";
  std::vector<std::string> texts;
  for (const auto& change : CompareDeployments(before, after)) {
    texts.push_back(change.place + ": " + change.text);
  }
  CHECK(texts == std::vector<std::string>{
                     "routes \"chat\": timeout: 3000 ms -> 1000 ms",
                     "routes \"deep\": removed",
                     "teams \"orchard\": 1 of its 1 keys are withdrawn",
                     "teams \"orchard\": 1 keys are added",
                     "teams \"orchard\": rate: 10/s -> 2.5/s",
                     "services \"app\": added"});
}

}  // namespace
}  // namespace celerykeel

#include "celerykeel/ctl/config_check.h"

#include <utility>  // for std::move
#include <vector>   // for std::vector

#include "celerykeel/core/deployment_check.h"  // for CheckDeployment
#include "celerykeel/net/settings.h"           // for kExitDone
#include "platform/deployment_fields.h"        // for FindFieldMistakes
#include "platform/deployment_json.h"          // for DecodeDeployment

namespace celerykeel {

namespace {

const char* NameOf(FindingKind kind) {
  switch (kind) {
    case FindingKind::kInvalid:
      return "error";
    case FindingKind::kNeverMatches:
      return "never matches";
    case FindingKind::kContradiction:
      return "contradiction";
  }
  return "";
}

void AddFinding(Report& report, const DeploymentFinding& finding) {
  report.text += std::string(NameOf(finding.kind)) + ": " + finding.place +
                 ": " + finding.text + "\n";
  report.data["findings"].push_back({{"kind", NameOf(finding.kind)},
                                     {"place", finding.place},
                                     {"text", finding.text}});
}

void AddChange(Report& report, const DeploymentChange& change) {
  report.text += "changes: " + change.place + ": " + change.text + "\n";
  report.data["changes"].push_back(
      {{"place", change.place}, {"text", change.text}});
}

// Adds the differences. @return false if the other version can't be read.
bool AddChanges(Report& report,
                const Deployment& deployment,
                const std::string& against) {
  report.data["changes"] = nlohmann::ordered_json::array();
  const auto other = platform::DecodeDeployment(against);
  if (!other) {
    AddFinding(report, {FindingKind::kInvalid, "--against",
                        "is no configuration: " + other.error().field});
    return false;
  }
  for (const DeploymentChange& change :
       CompareDeployments(*other, deployment)) {
    AddChange(report, change);
  }
  return true;
}

}  // namespace

Report CheckConfiguration(std::string_view bytes,
                          const std::optional<std::string>& against,
                          uint64_t record_bytes) {
  Report report;
  report.data["findings"] = nlohmann::ordered_json::array();
  for (const auto& [place, text] : platform::FindFieldMistakes(bytes)) {
    AddFinding(report, {FindingKind::kInvalid, place, text});
  }
  const auto deployment = platform::DecodeDeployment(bytes);
  if (!deployment) {
    report.exit_status = kExitUsage;
    if (report.data["findings"].empty()) {
      AddFinding(report, {FindingKind::kInvalid, deployment.error().field,
                          "can't be read"});
    }
    return report;
  }
  for (const DeploymentFinding& finding :
       CheckDeployment(*deployment, record_bytes)) {
    AddFinding(report, finding);
  }
  const size_t findings = report.data["findings"].size();
  report.exit_status = findings == 0 ? kExitDone : kExitFailed;
  if (against && !AddChanges(report, *deployment, *against)) {
    report.exit_status = kExitUsage;
  }
  report.text += "version " + std::to_string(deployment->version) + ": " +
                 std::to_string(findings) + " findings\n";
  return report;
}

}  // namespace celerykeel

#include "celerykeel/ctl/views.h"

#include <algorithm>  // for std::max

#include "celerykeel/core/roster.h"          // for FormatIncarnation
#include "celerykeel/core/ticket_objects.h"  // for ForEachKind

namespace celerykeel {

namespace {

using Json = nlohmann::ordered_json;

int64_t MillisOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Json ToJson(const MemberProgress& member) {
  Json json{{"instance", member.instance},
            {"availability_zone", member.availability_zone},
            {"incarnation", FormatIncarnation(member.incarnation)},
            {"asked", member.asked},
            {"offset", nullptr}};
  if (member.offset) {
    json["offset"] = *member.offset;
    json["log_reachable"] = member.log_reachable;
    json["lease_left_ms"] = MillisOf(member.lease_left);
  }
  return json;
}

TableRow MemberRow(const MemberProgress& member, Offset newest) {
  if (!member.offset) {
    return {member.instance,
            member.availability_zone,
            "-",
            member.asked ? "no answer" : "not asked",
            "-",
            "-"};
  }
  const std::string behind =
      *member.offset >= newest
          ? "all"
          : std::to_string(newest - *member.offset) + " behind";
  return {member.instance,
          member.availability_zone,
          std::to_string(*member.offset),
          behind,
          member.log_reachable ? "yes" : "no",
          std::to_string(MillisOf(member.lease_left)) + " ms"};
}

std::string MemberTable(const std::vector<MemberProgress>& members,
                        Offset newest) {
  std::vector<TableRow> rows = {{"INSTANCE", "AVAILABILITY ZONE", "OFFSET",
                                 "FOLDED", "LOG", "LEASE LEFT"}};
  for (const MemberProgress& member : members) {
    rows.push_back(MemberRow(member, newest));
  }
  return RenderTable(rows);
}

Json InForceCounts(const Configuration& in_force) {
  Json counts = Json::object();
  ForEachKind([&](const auto& kind) {
    counts[std::string(kind.field)] = (in_force.*kind.in_force).size();
  });
  return counts;
}

std::string InForceLine(const Configuration& in_force) {
  std::string line = "in force:";
  ForEachKind([&](const auto& kind) {
    line += " " + std::to_string((in_force.*kind.in_force).size()) + " " +
            std::string(kind.field) + ",";
  });
  line.pop_back();
  return line + "\n";
}

}  // namespace

Report ShowStatus(const InstanceStatus& status,
                  const std::vector<MemberProgress>& members) {
  Offset newest = status.state.offset;
  for (const MemberProgress& member : members) {
    newest = std::max(newest, member.offset.value_or(0));
  }
  Report report;
  report.data = Json{{"answered_by", status.instance},
                     {"offset", newest},
                     {"log_reachable", status.log_reachable},
                     {"unreadable_records", status.state.unreadable},
                     {"in_force", InForceCounts(status.state.in_force)},
                     {"instances", Json::array()}};
  for (const MemberProgress& member : members) {
    report.data["instances"].push_back(ToJson(member));
  }
  report.text = "newest offset " + std::to_string(newest) + ", log " +
                (status.log_reachable ? "reachable" : "not reachable") +
                " from " + status.instance + "\n" +
                InForceLine(status.state.in_force) +
                MemberTable(members, newest);
  return report;
}

}  // namespace celerykeel

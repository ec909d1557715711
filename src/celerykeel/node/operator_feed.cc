#include "celerykeel/node/operator_feed.h"

#include <algorithm>  // for std::any_of
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/core/cold_endpoints.h"  // for PresumeZoneCold
#include "celerykeel/node/node.h"            // for Node
#include "platform/store_calls.h"            // for platform::ZoneOfKey

namespace celerykeel {

namespace {

// Sources in log lines.
constexpr std::string_view kStoreSource = "the store";
constexpr std::string_view kPeerSource = "a peer";

// Logs an evacuation that began or was revoked, and applies the consequences
// that go beyond the choice of endpoints.
void HandleChange(Node& node,
                  const std::string& zone,
                  std::string_view source) {
  const ZoneEvacuation& known = node.endpoints.evacuations.zones.at(zone);
  WriteLog(node.log, LogLevel::kUnusual,
           known.in_force ? "zone evacuated" : "evacuation revoked",
           {{"zone", zone}, {"offset", known.offset}, {"source", source}});
  if (!known.in_force) {
    PresumeZoneCold(node.endpoints, zone);
    return;
  }
  // Before the first list of endpoints, nothing can be said of the zone.
  if (!node.endpoints.endpoints.empty() && !IsKnownZone(node, zone)) {
    WriteLog(node.log, LogLevel::kUnusual, "evacuation of an unknown zone",
             {{"zone", zone}});
  }
}

bool Record(Node& node,
            const std::string& zone,
            bool in_force,
            uint64_t offset,
            std::string_view source) {
  ZoneEvacuations& evacuations = node.endpoints.evacuations;
  const bool is_change = RecordEvacuation(
      evacuations, zone,
      {.in_force = in_force, .offset = offset, .recorded_at = Now()});
  if (is_change) {
    HandleChange(node, zone, source);
  } else if (in_force && !evacuations.zones.contains(zone)) {
    WriteLog(node.log, LogLevel::kUnusual, "evacuation not recorded",
             {{"zone", zone}, {"reason", "too many zones"}});
  }
  return is_change;
}

void AddZone(const Node& node,
             const std::string& zone,
             pb::OperatorNews& news) {
  const ZoneEvacuation& known = node.endpoints.evacuations.zones.at(zone);
  pb::ZoneEvacuation& added = *news.add_evacuations();
  added.set_zone(zone);
  added.set_in_force(known.in_force);
  added.set_offset(known.offset);
}

void Notify(Node& node, const pb::NodeFrame& frame) {
  if (frame.operator_news().evacuations_size() > 0) {
    SendToAll(node.peers, frame);
  }
}

// An evacuation holds while its key is present, whatever its value.
bool IsPresent(const KeyedRecord& record) {
  return !record.dropped && !record.value.empty();
}

void AddRecords(Node& node,
                const std::vector<KeyedRecord>& records,
                pb::OperatorNews& news) {
  for (const KeyedRecord& record : records) {
    const auto zone = platform::ZoneOfKey(record.key);
    if (!zone) {
      continue;
    }
    if (zone->empty()) {
      WriteLog(node.log, LogLevel::kUnusual, "evacuation of an unknown zone",
               {{"zone", *zone}});
      continue;
    }
    if (Record(node, *zone, IsPresent(record), record.offset, kStoreSource)) {
      AddZone(node, *zone, news);
    }
  }
}

}  // namespace

void ApplyEvacuationRecords(Node& node,
                            const std::vector<KeyedRecord>& records) {
  pb::NodeFrame frame;
  AddRecords(node, records, *frame.mutable_operator_news());
  Notify(node, frame);
}

void ApplyAllEvacuations(Node& node,
                         const std::vector<KeyedRecord>& records,
                         uint64_t end,
                         Duration began_at) {
  pb::NodeFrame frame;
  pb::OperatorNews& news = *frame.mutable_operator_news();
  AddRecords(node, records, news);
  CompleteKeyRead read{.zones = {}, .end = end, .began_at = began_at};
  for (const KeyedRecord& record : records) {
    if (auto zone = platform::ZoneOfKey(record.key);
        zone && IsPresent(record)) {
      read.zones.insert(std::move(*zone));
    }
  }
  ZoneEvacuations& evacuations = node.endpoints.evacuations;
  for (const std::string& zone : RevokeUnlisted(evacuations, read, Now())) {
    HandleChange(node, zone, kStoreSource);
    AddZone(node, zone, news);
  }
  if (!evacuations.read_at) {
    evacuations.read_at = Now();
  }
  Notify(node, frame);
}

void ApplyOperatorNews(Node& node, const pb::OperatorNews& news) {
  for (const pb::ZoneEvacuation& evacuation : news.evacuations()) {
    Record(node, evacuation.zone(), evacuation.in_force(), evacuation.offset(),
           kPeerSource);
  }
}

pb::OperatorNews KnownEvacuations(const Node& node) {
  pb::OperatorNews news;
  for (const auto& [zone, evacuation] : node.endpoints.evacuations.zones) {
    AddZone(node, zone, news);
  }
  return news;
}

bool IsKnownZone(const Node& node, const std::string& zone) {
  const auto& endpoints = node.endpoints.endpoints;
  return zone == node.options.zone ||
         node.options.zone_regions.contains(zone) ||
         std::any_of(endpoints.begin(), endpoints.end(),
                     [&zone](const auto& entry) {
                       return entry.second.entry.zone == zone;
                     });
}

}  // namespace celerykeel

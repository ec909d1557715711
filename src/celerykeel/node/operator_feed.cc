#include "celerykeel/node/operator_feed.h"

#include <algorithm>  // for std::any_of
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/core/cold_endpoints.h"  // for PresumeZoneCold
#include "celerykeel/node/feeds.h"           // for ApplyDeployment
#include "celerykeel/node/node.h"            // for Node
#include "platform/store_calls.h"            // for platform::ZoneOfKey

namespace celerykeel {

namespace {

// Sources in log lines.
constexpr std::string_view kStoreSource = "the store";
constexpr std::string_view kPeerSource = "a peer";
// Of one call; records that are written meanwhile are read between calls.
constexpr Duration kListTime = std::chrono::seconds(1);
// Without a whole list, an instance serves after this time: an evacuation of a
// zone may be missing, while without it no call is served at all.
constexpr Duration kMaxEvacuationWait = std::chrono::seconds(3);

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
      {.in_force = in_force, .offset = offset, .recorded_at = Now()},
      IsKnownZone(node, zone) ? kMaxEvacuationZones
                              : kMaxUnknownEvacuationZones);
  if (is_change) {
    HandleChange(node, zone, source);
  } else if (in_force && !evacuations.zones.contains(zone)) {
    WriteLog(node.log, LogLevel::kOrdinary, "evacuation not recorded",
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
      WriteLog(node.log, LogLevel::kOrdinary, "evacuation of an unknown zone",
               {{"zone", *zone}});
      continue;
    }
    if (Record(node, *zone, IsPresent(record), record.offset, kStoreSource)) {
      AddZone(node, *zone, news);
    }
  }
}

// Applies a page of the list.
void ApplyPage(Node& node,
               OperatorList& list,
               const std::vector<KeyedRecord>& records) {
  if (list.topic.list->pages == 0) {
    list.read = {.zones = {},
                 .end = *list.topic.list->end,
                 .began_at = list.topic.list->began_at};
  }
  ApplyEvacuationRecords(node, records);
  for (const KeyedRecord& record : records) {
    ApplyDeployment(node, record);
    // Others are not in force here, so they can't be revoked.
    if (auto zone = platform::ZoneOfKey(record.key);
        zone && IsPresent(record) &&
        IsEvacuated(node.endpoints.evacuations, *zone)) {
      list.read.zones.insert(std::move(*zone));
    }
  }
}

void RevokeUnlistedEvacuations(Node& node, const CompleteKeyRead& read) {
  pb::NodeFrame frame;
  for (const std::string& zone :
       RevokeUnlisted(node.endpoints.evacuations, read, Now())) {
    HandleChange(node, zone, kStoreSource);
    AddZone(node, zone, *frame.mutable_operator_news());
  }
  Notify(node, frame);
}

}  // namespace

void ApplyEvacuationRecords(Node& node,
                            const std::vector<KeyedRecord>& records) {
  pb::NodeFrame frame;
  AddRecords(node, records, *frame.mutable_operator_news());
  Notify(node, frame);
}

Task<> ReadOperatorList(Node& node, OperatorList& list) {
  const ApplyRecords apply = [&node, &list](const auto& records) {
    ApplyPage(node, list, records);
  };
  const auto done = co_await ReadList(node, list.topic, kListTime, apply);
  if (done && *done == ListEnd::kComplete) {
    RevokeUnlistedEvacuations(node, list.read);
  }
  const bool has_ended = HasEnded(done);
  if (!node.endpoints.evacuations.read_at &&
      (has_ended || TakesLongerThan(list.topic, kMaxEvacuationWait))) {
    node.endpoints.evacuations.read_at = Now();
    if (!has_ended || *done == ListEnd::kIncomplete) {
      WriteLog(node.log, LogLevel::kUnusual, "evacuations may be missing",
               {{"reason", has_ended ? "list incomplete" : "list too long"}});
    }
  }
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

#include "celerykeel/node/endpoint_feed.h"

#include <algorithm>  // for std::any_of, std::max
#include <set>        // for std::set
#include <vector>     // for std::vector

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/core/cold_endpoints.h"  // for RecordColdness
#include "celerykeel/core/reader_choice.h"   // for IsReader
#include "celerykeel/node/crash_watch.h"     // for HandleStart
#include "celerykeel/node/isolation.h"       // for ApplyIsolationNews
#include "celerykeel/node/keyed_topic.h"     // for ReadAllKeys
#include "celerykeel/node/node.h"            // for Node
#include "platform/deployment_json.h"        // for platform::DecodeEndpoint

namespace celerykeel {

namespace {

// Endpoints write at each heartbeat, so a long read would return at once. This
// interval leaves most of the drain time for calls in flight.
constexpr Duration kEndpointReadInterval = std::chrono::milliseconds(400);
// Retry pause after a failed read of the complete list.
constexpr Duration kPause = std::chrono::milliseconds(100);
// Instances that are not readers read the complete list at this interval, to
// find updates that were lost with a connection.
constexpr Duration kReadAllInterval = std::chrono::seconds(4);
// A reader's state is too old to rely on at this age: a read interval and a
// heartbeat interval, plus half as much again.
constexpr Duration kMaxReaderAge = std::chrono::milliseconds(1200);
// Sources in log lines.
constexpr std::string_view kStoreSource = "the store";
constexpr std::string_view kPeerSource = "a peer";

void LogColdness(Node& node, const std::string& id, std::string_view source) {
  const EndpointStatus& endpoint = node.endpoints.endpoints.at(id);
  const Duration now = Now();
  WriteLog(
      node.log, LogLevel::kOrdinary, "endpoint coldness",
      {{"endpoint", id},
       {"per_second", ColdRateOf(node.endpoints, endpoint, now).value_or(0)},
       {"cold_ms", std::max(endpoint.cold_until - now, Duration::zero())},
       {"source", source}});
}

// Applies an endpoint's record to the table.
// @param is_first the record is one of the first complete list.
// @return true if the record changes more than the time of the last heartbeat.
bool ApplyEndpointRecord(Node& node,
                         const KeyedRecord& record,
                         std::string_view source,
                         bool is_first = false) {
  if (record.key.empty()) {
    return false;
  }
  if (record.dropped) {
    HandleRemoval(node, record.key);
    RecordRemoval(node.endpoints, record.key, Now());
    node.version_feed.endpoints_changed = true;
    return true;
  }
  const auto entry = platform::DecodeEndpoint(record.key, record.value);
  if (!entry) {
    ++node.entries_skipped;
    WriteLog(node.log, LogLevel::kOrdinary, "endpoint entry skipped",
             {{"endpoint", record.key}, {"field", entry.error().field}});
    return false;
  }
  const auto known = node.endpoints.endpoints.find(record.key);
  const bool changed = known == node.endpoints.endpoints.end() ||
                       known->second.entry.leaving != entry->leaving ||
                       known->second.entry.address != entry->address ||
                       known->second.entry.version != entry->version ||
                       known->second.entry.started_at != entry->started_at ||
                       known->second.lapsed_at.has_value();
  if (changed) {
    HandleStart(node, *entry);
  }
  RecordEntry(node.endpoints, *entry);
  const bool is_coldness_new =
      RecordColdness(node.endpoints, *entry, !is_first, Now());
  if (is_coldness_new) {
    LogColdness(node, entry->id, source);
  }
  if (changed) {
    node.version_feed.endpoints_changed = true;
    WriteLog(node.log, LogLevel::kOrdinary, "endpoint seen",
             {{"endpoint", entry->id},
              {"service", entry->service},
              {"address", entry->address},
              {"version", entry->version},
              {"leaving", entry->leaving},
              {"source", source}});
  }
  return changed || is_coldness_new;
}

void AddChange(pb::EndpointNews& news, const KeyedRecord& record) {
  pb::EndpointChange& change = *news.add_changes();
  change.set_endpoint(record.key);
  change.set_entry(record.value);
  change.set_removed(record.dropped);
}

bool IsLeaving(const Node& node, const std::string& endpoint) {
  const auto found = node.endpoints.endpoints.find(endpoint);
  return found != node.endpoints.endpoints.end() && found->second.entry.leaving;
}

// Reads the complete list. A reader sends the changes to the peers, as they
// rely on it. Of its first list these are the endpoints that leave: its peers
// may have had no reader when they began to.
Task<> ReadCompleteList(Node& node, KeyedTopic& topic, bool is_reader) {
  const Duration began = Now();
  const bool is_first = node.endpoints.endpoints.empty();
  const auto records = co_await ReadAllKeys(node, topic);
  if (!records) {
    co_return;
  }
  pb::NodeFrame frame;
  pb::EndpointNews& news = *frame.mutable_endpoint_news();
  std::set<std::string> seen;
  for (const KeyedRecord& record : *records) {
    if (ApplyEndpointRecord(node, record, kStoreSource, is_first) &&
        (!is_first || IsLeaving(node, record.key))) {
      AddChange(news, record);
    }
    seen.insert(record.key);
  }
  // This instance missed the removal of endpoints that the store no longer
  // lists.
  std::vector<std::string> removed;
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    if (!seen.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    const KeyedRecord record{
        .key = id, .value = "", .dropped = true, .offset = 0};
    ApplyEndpointRecord(node, record, kStoreSource);
    AddChange(news, record);
  }
  if (!is_reader) {
    co_return;
  }
  if (news.changes_size() > 0) {
    SendToAll(node.peers, frame);
  }
  node.endpoints_read_at = began;
}

// Reads new records as a reader, and sends the changes to the peers.
Task<> ReadAsReader(Node& node, KeyedTopic& topic) {
  const Duration began = Now();
  const auto records = co_await ReadNewRecords(node, topic, 0);
  if (!records) {
    co_return;
  }
  pb::NodeFrame frame;
  pb::EndpointNews& news = *frame.mutable_endpoint_news();
  for (const KeyedRecord& record : *records) {
    if (ApplyEndpointRecord(node, record, kStoreSource)) {
      AddChange(news, record);
    }
  }
  if (news.changes_size() > 0) {
    SendToAll(node.peers, frame);
  }
  node.endpoints_read_at = began;
}

bool HasFreshReader(const Node& node, Duration now) {
  return std::any_of(node.peer_states.begin(), node.peer_states.end(),
                     [now](const auto& entry) {
                       const auto& read_at = entry.second.endpoints_read_at;
                       return read_at && now < *read_at + kMaxReaderAge;
                     });
}

void AddDeparture(pb::EndpointNews& news,
                  const std::string& endpoint,
                  WallMillis started_at) {
  pb::EndpointDeparture& departure = *news.add_departures();
  departure.set_endpoint(endpoint);
  departure.set_started_at(started_at);
}

}  // namespace

void HandleDeparture(Node& node, const EndpointEntry& endpoint) {
  if (!RecordDeparture(node.endpoints, endpoint.id, endpoint.started_at)) {
    return;
  }
  WriteLog(node.log, LogLevel::kOrdinary, "endpoint leaves",
           {{"endpoint", endpoint.id}, {"source", "its answer"}});
  pb::NodeFrame frame;
  AddDeparture(*frame.mutable_endpoint_news(), endpoint.id,
               endpoint.started_at);
  SendToAll(node.peers, frame);
}

pb::EndpointNews KnownAnnouncements(const Node& node) {
  pb::EndpointNews news;
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    if (HasDeparted(node.endpoints, endpoint.entry)) {
      AddDeparture(news, id, node.endpoints.departures.at(id));
    }
  }
  AddKnownLimits(node, news);
  AddKnownVersions(node, news);
  AddKnownCrashes(node, news);
  return news;
}

void ApplyEndpointNews(Node& node, const pb::EndpointNews& news) {
  for (const pb::EndpointDeparture& departure : news.departures()) {
    if (RecordDeparture(node.endpoints, departure.endpoint(),
                        departure.started_at())) {
      WriteLog(node.log, LogLevel::kOrdinary, "endpoint leaves",
               {{"endpoint", departure.endpoint()}, {"source", kPeerSource}});
    }
  }
  for (const pb::EndpointLimitNews& limit : news.limits()) {
    ApplyLimitNews(node, limit);
  }
  for (const pb::ServiceVersionNews& version : news.versions()) {
    ApplyVersionNews(node, version);
  }
  ApplyCrashNews(node, news);
  for (const pb::IsolatedEndpoint& isolated : news.isolated_endpoints()) {
    ApplyIsolationNews(node, isolated);
  }
  for (const pb::EndpointChange& change : news.changes()) {
    ApplyEndpointRecord(node,
                        {.key = change.endpoint(),
                         .value = change.entry(),
                         .dropped = change.removed(),
                         .offset = 0},
                        kPeerSource);
  }
}

Task<> FollowEndpoints(Node& node) {
  KeyedTopic topic{.name = platform::kEndpointTopic, .next = std::nullopt};
  Duration read_all_at{};
  while (true) {
    const Duration now = Now();
    const bool reads = IsReader(node.fleet, now) || !HasFreshReader(node, now);
    if (!topic.next || (!reads && now >= read_all_at + kReadAllInterval)) {
      co_await AwaitStore(node, kMaxFeedStoreWait);
      read_all_at = Now();
      co_await ReadCompleteList(node, topic, reads);
    } else if (reads) {
      co_await AwaitStore(node, kMaxFeedStoreWait);
      co_await ReadAsReader(node, topic);
    }
    if (!reads) {
      node.endpoints_read_at.reset();
    }
    co_await Sleep(node.io, topic.next ? kEndpointReadInterval : kPause);
  }
}

}  // namespace celerykeel

#include "celerykeel/node/endpoint_feed.h"

#include <algorithm>  // for std::any_of, std::max
#include <utility>    // for std::exchange
#include <vector>     // for std::vector

#include "celerykeel/base/clock.h"           // for Now
#include "celerykeel/core/cold_endpoints.h"  // for RecordColdness
#include "celerykeel/core/reader_choice.h"   // for IsReader
#include "celerykeel/node/crash_watch.h"     // for HandleStart
#include "celerykeel/node/isolation.h"       // for ApplyIsolationNews
#include "celerykeel/node/keyed_topic.h"     // for ReadList
#include "celerykeel/node/node.h"            // for Node
#include "platform/deployment_json.h"        // for platform::DecodeEndpoint
#include "platform/ids.h"                    // for platform::IsValidId

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
// Of one call that reads the list; new records are read between calls.
constexpr Duration kListTime = std::chrono::milliseconds(400);
constexpr int kMaxReadsAtOnce = 4;  // 1 MiB each
// Bounds the removals of endpoints that this instance doesn't know in one
// message to the peers: another writer may remove any number of keys.
constexpr int kMaxUnknownRemovals = 256;
// Above the largest planned number of endpoints, 4,700.
constexpr size_t kMaxEndpoints = 8192;
constexpr size_t kMaxUnservedEndpoints = 1024;
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

bool IsServed(const Node& node, const EndpointEntry& entry) {
  return node.deployment != nullptr &&
         node.deployment->services.contains(entry.service);
}

// Endpoints of services that the configuration doesn't have may be those of its
// next version, or entries of other writers, whose number has no bound.
bool HasRoom(const Node& node, const EndpointEntry& entry) {
  const auto& endpoints = node.endpoints.endpoints;
  if (endpoints.size() >= kMaxEndpoints) {
    return false;
  }
  if (IsServed(node, entry) || endpoints.size() < kMaxUnservedEndpoints) {
    return true;
  }
  size_t unserved = 0;
  for (const auto& [id, endpoint] : endpoints) {
    unserved += IsServed(node, endpoint.entry) ? 0 : 1;
    if (unserved == kMaxUnservedEndpoints) {
      return false;
    }
  }
  return true;
}

void LeaveOut(Node& node, const EndpointEntry& entry) {
  node.endpoint_list.has_left_out = true;
  ++node.endpoint_list.left_out;
  WriteLog(node.log, LogLevel::kOrdinary, "endpoint left out",
           {{"endpoint", entry.id},
            {"service", entry.service},
            {"endpoints", node.endpoints.endpoints.size()},
            {"reason", "too many entries"}});
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
  const auto known = node.endpoints.endpoints.find(record.key);
  const bool is_known = known != node.endpoints.endpoints.end();
  if (record.dropped) {
    if (is_known) {
      HandleRemoval(node, record.key);
      RecordRemoval(node.endpoints, record.key, Now());
      node.version_feed.endpoints_changed = true;
    }
    return is_known || platform::IsValidId(record.key);
  }
  if (is_known) {
    known->second.listed_at = Now();
  }
  const auto entry = platform::DecodeEndpoint(record.key, record.value);
  if (!entry) {
    ++node.entries_skipped;
    WriteLog(node.log, LogLevel::kOrdinary, "endpoint entry skipped",
             {{"endpoint", record.key}, {"field", entry.error().field}});
    return false;
  }
  if (!is_known && !HasRoom(node, *entry)) {
    LeaveOut(node, *entry);
    return false;
  }
  const bool changed = !is_known ||
                       known->second.entry.leaving != entry->leaving ||
                       known->second.entry.address != entry->address ||
                       known->second.entry.version != entry->version ||
                       known->second.entry.started_at != entry->started_at ||
                       known->second.lapsed_at.has_value();
  if (changed) {
    HandleStart(node, *entry);
  }
  RecordEntry(node.endpoints, *entry);
  if (!is_known) {
    node.endpoints.endpoints.at(entry->id).listed_at = Now();
  }
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

// A read of the complete list.
struct EndpointList {
  KeyedTopic topic{.name = platform::kEndpointTopic};
  Duration began{};
  bool is_first = false;  // no endpoint was known when it began
};

// Applies records that were read from the store. A reader sends the changes to
// the peers, as they rely on it. Of its first list these are the endpoints that
// leave: its peers may have had no reader when they began to.
void ApplyEndpointRecords(Node& node,
                          const std::vector<KeyedRecord>& records,
                          bool is_reader,
                          bool is_first) {
  pb::NodeFrame frame;
  pb::EndpointNews& news = *frame.mutable_endpoint_news();
  int unknown_removals = 0;
  for (const KeyedRecord& record : records) {
    const bool removes_unknown =
        record.dropped && !node.endpoints.endpoints.contains(record.key);
    if (!ApplyEndpointRecord(node, record, kStoreSource, is_first) ||
        (is_first && !IsLeaving(node, record.key))) {
      continue;
    }
    if (!removes_unknown || ++unknown_removals <= kMaxUnknownRemovals) {
      AddChange(news, record);
    }
  }
  if (is_reader && news.changes_size() > 0) {
    SendToAll(node.peers, frame);
  }
}

// Removes the endpoints that the complete list did not hold: this instance
// missed their removal.
void RemoveUnlisted(Node& node, Duration list_began, bool is_reader) {
  std::vector<KeyedRecord> removed;
  for (const auto& [id, endpoint] : node.endpoints.endpoints) {
    if (endpoint.listed_at < list_began) {
      removed.push_back({.key = id, .value = "", .dropped = true, .offset = 0});
    }
  }
  ApplyEndpointRecords(node, removed, is_reader, false);
}

// Reads the complete list, or goes on where the last call stopped.
Task<> ReadCompleteList(Node& node, EndpointList& list, bool is_reader) {
  if (!list.topic.list) {
    list.began = Now();
    list.is_first = node.endpoints.endpoints.empty();
  }
  const ApplyRecords apply = [&node, &list, is_reader](const auto& records) {
    ApplyEndpointRecords(node, records, is_reader, list.is_first);
  };
  const auto done = co_await ReadList(node, list.topic, kListTime, apply);
  if (done && *done == ListEnd::kComplete) {
    RemoveUnlisted(node, list.began, is_reader);
    if (is_reader) {
      node.endpoints_read_at = list.began;
    }
  }
}

// Reads new records, a bounded number at once, as another writer may add them
// faster than they are read.
Task<> ReadNew(Node& node, KeyedTopic& topic, bool is_reader) {
  for (int reads = 0; reads < kMaxReadsAtOnce; ++reads) {
    const Duration began = Now();
    const auto records = co_await ReadNewRecords(node, topic, 0);
    if (!records) {
      co_return;
    }
    ApplyEndpointRecords(node, *records, is_reader, false);
    if (records->empty() || *topic.next >= topic.end) {
      if (is_reader) {
        node.endpoints_read_at = began;
      }
      co_return;
    }
  }
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

void ReadLeftOutEndpoints(EndpointListState& list) {
  if (std::exchange(list.has_left_out, false)) {
    list.is_due = true;
  }
}

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

// While the list goes on, new records are read as well: endpoints write at each
// heartbeat, so they bring each live one however long the list is.
Task<> FollowEndpoints(Node& node) {
  EndpointList list;
  KeyedTopic& topic = list.topic;
  Duration read_all_at{};
  while (true) {
    const Duration now = Now();
    const bool reads = IsReader(node.fleet, now) || !HasFreshReader(node, now);
    const bool is_due = std::exchange(node.endpoint_list.is_due, false);
    if (is_due) {
      topic.list.reset();
    }
    const bool lists = IsListDue(topic) || is_due ||
                       (!reads && now >= read_all_at + kReadAllInterval);
    if (lists) {
      co_await AwaitStore(node, kMaxFeedStoreWait);
      read_all_at = topic.list ? read_all_at : Now();
      topic.is_followed = reads;
      co_await ReadCompleteList(node, list, reads);
    }
    if (topic.next && (topic.list || (reads && !lists))) {
      co_await AwaitStore(node, kMaxFeedStoreWait);
      co_await ReadNew(node, topic, reads);
    }
    if (!reads) {
      node.endpoints_read_at.reset();
    }
    co_await Sleep(node.io,
                   topic.next && !topic.list ? kEndpointReadInterval : kPause);
  }
}

}  // namespace celerykeel

#include "celerykeel/node/endpoint_feed.h"

#include <algorithm>  // for std::any_of
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/core/reader_choice.h"  // for IsReader
#include "celerykeel/node/node.h"           // for Node
#include "platform/deployment_json.h"       // for platform::DecodeEndpoint

namespace celerykeel {

namespace {

// Endpoints write at each heartbeat, so that a read that waits would return at
// once; this pace leaves most of the drain time for calls on their way.
constexpr Duration kPace = std::chrono::milliseconds(400);
constexpr Duration kPause = std::chrono::milliseconds(100);
// While the store is away, probes tell of its return; a read is tried from time
// to time all the same.
constexpr Duration kTryAnyway = std::chrono::seconds(1);
// One that hears from readers reads the whole list so often, lest news that
// were lost with a connection stay unknown.
constexpr Duration kReadAllEvery = std::chrono::seconds(4);
// A reader's knowledge of this age is too old to rely on: a pace, a heartbeat
// and as much again.
constexpr Duration kFreshFor = std::chrono::milliseconds(1200);

// @return true if it says more than that the endpoint lives.
bool TakeEndpoint(Node& node, const KeyedRecord& record) {
  if (record.key.empty()) {
    return false;
  }
  if (record.dropped) {
    NoteRemoved(node.endpoints, record.key, Now());
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
                       known->second.entry.started_at != entry->started_at ||
                       known->second.lapsed_at.has_value();
  NoteEntry(node.endpoints, *entry);
  if (changed) {
    WriteLog(node.log, LogLevel::kOrdinary, "endpoint seen",
             {{"endpoint", entry->id},
              {"service", entry->service},
              {"address", entry->address},
              {"leaving", entry->leaving}});
  }
  return changed;
}

Task<std::optional<uint64_t>> ReadAllEndpoints(Node& node) {
  NewestCall call{.topic = std::string(platform::kEndpointTopic), .after = {}};
  std::set<std::string> seen;
  while (true) {
    const auto done = co_await ReadNewest(node, call);
    if (!done) {
      co_return std::nullopt;
    }
    for (const KeyedRecord& record : done->records) {
      TakeEndpoint(node, record);
      seen.insert(record.key);
    }
    if (!done->more || done->records.empty()) {
      // What the store no longer lists was removed unseen.
      std::vector<std::string> gone;
      for (const auto& [id, endpoint] : node.endpoints.endpoints) {
        if (!seen.contains(id)) {
          gone.push_back(id);
        }
      }
      for (const std::string& id : gone) {
        NoteRemoved(node.endpoints, id, Now());
      }
      co_return done->end;
    }
    call.after = done->records.back().key;
  }
}

void TellPeers(Node& node, const pb::EndpointNews& news) {
  pb::NodeFrame frame;
  *frame.mutable_endpoint_news() = news;
  for (const auto& [instance, link] : node.peers.links) {
    if (link->socket != nullptr) {
      SendFrame(link->socket, frame);
    }
  }
}

// Reads what was written since `next`, and tells the peers what changed.
Task<> ReadNews(Node& node, std::optional<uint64_t>& next) {
  const Duration began = Now();
  const ReadCall read{.topic = std::string(platform::kEndpointTopic),
                      .partition = 0,
                      .from = *next,
                      .wait_ms = 0};
  const auto done = co_await Read(node, read);
  if (!done) {
    if (std::holds_alternative<Expired>(done.error())) {
      next.reset();
    }
    co_return;
  }
  pb::EndpointNews news;
  for (const std::string& bytes : done->records) {
    const KeyedRecord record = platform::DecodeKeyed(bytes, *next);
    if (TakeEndpoint(node, record)) {
      pb::EndpointChange& change = *news.add_changes();
      change.set_endpoint(record.key);
      change.set_entry(record.value);
      change.set_removed(record.dropped);
    }
    ++*next;
  }
  if (news.changes_size() > 0) {
    TellPeers(node, news);
  }
  node.endpoints_read_at = began;
}

bool HearsReader(const Node& node, Duration now) {
  return std::any_of(node.peer_states.begin(), node.peer_states.end(),
                     [now](const auto& entry) {
                       const auto& read_at = entry.second.endpoints_read_at;
                       return read_at && now < *read_at + kFreshFor;
                     });
}

}  // namespace

void TakeEndpointNews(Node& node, const pb::EndpointNews& news) {
  for (const pb::EndpointChange& change : news.changes()) {
    TakeEndpoint(node, {.key = change.endpoint(),
                        .value = change.entry(),
                        .dropped = change.removed(),
                        .offset = 0});
  }
}

Task<> FollowEndpoints(Node& node) {
  std::optional<uint64_t> next;
  Duration read_all_at{};
  while (true) {
    const Duration now = Now();
    const bool reads = IsReader(node.fleet, now) || !HearsReader(node, now);
    if (!next || (!reads && now >= read_all_at + kReadAllEvery)) {
      co_await AwaitStore(node, kTryAnyway);
      read_all_at = Now();
      const auto end = co_await ReadAllEndpoints(node);
      next = end ? end : next;
    } else if (reads) {
      co_await AwaitStore(node, kTryAnyway);
      co_await ReadNews(node, next);
    }
    if (!reads) {
      node.endpoints_read_at.reset();
    }
    co_await Sleep(node.io, next ? kPace : kPause);
  }
}

}  // namespace celerykeel

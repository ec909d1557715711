#include "celerykeel/node/feeds.h"

#include <xxhash.h>  // for XXH3_64bits

#include <algorithm>  // for std::max, std::min, std::none_of
#include <utility>    // for std::move, std::exchange

#include "celerykeel/base/clock.h"             // for Now
#include "celerykeel/core/cold_endpoints.h"    // for SetColdTraits
#include "celerykeel/core/deployment_check.h"  // for CheckDeployment
#include "celerykeel/node/deployment_copy.h"   // for CopyDeployment
#include "celerykeel/node/endpoint_feed.h"     // for ReadLeftOutEndpoints
#include "celerykeel/node/fleet.h"             // for AnnounceSoon
#include "celerykeel/node/keyed_topic.h"       // for ReadNewRecords
#include "celerykeel/node/node.h"              // for Node
#include "celerykeel/node/operator_feed.h"     // for ReadOperatorList
#include "celerykeel/node/rates.h"             // for ReturnTokens
#include "platform/deployment_json.h"          // for platform::DecodeDeployment

namespace celerykeel {

namespace {

// How long the store holds an idle read of the configuration open. Operators
// write rarely, and the store charges for each read.
constexpr uint64_t kLongReadMillis = 5000;
constexpr Duration kPause = std::chrono::milliseconds(100);
// A long read ends with the next record, and another writer may add them
// without a pause: each would cost a call, and all instances share the calls
// that the store takes.
constexpr Duration kForeignRecordPause = std::chrono::milliseconds(200);
// The store may serve data that is seconds old, so the read is repeated.
constexpr Duration kRereadPause = std::chrono::milliseconds(150);
// The own long read of an instance that reaches the store brings a new version
// at about the time at which the first peer reports it.
constexpr Duration kOwnReadTime = std::chrono::milliseconds(200);
// Above the longest time that a long read takes until it fails.
constexpr Duration kMaxLongReadTime = std::chrono::seconds(10);

uint64_t NewestVersionOfPeers(const Node& node) {
  uint64_t newest = 0;
  for (const auto& [instance, state] : node.peer_states) {
    newest = std::max(newest, state.deployment_version);
  }
  return newest;
}

bool IsBehindPeers(const Node& node) {
  return NewestVersionOfPeers(node) >
         std::max(VersionInForce(node), node.deployment_feed.unusable_version);
}

// Ends the wait for a long read. Its connection may be silent for good, and the
// read would hang until its timeout, more than 6 s.
void AbandonLongRead(Node& node) {
  if (const auto& read = node.deployment_feed.long_read) {
    CloseIdleBefore(node.store.pool, node.options.store_address, Now());
    read->SetValue(tl::unexpected(StoreError(NoAnswer{"abandoned"})));
  }
}

Task<> CatchUpWithPeers(Node& node) {
  OperatorList list;
  PartialCopy copy;
  co_await Sleep(node.io, kOwnReadTime);
  while (IsBehindPeers(node)) {
    const bool is_copied = co_await CopyDeployment(node, copy);
    AbandonLongRead(node);
    if (!is_copied) {
      co_await ReadOperatorList(node, list);
      co_await Sleep(node.io, kRereadPause);
    }
  }
  node.deployment_feed.is_catching_up = false;
}

bool IsUsed(const KeyedRecord& record) {
  return record.key == platform::kConfigurationKey ||
         platform::ZoneOfKey(record.key).has_value();
}

// A task of its own, as the wait for it may be abandoned.
Task<> ReadLong(Node& node,
                uint64_t from,
                uint64_t wait_ms,
                std::shared_ptr<Promise<KeyedRecords>> done) {
  KeyedTopic topic{.name = platform::kConfigurationTopic, .next = from};
  auto records = co_await ReadNewRecords(node, topic, wait_ms);
  done->SetValue(std::move(records));
}

// @return nothing if the read was abandoned or got no answer.
Task<std::optional<KeyedRecords>> AwaitNewRecords(Node& node,
                                                  uint64_t from,
                                                  uint64_t wait_ms) {
  const auto done = std::make_shared<Promise<KeyedRecords>>(node.io);
  node.deployment_feed.long_read = done;
  Spawn(node.io, ReadLong(node, from, wait_ms, done));
  auto records = co_await done->Wait(kMaxLongReadTime);
  node.deployment_feed.long_read = nullptr;
  co_return records;
}

// Tokens held by a higher rate would leave other instances none for as long as
// these loans last.
void ReturnTokensOfCutRates(Node& node, const Deployment& before) {
  for (const auto& [name, team] : before.teams) {
    if (const auto found = node.deployment->teams.find(name);
        found != node.deployment->teams.end() &&
        (found->second.limits.rate < team.limits.rate ||
         found->second.limits.burst < team.limits.burst)) {
      ReturnTokens(node, name);
    }
  }
}

}  // namespace

uint64_t VersionInForce(const Node& node) {
  return node.deployment == nullptr ? 0 : node.deployment->version;
}

uint64_t DeploymentDigest(std::string_view value) {
  return XXH3_64bits(value.data(), value.size());
}

// The findings of `celerykeelctl config check`. The version applies all the
// same, as it is the operators' decision.
void LogFindings(Node& node) {
  constexpr size_t kMaxLogged = 4;
  const auto findings =
      CheckDeployment(*node.deployment, node.options.store_record_bytes);
  for (size_t i = 0; i < std::min(findings.size(), kMaxLogged); ++i) {
    WriteLog(node.log, LogLevel::kUnusual, "configuration finding",
             {{"version", node.deployment->version},
              {"place", findings[i].place},
              {"text", findings[i].text},
              {"findings", static_cast<uint64_t>(findings.size())}});
  }
}

void ApplyDeployment(Node& node, const KeyedRecord& record) {
  if (record.key != platform::kConfigurationKey || record.dropped) {
    return;
  }
  DeploymentFeed& feed = node.deployment_feed;
  const uint64_t digest = DeploymentDigest(record.value);
  if (feed.parsed_digest == digest ||
      (node.deployment != nullptr && feed.digest == digest)) {
    return;
  }
  feed.parsed_digest = digest;
  auto decoded = platform::DecodeDeployment(record.value);
  if (!decoded) {
    WriteLog(node.log, LogLevel::kUnusual, "configuration unreadable",
             {{"field", decoded.error().field}});
    return;
  }
  if (decoded->version <= VersionInForce(node)) {
    return;
  }
  if (const std::string restricted =
          FindUnknownRegions(*decoded, node.options.zone_regions);
      !restricted.empty()) {
    WriteLog(node.log, LogLevel::kUnusual, "configuration rejected",
             {{"version", decoded->version},
              {"reason", "no allowed region is known: " + restricted}});
    return;
  }
  const auto before = std::exchange(
      node.deployment, std::make_shared<const Deployment>(std::move(*decoded)));
  if (before != nullptr) {
    ReturnTokensOfCutRates(node, *before);
  }
  SetColdTraits(node.endpoints, *node.deployment);
  ReadLeftOutEndpoints(node.endpoint_list);
  feed.value = record.value;
  feed.offset = record.offset;
  feed.digest = digest;
  WriteLog(node.log, LogLevel::kUnusual, "configuration in force",
           {{"version", node.deployment->version},
            {"routes", static_cast<uint64_t>(node.deployment->routes.size())},
            {"teams", static_cast<uint64_t>(node.deployment->teams.size())}});
  for (const auto& [name, team] : node.deployment->teams) {
    WriteLog(node.log, LogLevel::kOrdinary, "team in force",
             {{"team", name},
              {"rate", static_cast<uint64_t>(team.limits.rate)},
              {"burst", static_cast<uint64_t>(team.limits.burst)},
              {"keys", static_cast<uint64_t>(team.keys.size())}});
  }
  if (NewestVersionOfPeers(node) < node.deployment->version) {
    AnnounceSoon(node);  // among the first: peers may copy it from here
  }
  LogFindings(node);
}

void GetDeploymentSoon(Node& node) {
  if (!node.deployment_feed.is_catching_up && IsBehindPeers(node)) {
    node.deployment_feed.is_catching_up = true;
    Spawn(node.io, CatchUpWithPeers(node));
  }
}

Task<> FollowDeployment(Node& node) {
  OperatorList list;
  KeyedTopic& topic = list.topic;
  while (true) {
    co_await AwaitStore(node, kMaxFeedStoreWait);
    if (IsListDue(topic)) {
      co_await ReadOperatorList(node, list);
      if (!topic.next || (node.deployment == nullptr && !topic.list)) {
        // Without a valid configuration, all keys are read again.
        topic.next.reset();
        co_await Sleep(node.io, kPause);
        continue;
      }
    }
    const auto records = co_await AwaitNewRecords(
        node, *topic.next, topic.list ? 0 : kLongReadMillis);
    if (!records || !*records) {
      // The next read begins at the same record, so none is missed.
      if (records && std::holds_alternative<Expired>(records->error())) {
        topic.next.reset();
        topic.list.reset();
      } else {
        co_await Sleep(node.io, kPause);
      }
      continue;
    }
    *topic.next += (*records)->size();
    ApplyEvacuationRecords(node, **records);
    for (const KeyedRecord& record : **records) {
      ApplyDeployment(node, record);
    }
    if (!(*records)->empty() &&
        std::none_of((*records)->begin(), (*records)->end(), IsUsed)) {
      co_await Sleep(node.io, kForeignRecordPause);
    }
  }
}

}  // namespace celerykeel

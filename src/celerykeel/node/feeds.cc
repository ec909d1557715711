#include "celerykeel/node/feeds.h"

#include <utility>  // for std::move, std::exchange

#include "celerykeel/node/keyed_topic.h"  // for ReadAllKeys
#include "celerykeel/node/node.h"         // for Node
#include "celerykeel/node/rates.h"        // for ReturnTokens
#include "platform/deployment_json.h"     // for platform::DecodeDeployment

namespace celerykeel {

namespace {

// How long the store holds an idle read of the configuration open. Operators
// write rarely, and the store charges for each read.
constexpr uint64_t kLongReadMillis = 5000;
constexpr Duration kPause = std::chrono::milliseconds(100);
// The store may serve data that is seconds old, so the read is repeated.
constexpr Duration kRereadPause = std::chrono::milliseconds(150);

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

void ApplyDeployment(Node& node, const KeyedRecord& record) {
  if (record.key != platform::kConfigurationKey || record.dropped) {
    return;
  }
  auto decoded = platform::DecodeDeployment(record.value);
  if (!decoded) {
    WriteLog(node.log, LogLevel::kUnusual, "configuration unreadable",
             {{"field", decoded.error().field}});
    return;
  }
  if (node.deployment != nullptr &&
      decoded->version <= node.deployment->version) {
    return;
  }
  const auto before = std::exchange(
      node.deployment, std::make_shared<const Deployment>(std::move(*decoded)));
  if (before != nullptr) {
    ReturnTokensOfCutRates(node, *before);
  }
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
}

Task<> ReadNewestDeployment(Node& node, KeyedTopic& topic) {
  if (const auto records = co_await ReadAllKeys(node, topic)) {
    for (const KeyedRecord& record : *records) {
      ApplyDeployment(node, record);
    }
  }
}

Task<> CatchUpWithPeers(Node& node) {
  KeyedTopic topic{.name = platform::kConfigurationTopic, .next = std::nullopt};
  while (true) {
    uint64_t newest = 0;
    for (const auto& [instance, state] : node.peer_states) {
      newest = std::max(newest, state.deployment_version);
    }
    if (node.deployment != nullptr && node.deployment->version >= newest) {
      break;
    }
    co_await ReadNewestDeployment(node, topic);
    co_await Sleep(node.io, kRereadPause);
  }
  node.catching_up = false;
}

}  // namespace

void ReadDeploymentSoon(Node& node) {
  if (!node.catching_up) {
    node.catching_up = true;
    Spawn(node.io, CatchUpWithPeers(node));
  }
}

Task<> FollowDeployment(Node& node) {
  KeyedTopic topic{.name = platform::kConfigurationTopic, .next = std::nullopt};
  while (true) {
    co_await AwaitStore(node, kMaxFeedStoreWait);
    if (!topic.next) {
      co_await ReadNewestDeployment(node, topic);
      if (!topic.next || node.deployment == nullptr) {
        // Without a valid configuration, all keys are read again.
        topic.next.reset();
        co_await Sleep(node.io, kPause);
      }
      continue;
    }
    const auto records = co_await ReadNewRecords(node, topic, kLongReadMillis);
    if (!records) {
      // All keys are read next, so records missed here are not lost.
      topic.next.reset();
      if (!std::holds_alternative<Expired>(records.error())) {
        co_await Sleep(node.io, kPause);
      }
      continue;
    }
    for (const KeyedRecord& record : *records) {
      ApplyDeployment(node, record);
    }
  }
}

}  // namespace celerykeel

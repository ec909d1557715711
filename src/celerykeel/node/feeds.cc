#include "celerykeel/node/feeds.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"     // for Now
#include "celerykeel/node/node.h"      // for Node
#include "platform/deployment_json.h"  // for platform::DecodeDeployment

namespace celerykeel {

namespace {

// An idle read of the configuration is answered after so long: the operators
// write seldom, and each read is priced.
constexpr uint64_t kLongReadMillis = 5000;
constexpr Duration kPause = std::chrono::milliseconds(100);
// While the store is away, probes tell of its return; a read is tried from time
// to time all the same.
constexpr Duration kTryAnyway = std::chrono::seconds(1);
// The store can serve reads that are seconds old.
constexpr Duration kReadAgain = std::chrono::milliseconds(150);

void TakeDeployment(Node& node, const KeyedRecord& record) {
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
  node.deployment = std::make_shared<const Deployment>(std::move(*decoded));
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

Task<std::optional<uint64_t>> ReadNewestDeployment(Node& node) {
  const NewestCall call{.topic = std::string(platform::kConfigurationTopic),
                        .after = {}};
  const auto done = co_await ReadNewest(node, call);
  if (!done) {
    co_return std::nullopt;
  }
  for (const KeyedRecord& record : done->records) {
    TakeDeployment(node, record);
  }
  co_return done->end;
}

Task<> CatchUpWithPeers(Node& node) {
  while (true) {
    uint64_t newest = 0;
    for (const auto& [instance, state] : node.peer_states) {
      newest = std::max(newest, state.deployment_version);
    }
    if (node.deployment != nullptr && node.deployment->version >= newest) {
      break;
    }
    [[maybe_unused]] const auto end = co_await ReadNewestDeployment(node);
    co_await Sleep(node.io, kReadAgain);
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
  std::optional<uint64_t> next;
  while (true) {
    co_await AwaitStore(node, kTryAnyway);
    if (!next) {
      next = co_await ReadNewestDeployment(node);
      if (!next || node.deployment == nullptr) {
        next.reset();
        co_await Sleep(node.io, kPause);
      }
      continue;
    }
    const ReadCall read{.topic = std::string(platform::kConfigurationTopic),
                        .partition = 0,
                        .from = *next,
                        .wait_ms = kLongReadMillis};
    const auto done = co_await Read(node, read);
    if (!done) {
      // Whatever was written meanwhile is in the newest records.
      next.reset();
      if (!std::holds_alternative<Expired>(done.error())) {
        co_await Sleep(node.io, kPause);
      }
      continue;
    }
    for (const std::string& bytes : done->records) {
      TakeDeployment(node, platform::DecodeKeyed(bytes, *next));
      ++*next;
    }
  }
}

}  // namespace celerykeel

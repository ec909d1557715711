#include "celerykeel/node/deployment_copy.h"

#include <algorithm>  // for std::max
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"     // for Now
#include "celerykeel/node/fleet.h"     // for RankConnectedPeers
#include "celerykeel/node/node.h"      // for Node
#include "platform/deployment_json.h"  // for platform::kConfigurationKey

namespace celerykeel {

namespace {

// A piece takes 24 ms on the slowest links (22 Mbit/s), and a peer that is out
// of its share of a processor answers after 100 ms.
constexpr Duration kPieceTimeout = std::chrono::milliseconds(400);
// Pause before peers that are busy are asked again.
constexpr Duration kBusyPause = std::chrono::milliseconds(60);
// Half of the time in which a version must be in force. The store is read
// after it.
constexpr Duration kMaxCopyTime = std::chrono::milliseconds(1500);
// No configuration is larger: it is one record of the store.
constexpr uint64_t kMaxDeploymentBytes = 64UL * 1024 * 1024;

enum class CopyEnd { kComplete, kBusy, kFailed };

std::vector<std::string> RankGivers(const Node& node, uint64_t round) {
  const uint64_t known =
      std::max(VersionInForce(node), node.deployment_feed.unusable_version);
  return RankConnectedPeers(node, round, [known](const PeerState& peer) {
    return peer.gives_deployment && peer.deployment_version > known;
  });
}

// Adds a piece.
// @return false if it does not continue the copy.
bool AddPiece(PartialCopy& copy, pb::DeploymentPiece& piece) {
  if (piece.size() > kMaxDeploymentBytes || piece.bytes().empty()) {
    return false;
  }
  if (piece.from() == 0) {
    copy.value = std::move(*piece.mutable_bytes());
    copy.first = std::move(piece);
  } else if (piece.from() == copy.value.size() &&
             piece.digest() == copy.first.digest()) {
    copy.value += piece.bytes();
  } else {
    return false;
  }
  return copy.value.size() <= copy.first.size();
}

Task<CopyEnd> CopyFrom(Node& node, PeerLinkPtr link, PartialCopy& copy) {
  while (true) {
    pb::NodeFrame frame;
    pb::DeploymentWish& wish = *frame.mutable_deployment_wish();
    wish.set_newer_than(VersionInForce(node));
    wish.set_from(copy.value.size());
    wish.set_digest(copy.first.digest());
    wish.set_instance(node.options.instance);
    auto answer = co_await CallPeer(node.io, node.peers, link, std::move(frame),
                                    kPieceTimeout);
    if (!answer || !answer->has_deployment_piece()) {
      co_return CopyEnd::kFailed;
    }
    pb::DeploymentPiece& piece = *answer->mutable_deployment_piece();
    if (piece.busy()) {
      co_return CopyEnd::kBusy;
    }
    if (piece.version() <= VersionInForce(node) || !AddPiece(copy, piece)) {
      copy = {};
      co_return CopyEnd::kFailed;
    }
    if (copy.value.size() < copy.first.size()) {
      continue;
    }
    if (DeploymentDigest(copy.value) != copy.first.digest()) {
      copy = {};
      co_return CopyEnd::kFailed;
    }
    co_return CopyEnd::kComplete;
  }
}

void PutInForce(Node& node, PartialCopy& copy, const std::string& giver) {
  const KeyedRecord record{.key = std::string(platform::kConfigurationKey),
                           .value = std::move(copy.value),
                           .dropped = false,
                           .offset = copy.first.offset()};
  WriteLog(node.log, LogLevel::kUnusual, "configuration copied",
           {{"version", copy.first.version()},
            {"peer", giver},
            {"bytes", copy.first.size()}});
  ++node.deployment_feed.copied;
  ApplyDeployment(node, record);
  if (VersionInForce(node) < copy.first.version()) {
    // It can't be used here, and neither can the same one of another peer.
    node.deployment_feed.unusable_version = copy.first.version();
  }
  copy = {};
}

}  // namespace

pb::DeploymentPiece GiveDeployment(Node& node, const pb::DeploymentWish& wish) {
  DeploymentFeed& feed = node.deployment_feed;
  pb::DeploymentPiece piece;
  if (VersionInForce(node) <= wish.newer_than()) {
    return piece;
  }
  if (!MayCopy(feed.copies, wish.instance(), Now())) {
    piece.set_busy(true);
    return piece;
  }
  const uint64_t digest = feed.digest;
  const bool continues =
      wish.digest() == digest && wish.from() < feed.value.size();
  const size_t from = continues ? wish.from() : 0;
  piece.set_version(node.deployment->version);
  piece.set_offset(feed.offset);
  piece.set_size(feed.value.size());
  piece.set_digest(digest);
  piece.set_from(from);
  piece.set_bytes(feed.value.substr(from, kDeploymentPieceBytes));
  if (from + piece.bytes().size() == feed.value.size()) {
    EndCopy(feed.copies, wish.instance());
  }
  return piece;
}

Task<bool> CopyDeployment(Node& node, PartialCopy& copy) {
  const Duration until = Now() + kMaxCopyTime;
  for (uint64_t round = 0; Now() < until; ++round) {
    bool is_busy = false;
    const std::vector<std::string> givers = RankGivers(node, round);
    for (const std::string& giver : givers) {
      const auto link = node.peers.links.find(giver);
      if (Now() >= until || link == node.peers.links.end()) {
        continue;
      }
      const CopyEnd end = co_await CopyFrom(node, link->second, copy);
      if (end == CopyEnd::kComplete) {
        PutInForce(node, copy, giver);
        co_return true;
      }
      is_busy = is_busy || end == CopyEnd::kBusy;
    }
    if (!is_busy) {
      co_return false;
    }
    co_await Sleep(node.io, kBusyPause);
  }
  co_return false;
}

}  // namespace celerykeel

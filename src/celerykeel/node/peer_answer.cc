#include "celerykeel/node/peer_answer.h"

#include <utility>  // for std::move

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/node/deployment_copy.h"  // for GiveDeployment
#include "celerykeel/node/endpoint_feed.h"    // for ApplyEndpointNews
#include "celerykeel/node/endpoint_speeds.h"  // for ApplySpeedNews
#include "celerykeel/node/feeds.h"            // for GetDeploymentSoon
#include "celerykeel/node/isolated_task.h"    // for SpawnIsolated
#include "celerykeel/node/node.h"             // for Node
#include "celerykeel/node/operator_feed.h"    // for ApplyOperatorNews
#include "celerykeel/node/rate_lending.h"   // for LendToPeer, ApplyLoanReports
#include "celerykeel/node/rates.h"          // for ReturnTokens
#include "celerykeel/node/slot_log.h"       // for MarkSlotLost
#include "celerykeel/node/stream_takeup.h"  // for RecordStreamBegan
#include "celerykeel/node/suspect_run.h"    // for DecideSuspectRun
#include "celerykeel/node/tunnel.h"         // for ServeTunnel
#include "celerykeel/node/turn_lookup.h"    // for LookUpHeldSlots

namespace celerykeel {

namespace {

// Clears the holder of slots that are recorded for the member but that its
// heartbeat does not list. The member was restarted or has released them.
void ClearUnlistedSlots(Node& node,
                        const std::string& instance,
                        const std::set<uint32_t>& listed) {
  for (uint32_t slot = 0; slot < node.fleet.slots.size(); ++slot) {
    if (node.fleet.slots[slot].instance == instance && !listed.contains(slot)) {
      node.fleet.slots[slot].instance.clear();
    }
  }
}

// Sends what the peer may have missed: news are sent to each peer once.
void SendEvacuations(Node& node, const std::string& instance) {
  const auto link = node.peers.links.find(instance);
  if (link == node.peers.links.end() || link->second->socket == nullptr ||
      node.endpoints.evacuations.zones.empty()) {
    return;
  }
  pb::NodeFrame frame;
  *frame.mutable_operator_news() = KnownEvacuations(node);
  SendFrame(link->second->socket, frame);
}

void OnHeartbeat(Node& node, const pb::NodeHeartbeat& heartbeat) {
  if (heartbeat.instance() == node.options.instance) {
    return;
  }
  FleetMember& member = node.fleet.members[heartbeat.instance()];
  if (member.incarnation != heartbeat.incarnation()) {
    WriteLog(node.log, LogLevel::kUnusual, "member seen",
             {{"member", heartbeat.instance()},
              {"incarnation", heartbeat.incarnation()},
              {"address", heartbeat.address()}});
  }
  member.instance = heartbeat.instance();
  member.zone = heartbeat.zone();
  member.address = heartbeat.address();
  member.incarnation = heartbeat.incarnation();
  member.leaving = heartbeat.leaving();
  member.refused = false;
  member.store_reached = heartbeat.store_reached();
  member.link_mbps = heartbeat.link_mbps();
  member.last_heartbeat_at = Now();
  std::set<uint32_t> listed;
  for (const pb::HeldSlot& held : heartbeat.slots()) {
    RecordHolder(node.fleet, held.slot(), {heartbeat.instance(), held.epoch()});
    listed.insert(held.slot());
    // The store has fenced this instance, which has not written since.
    if (const HeldSlotPtr own = ActiveSlot(node, held.slot());
        own != nullptr && own->epoch < held.epoch()) {
      MarkSlotLost(node, own, "a peer has taken it");
    }
  }
  ClearUnlistedSlots(node, heartbeat.instance(), listed);
  PeerState& state = node.peer_states[heartbeat.instance()];
  state.deployment_version = heartbeat.deployment_version();
  state.store_reached = heartbeat.store_reached();
  state.opens_tunnels = heartbeat.opens_tunnels();
  state.rate_protocol = heartbeat.rate_protocol();
  state.endpoints_read_at.reset();
  if (heartbeat.has_endpoints_age_ms()) {
    state.endpoints_read_at =
        Now() - std::chrono::milliseconds(heartbeat.endpoints_age_ms());
  }
  state.loads.clear();
  for (const pb::EndpointLoad& load : heartbeat.loads()) {
    state.loads[load.endpoint()] = load.in_flight();
  }
  state.team_loads.clear();
  for (const pb::TeamLoad& load : heartbeat.team_loads()) {
    state.team_loads[{load.service(), load.team()}] = load.in_flight();
  }
  ApplySpeedNews(node, heartbeat);
  if (heartbeat.has_evacuations_digest() &&
      heartbeat.evacuations_digest() != DigestOf(node.endpoints.evacuations)) {
    SendEvacuations(node, heartbeat.instance());
  }
  state.gives_deployment = heartbeat.gives_deployment();
  state.counts_covers = heartbeat.counts_covers();
  state.quick_append_at.reset();
  if (heartbeat.has_append_age_ms()) {
    state.quick_append_at =
        Now() - std::chrono::milliseconds(heartbeat.append_age_ms());
  }
  if (node.deployment == nullptr ||
      heartbeat.deployment_version() > node.deployment->version) {
    GetDeploymentSoon(node);
  }
}

Task<> OnAdmission(Node& node, PeerSocketPtr peer, pb::NodeFrame frame) {
  const uint64_t call = frame.call();
  std::function<void(bool)> covered = [peer, call](bool may_deliver) {
    pb::NodeFrame answer;
    answer.set_call(call);
    answer.mutable_covered();
    if (may_deliver) {
      SendFrame(peer, answer);
    }
  };
  pb::NodeFrame answer;
  answer.set_call(call);
  // GCC 12 destroys an aggregate twice if it is created inside a co_await.
  TurnRelay relay{peer->instance, peer->incarnation};
  *answer.mutable_grant() =
      co_await AdmitAsHolder(node, std::move(*frame.mutable_admission()),
                             std::move(relay), std::move(covered));
  SendFrame(peer, answer);
}

Task<> OnTurnEnd(Node& node, PeerSocketPtr peer, pb::NodeFrame frame) {
  pb::NodeFrame answer;
  answer.set_call(frame.call());
  *answer.mutable_end_done() =
      co_await EndAsHolder(node, std::move(*frame.mutable_end()));
  SendFrame(peer, answer);
}

Task<> OnLookup(Node& node, PeerSocketPtr peer, pb::NodeFrame frame) {
  pb::NodeFrame answer;
  answer.set_call(frame.call());
  *answer.mutable_found() =
      co_await LookUpHeldSlots(node, std::move(*frame.mutable_lookup()));
  SendFrame(peer, answer);
}

Task<> OnLoanRequest(Node& node, PeerSocketPtr peer, pb::NodeFrame frame) {
  pb::NodeFrame answer;
  answer.set_call(frame.call());
  *answer.mutable_rate_grant() =
      co_await LendToPeer(node, std::move(*frame.mutable_rate_wish()));
  SendFrame(peer, answer);
}

Task<> OnStoreCall(Node& node, PeerSocketPtr peer, pb::NodeFrame frame) {
  pb::StoreRelay& relay = *frame.mutable_store_call();
  const platform::StoreRequest request{
      .method = std::move(*relay.mutable_method()),
      .target = std::move(*relay.mutable_target()),
      .body = std::move(*relay.mutable_body())};
  const auto response = co_await CallStoreDirect(
      node, request, std::chrono::milliseconds(relay.timeout_ms()));
  pb::NodeFrame answer;
  answer.set_call(frame.call());
  answer.mutable_store_answer()->set_status(
      static_cast<uint32_t>(response.status));
  answer.mutable_store_answer()->set_body(response.body);
  SendFrame(peer, answer);
}

void OnFrame(Node& node,
             const PeerSocketPtr& peer,
             const pb::NodeFrame& frame) {
  pb::NodeFrame answer;
  answer.set_call(frame.call());
  switch (frame.body_case()) {
    case pb::NodeFrame::kHeartbeat:
      peer->instance = frame.heartbeat().instance();
      peer->incarnation = frame.heartbeat().incarnation();
      OnHeartbeat(node, frame.heartbeat());
      return;
    case pb::NodeFrame::kAdmission:
      SpawnIsolated(node, "admission", OnAdmission(node, peer, frame));
      return;
    case pb::NodeFrame::kEnd:
      SpawnIsolated(node, "turn end", OnTurnEnd(node, peer, frame));
      return;
    case pb::NodeFrame::kStoreCall:
      SpawnIsolated(node, "store call", OnStoreCall(node, peer, frame));
      return;
    case pb::NodeFrame::kLookup:
      SpawnIsolated(node, "look-up", OnLookup(node, peer, frame));
      return;
    case pb::NodeFrame::kRateWish:
      SpawnIsolated(node, "loan request", OnLoanRequest(node, peer, frame));
      return;
    case pb::NodeFrame::kEndpointNews:
      ApplyEndpointNews(node, frame.endpoint_news());
      return;
    case pb::NodeFrame::kOperatorNews:
      ApplyOperatorNews(node, frame.operator_news());
      return;
    case pb::NodeFrame::kLimitedCallWish:
      *answer.mutable_limited_call_grant() =
          DecideAsHome(node, frame.limited_call_wish());
      SendFrame(peer, answer);
      return;
    case pb::NodeFrame::kSuspectRunWish:
      *answer.mutable_suspect_run_grant() =
          DecideSuspectRun(node, frame.suspect_run_wish());
      SendFrame(peer, answer);
      return;
    case pb::NodeFrame::kDeploymentWish:
      *answer.mutable_deployment_piece() =
          GiveDeployment(node, frame.deployment_wish());
      SendFrame(peer, answer);
      return;
    case pb::NodeFrame::kTunnelOpen:
      peer->is_tunnel = true;
      SpawnIsolated(node, "tunnel",
                    ServeTunnel(node, peer, frame.tunnel_open()));
      return;
    case pb::NodeFrame::kStreamBegan:
      RecordStreamBegan(node, frame.stream_began());
      return;
    case pb::NodeFrame::kRateNews:
      ApplyLoanReports(node, frame.rate_news());
      return;
    case pb::NodeFrame::kProgramsBegun:
      ApplyProgramsBegun(node, frame.programs_begun());
      return;
    case pb::NodeFrame::kRateRecall:
      ReturnTokens(node, frame.rate_recall().team());
      return;
    default:
      WriteLog(node.log, LogLevel::kUnusual, "frame of an unknown kind");
  }
}

// Closes a connection that has not sent a frame within this time.
constexpr Duration kFirstFrameTimeout = std::chrono::seconds(3);
// Connections without a frame. The largest known fleet has 83 instances.
constexpr size_t kMaxUnknownPeers = 128;

// Counts a connection that has not sent a frame during its lifetime.
class UnknownPeer {
 public:
  explicit UnknownPeer(size_t& counted) : count(counted) { ++this->count; }
  ~UnknownPeer() { --this->count; }
  UnknownPeer(const UnknownPeer&) = delete;
  UnknownPeer& operator=(const UnknownPeer&) = delete;

 private:
  size_t& count;
};

Task<> ServePeer(Node& node, PeerSocketPtr peer) {
  auto unknown = std::make_shared<UnknownPeer>(node.unknown_peers);
  // GCC 12 destroys a lambda twice if it is created inside a co_await.
  std::function<void(const pb::NodeFrame&)> on_frame =
      [&node, peer,
       held = std::move(unknown)](const pb::NodeFrame& frame) mutable {
        held.reset();
        OnFrame(node, peer, frame);
      };
  co_await ReadFrames(peer, std::move(on_frame), kMaxFirstFrameBytes);
}

Task<> CloseIfUnknown(Node& node, std::weak_ptr<PeerSocket> weak) {
  co_await Sleep(node.io, kFirstFrameTimeout);
  if (const PeerSocketPtr peer = weak.lock();
      peer != nullptr && !peer->has_sent_frame) {
    ClosePeer(peer);
  }
}

}  // namespace

Task<> ServePeers(Node& node) {
  ErrorCode error;
  const Tcp::endpoint local(asio::ip::make_address(node.options.ip, error),
                            node.options.peer_port);
  Tcp::acceptor acceptor(node.io, local);
  while (true) {
    auto peer = std::make_shared<PeerSocket>(node.io);
    co_await acceptor.async_accept(peer->socket, Into(error));
    if (error) {
      constexpr Duration kPause = std::chrono::milliseconds(20);
      co_await Sleep(node.io, kPause);
      continue;
    }
    if (node.unknown_peers < kMaxUnknownPeers) {
      std::weak_ptr<PeerSocket> weak = peer;
      Spawn(node.io, CloseIfUnknown(node, std::move(weak)));
      SpawnIsolated(node, "peer", ServePeer(node, peer),
                    [peer] { ClosePeer(peer); });
    }
  }
}

}  // namespace celerykeel

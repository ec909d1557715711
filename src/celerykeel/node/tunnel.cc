#include "celerykeel/node/tunnel.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>  // for std::min
#include <array>      // for std::array
#include <cstring>    // for std::memcpy
#include <set>        // for std::set
#include <utility>    // for std::move
#include <vector>     // for std::vector

#include "celerykeel/base/clock.h"          // for Now
#include "celerykeel/core/millis.h"         // for Millis
#include "celerykeel/node/delivery.h"       // for AwaitDelivery
#include "celerykeel/node/endpoint_link.h"  // for ConnectDirectly
#include "celerykeel/node/isolated_task.h"  // for SpawnIsolated
#include "celerykeel/node/node.h"           // for Node

namespace celerykeel {

namespace {

constexpr int kMaxPeersAsked = 2;
// Covers the peer's connection to the endpoint and a round trip to the peer.
constexpr Duration kOpenTimeout = kConnectTimeout + kConnectTimeout / 2;
// The caller of a tunnel closes it at its deadline; the peer somewhat later.
constexpr Duration kLifetimeMargin = std::chrono::seconds(1);
// Two descriptors each; the smallest instance has 3,000.
constexpr uint32_t kMaxTunnels = 500;
constexpr size_t kPieceBytes = 16384;
constexpr uint32_t kMaxAnswerBytes = 4096;

std::vector<TunnelPeer> TunnelPeers(const Node& node,
                                    const std::set<std::string>& excluded,
                                    const PeerFilter& may_relay) {
  std::vector<TunnelPeer> peers;
  for (const auto& [instance, state] : node.peer_states) {
    const auto link = node.peers.links.find(instance);
    const auto member = node.fleet.members.find(instance);
    if (!state.opens_tunnels || excluded.contains(instance) ||
        (may_relay && !may_relay(instance)) || link == node.peers.links.end() ||
        link->second->socket == nullptr || member == node.fleet.members.end()) {
      continue;
    }
    const auto tunnels = node.tunnels.find(instance);
    peers.push_back(
        {.instance = instance,
         .is_in_zone = member->second.zone == node.options.zone,
         .tunnels = tunnels == node.tunnels.end() ? 0 : tunnels->second});
  }
  return peers;
}

// False for an evacuated zone, and before all evacuations were read.
bool MayReachZone(const Node& node, const std::string& zone) {
  const ZoneEvacuations& evacuations = node.endpoints.evacuations;
  return evacuations.read_at && !IsEvacuated(evacuations, zone);
}

// Reads the answer to a request for a tunnel.
Task<std::optional<pb::TunnelOpened>> ReadOpened(OutConnectionPtr connection) {
  std::array<unsigned char, kFrameLengthBytes> length{};
  ErrorCode error;
  co_await asio::async_read(connection->stream, asio::buffer(length),
                            Into(error));
  const uint32_t size = boost::endian::load_big_u32(length.data());
  if (error || size > kMaxAnswerBytes) {
    co_return std::nullopt;
  }
  std::string bytes(size, '\0');
  co_await asio::async_read(connection->stream, asio::buffer(bytes),
                            Into(error));
  pb::NodeFrame frame;
  if (error || !frame.ParseFromString(bytes) || !frame.has_tunnel_opened()) {
    co_return std::nullopt;
  }
  co_return frame.tunnel_opened();
}

// @return the peer's verdict; nothing if the peer does not answer.
Task<std::optional<pb::TunnelOpened>> AskPeer(OutConnectionPtr connection,
                                              pb::TunnelOpen open) {
  pb::NodeFrame frame;
  *frame.mutable_tunnel_open() = std::move(open);
  const std::string bytes = EncodeFrame(frame);
  connection->stream.expires_after(ToSteadyDuration(kOpenTimeout));
  ErrorCode error;
  co_await asio::async_write(connection->stream, asio::buffer(bytes),
                             Into(error));
  if (error) {
    co_return std::nullopt;
  }
  co_return co_await ReadOpened(connection);
}

// The peer's end of a tunnel.
struct RelayedTunnel {
  RelayedTunnel(Node& node, PeerSocketPtr from, OutConnectionPtr to)
      : use(node.tunnels_for_peers),
        peer(std::move(from)),
        endpoint(std::move(to)),
        limit(node.io) {}

  TunnelUse use;
  PeerSocketPtr peer;
  OutConnectionPtr endpoint;
  asio::steady_timer limit;
  bool marks_end = false;       // see TunnelOpen
  bool counts_request = false;  // see TunnelOpen
  uint64_t request_bytes = 0;   // written to the endpoint
};
using RelayedTunnelPtr = std::shared_ptr<RelayedTunnel>;

enum class Direction { kToEndpoint, kToPeer };

void StoreLength(char* bytes, size_t length) {
  const uint32_t big_endian =
      boost::endian::native_to_big(static_cast<uint32_t>(length));
  std::memcpy(bytes, &big_endian, sizeof(big_endian));
}

// @return the error of either side that ended it.
Task<ErrorCode> Copy(RelayedTunnelPtr tunnel, Direction direction) {
  const bool has_lengths = direction == Direction::kToPeer && tunnel->marks_end;
  Tcp::socket& endpoint = tunnel->endpoint->stream.socket();
  Tcp::socket& peer = tunnel->peer->socket;
  Tcp::socket& from = direction == Direction::kToEndpoint ? peer : endpoint;
  Tcp::socket& to = direction == Direction::kToEndpoint ? endpoint : peer;
  std::array<char, kFrameLengthBytes + kPieceBytes> piece{};
  char* const bytes = piece.data() + kFrameLengthBytes;
  ErrorCode error;
  while (!error) {
    const size_t count = co_await from.async_read_some(
        asio::buffer(bytes, kPieceBytes), Into(error));
    if (error) {
      break;
    }
    if (has_lengths) {
      StoreLength(piece.data(), count);
      co_await asio::async_write(
          to, asio::buffer(piece.data(), kFrameLengthBytes + count),
          Into(error));
    } else {
      tunnel->request_bytes += co_await asio::async_write(
          to, asio::buffer(bytes, count), Into(error));
    }
  }
  co_return error;
}

// The other instance must not take this end for the end of an answer.
void CloseTunnel(RelayedTunnel& tunnel) {
  tunnel.limit.cancel();
  Close(*tunnel.endpoint);
  ErrorCode ignored;  // the connection ends in any case
  tunnel.peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  ClosePeer(tunnel.peer);
}

// The other instance closes its end when it needs no more bytes: after the
// complete answer, or when its caller is gone.
Task<> CopyToEndpoint(RelayedTunnelPtr tunnel) {
  co_await Copy(tunnel, Direction::kToEndpoint);
  CloseTunnel(*tunnel);
}

// An answer may have no length and end with its connection. So a connection
// that the endpoint reset must not look like one that it closed, nor one that
// it closed before it had received the request.
Task<> CopyToPeer(asio::io_context& loop, RelayedTunnelPtr tunnel) {
  const ErrorCode end = co_await Copy(tunnel, Direction::kToPeer);
  if (end != asio::error::eof) {
    CloseTunnel(*tunnel);
    co_return;
  }
  const bool was_received =
      co_await AwaitDelivery(loop, tunnel->endpoint->stream.socket());
  if (!was_received) {
    CloseTunnel(*tunnel);
    co_return;
  }
  ErrorCode ignored;  // the connection ends in any case
  if (tunnel->marks_end) {
    std::array<char, kFrameLengthBytes + kTunnelCountBytes> mark{};
    boost::endian::store_big_u64(
        reinterpret_cast<unsigned char*>(mark.data()) + kFrameLengthBytes,
        tunnel->request_bytes);
    const size_t size =
        tunnel->counts_request ? mark.size() : kFrameLengthBytes;
    co_await asio::async_write(tunnel->peer->socket,
                               asio::buffer(mark.data(), size), Into(ignored));
  }
  tunnel->peer->socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

}  // namespace

Task<EndpointConnect> OpenTunnel(Node& node,
                                 EndpointEntry endpoint,
                                 Duration max_idle,
                                 Duration time_left,
                                 PeerFilter may_relay) {
  const Duration until = Now() + time_left;
  std::set<std::string> asked;
  EndpointConnect tunnel;
  while (asked.size() < kMaxPeersAsked && Now() < until) {
    const std::vector<TunnelPeer> peers = TunnelPeers(node, asked, may_relay);
    const TunnelPeer* chosen = ChooseTunnelPeer(
        peers, endpoint.id + std::to_string(node.tunnel_pool.opened));
    if (chosen == nullptr) {
      break;
    }
    tunnel.peer = chosen->instance;
    asked.insert(tunnel.peer);
    const std::string address = node.fleet.members.at(tunnel.peer).address;
    const auto connected =
        co_await Connect(node.io, node.tunnel_pool, address, Duration::zero(),
                         std::min(kConnectTimeout, until - Now()));
    if (!connected) {
      continue;
    }
    const OutConnectionPtr& connection = *connected;
    pb::TunnelOpen open;
    open.set_endpoint(endpoint.id);
    open.set_connect_timeout_ms(Millis(kConnectTimeout));
    open.set_max_idle_ms(Millis(max_idle));
    open.set_lifetime_ms(Millis(until - Now() + kLifetimeMargin));
    open.set_marks_end(true);
    open.set_counts_request(true);
    const auto opened = co_await AskPeer(connection, std::move(open));
    if (opened && opened->verdict() == pb::TunnelOpened::OPENED) {
      connection->stream.expires_never();
      connection->tunnel =
          std::make_shared<TunnelUse>(node.tunnels[tunnel.peer]);
      connection->tunnel_pieces.are_marked = opened->marks_end();
      connection->tunnel_pieces.mark_has_count = opened->counts_request();
      tunnel.connection = connection;
      co_return tunnel;
    }
    Close(*connection);
    if (opened && opened->verdict() == pb::TunnelOpened::ENDPOINT_FAILED) {
      tunnel.endpoint_failed = true;
      break;
    }
  }
  co_return tunnel;
}

Task<> ServeTunnel(Node& node, PeerSocketPtr peer, pb::TunnelOpen open) {
  pb::NodeFrame frame;
  pb::TunnelOpened& opened = *frame.mutable_tunnel_opened();
  opened.set_verdict(pb::TunnelOpened::REFUSED);
  opened.set_marks_end(open.marks_end());
  opened.set_counts_request(open.marks_end() && open.counts_request());
  OutConnectionPtr connection;
  // Only to endpoints of the own table: an instance is no open proxy.
  const auto found = node.endpoints.endpoints.find(open.endpoint());
  if (found != node.endpoints.endpoints.end() &&
      MayReachZone(node, found->second.entry.zone) &&
      !node.endpoint_path.is_cut_off && node.tunnels_for_peers < kMaxTunnels) {
    const std::string zone = found->second.entry.zone;
    const auto connected = co_await ConnectDirectly(
        node, found->second.entry,
        std::chrono::milliseconds(open.max_idle_ms()),
        std::chrono::milliseconds(open.connect_timeout_ms()));
    connection = connected.value_or(nullptr);
    if (connection != nullptr && !MayReachZone(node, zone)) {
      Close(*connection);
      connection = nullptr;
    } else {
      opened.set_verdict(connection != nullptr ? pb::TunnelOpened::OPENED
                         : node.endpoint_path.is_cut_off
                             ? pb::TunnelOpened::REFUSED
                             : pb::TunnelOpened::ENDPOINT_FAILED);
    }
  }
  const std::string bytes = EncodeFrame(frame);
  ErrorCode error;
  co_await asio::async_write(peer->socket, asio::buffer(bytes), Into(error));
  if (connection == nullptr || error) {
    if (connection != nullptr) {
      Close(*connection);
    }
    ClosePeer(peer);
    co_return;
  }
  connection->stream.expires_never();
  const auto tunnel =
      std::make_shared<RelayedTunnel>(node, peer, std::move(connection));
  tunnel->marks_end = open.marks_end();
  tunnel->counts_request = opened.counts_request();
  tunnel->limit.expires_after(std::chrono::milliseconds(open.lifetime_ms()));
  tunnel->limit.async_wait([tunnel](const ErrorCode& cancelled) {
    if (!cancelled) {
      CloseTunnel(*tunnel);
    }
  });
  const auto close = [tunnel] { CloseTunnel(*tunnel); };
  SpawnIsolated(node, "tunnel", CopyToEndpoint(tunnel), close);
  SpawnIsolated(node, "tunnel", CopyToPeer(node.io, tunnel), close);
}

}  // namespace celerykeel

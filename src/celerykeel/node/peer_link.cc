#include "celerykeel/node/peer_link.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <netinet/tcp.h>  // for TCP_USER_TIMEOUT

#include <algorithm>  // for std::min
#include <array>      // for std::array
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"  // for Now

namespace celerykeel {

namespace {

// Of one connection. An answer of the store is the largest frame, and the
// smallest machine has 88 MB.
constexpr size_t kMaxQueuedBytes = 24UL * 1024 * 1024;
// TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
// unacknowledged for this long.
constexpr unsigned kTcpUserTimeoutMillis = 1500;
// Shorter frames arrive at once.
constexpr size_t kLongFrameBytes = 16384;
// A frame whose bytes stop for this long is not arriving any more.
constexpr Duration kMaxFrameGap = std::chrono::milliseconds(300);

void AppendFrame(std::string& bytes, const pb::NodeFrame& frame) {
  std::array<unsigned char, kFrameLengthBytes> length{};
  boost::endian::store_big_u32(length.data(),
                               static_cast<uint32_t>(frame.ByteSizeLong()));
  bytes.append(reinterpret_cast<const char*>(length.data()), length.size());
  frame.AppendToString(&bytes);
}

void StartWrite(const PeerSocketPtr& peer) {
  if (peer->is_writing || peer->outgoing.empty() || peer->closed) {
    return;
  }
  peer->is_writing = true;
  peer->writing = std::move(peer->outgoing);
  peer->outgoing.clear();
  asio::async_write(peer->socket, asio::buffer(peer->writing),
                    [peer](const ErrorCode& error, size_t) {
                      peer->is_writing = false;
                      if (error) {
                        ClosePeer(peer);
                        return;
                      }
                      StartWrite(peer);
                    });
}

void FailPendingCalls(PeerLink& link) {
  const auto pending = std::move(link.pending);
  link.pending.clear();
  for (const auto& [call, waiting] : pending) {
    if (waiting.on_lost) {
      waiting.on_lost();
    }
  }
}

void OnAnswer(PeerLink& link, const pb::NodeFrame& frame) {
  if (const auto found = link.pending.find(frame.call());
      found != link.pending.end()) {
    // Copied, because the handler may end the call and erase the entry.
    const auto on_frame = found->second.on_frame;
    on_frame(frame);
  }
}

}  // namespace

void ClosePeer(const PeerSocketPtr& peer) {
  peer->closed = true;
  ErrorCode ignored;  // the socket is closed even on an error
  peer->socket.close(ignored);
}

std::string EncodeFrame(const pb::NodeFrame& frame) {
  std::string bytes;
  AppendFrame(bytes, frame);
  return bytes;
}

void SendFrame(const PeerSocketPtr& peer, const pb::NodeFrame& frame) {
  if (peer == nullptr || peer->closed) {
    return;
  }
  if (peer->outgoing.size() > kMaxQueuedBytes) {
    // The peer does not read; its calls fail now instead of being delayed.
    ClosePeer(peer);
    return;
  }
  AppendFrame(peer->outgoing, frame);
  if (!peer->is_writing) {
    asio::post(peer->socket.get_executor(), [peer] { StartWrite(peer); });
  }
}

Task<> ReadFrames(PeerSocketPtr peer,
                  std::function<void(const pb::NodeFrame&)> on_frame,
                  uint32_t first_limit) {
  ErrorCode error;
  setsockopt(peer->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kTcpUserTimeoutMillis, sizeof(kTcpUserTimeoutMillis));
  peer->socket.set_option(Tcp::no_delay(true), error);
  std::string bytes;
  std::array<char, 16384> piece{};
  size_t used = 0;
  while (!peer->closed && !peer->is_tunnel) {
    const size_t count =
        co_await peer->socket.async_read_some(asio::buffer(piece), Into(error));
    if (error) {
      break;
    }
    bytes.append(piece.data(), count);
    peer->received_at = Now();
    while (bytes.size() - used >= kFrameLengthBytes) {
      const uint32_t size = boost::endian::load_big_u32(
          reinterpret_cast<const unsigned char*>(bytes.data() + used));
      if (size > (peer->has_sent_frame ? kMaxFrameBytes : first_limit)) {
        ClosePeer(peer);
        co_return;
      }
      if (bytes.size() - used < kFrameLengthBytes + size) {
        break;
      }
      pb::NodeFrame frame;
      if (!frame.ParseFromArray(bytes.data() + used + kFrameLengthBytes,
                                static_cast<int>(size))) {
        ClosePeer(peer);
        co_return;
      }
      used += kFrameLengthBytes + size;
      peer->has_sent_frame = true;
      on_frame(frame);
    }
    bytes.erase(0, used);
    used = 0;
    peer->partial_bytes = bytes.size();
  }
  if (!peer->is_tunnel) {
    ClosePeer(peer);
  }
}

void SendToAll(const PeerNetwork& network, const pb::NodeFrame& frame) {
  for (const auto& [instance, link] : network.links) {
    if (link->socket != nullptr) {
      SendFrame(link->socket, frame);
    }
  }
}

bool StartCall(PeerNetwork& network,
               PeerLink& link,
               pb::NodeFrame frame,
               PendingCall pending,
               uint64_t* call) {
  if (link.socket == nullptr || link.socket->closed) {
    return false;
  }
  frame.set_call(network.next_call++);
  if (call != nullptr) {
    *call = frame.call();
  }
  link.pending[frame.call()] = std::move(pending);
  SendFrame(link.socket, frame);
  return true;
}

void EndCall(PeerLink& link, uint64_t call) {
  link.pending.erase(call);
}

PeerCallPtr BeginCall(asio::io_context& loop,
                      PeerNetwork& network,
                      const PeerLinkPtr& link,
                      pb::NodeFrame frame) {
  auto call = std::make_unique<PeerCall>(loop, link);
  // Neither callback outlives the call, whose destruction removes them.
  PeerCall* const waiting = call.get();
  const PendingCall pending{
      .on_frame =
          [waiting](const pb::NodeFrame& got) {
            waiting->answer.SetValue(got);
          },
      .on_lost = [waiting] { waiting->answer.SetValue(std::nullopt); }};
  if (!StartCall(network, *link, std::move(frame), pending, &call->id)) {
    return nullptr;
  }
  return call;
}

Task<std::optional<pb::NodeFrame>> AwaitAnswer(PeerCall& call,
                                               Duration timeout,
                                               Duration most) {
  const Duration until = Now() + most;
  auto given = co_await call.answer.Wait(timeout);
  while (!given && IsMovingLongFrame(*call.link) && Now() < until) {
    given = co_await call.answer.Wait(std::min(kMaxFrameGap, until - Now()));
  }
  co_return given ? std::move(*given) : std::nullopt;
}

// The kernel closes a connection that takes no bytes, so that sending ends.
bool IsMovingLongFrame(const PeerLink& link) {
  const PeerSocketPtr& socket = link.socket;
  if (socket == nullptr || socket->closed) {
    return false;
  }
  const bool is_sending =
      socket->is_writing && socket->writing.size() >= kLongFrameBytes;
  const bool is_receiving = socket->partial_bytes >= kLongFrameBytes &&
                            Now() < socket->received_at + kMaxFrameGap;
  return is_sending || is_receiving;
}

Task<std::optional<pb::NodeFrame>> CallPeer(asio::io_context& loop,
                                            PeerNetwork& network,
                                            PeerLinkPtr link,
                                            pb::NodeFrame frame,
                                            Duration timeout) {
  const PeerCallPtr call = BeginCall(loop, network, link, std::move(frame));
  if (call == nullptr) {
    co_return std::nullopt;
  }
  co_return co_await AwaitAnswer(*call, timeout, timeout);
}

Task<> RunLink(asio::io_context& loop,
               PeerLinkPtr link,
               Duration timeout,
               std::function<void()> on_connected) {
  const size_t colon = link->address.rfind(':');
  ErrorCode error;
  const auto ip = asio::ip::make_address(link->address.substr(0, colon), error);
  if (colon == std::string::npos || error) {
    co_return;
  }
  const auto port =
      static_cast<uint16_t>(std::atoi(link->address.substr(colon + 1).c_str()));
  const auto peer = std::make_shared<PeerSocket>(loop);
  // An unanswered dial ends when the timer closes the socket.
  const auto limit =
      std::make_shared<asio::steady_timer>(loop, ToSteadyDuration(timeout));
  limit->async_wait([peer](const ErrorCode& cancelled) {
    if (!cancelled) {
      ClosePeer(peer);
    }
  });
  co_await peer->socket.async_connect(Tcp::endpoint(ip, port), Into(error));
  limit->cancel();
  if (error || peer->closed) {
    link->refused = error == asio::error::connection_refused ||
                    error == asio::error::connection_reset;
    co_return;
  }
  link->refused = false;
  link->socket = peer;
  on_connected();
  // GCC 12 destroys a lambda twice if it is created inside a co_await.
  std::function<void(const pb::NodeFrame&)> on_frame =
      [link](const pb::NodeFrame& frame) { OnAnswer(*link, frame); };
  co_await ReadFrames(peer, std::move(on_frame));
  if (link->socket == peer) {
    link->socket = nullptr;
  }
  FailPendingCalls(*link);
}

}  // namespace celerykeel

#pragma once

#include <functional>     // for std::function
#include <map>            // for std::map
#include <memory>         // for std::shared_ptr, std::unique_ptr
#include <optional>       // for std::optional
#include <string>         // for std::string
#include <unordered_map>  // for std::unordered_map

#include "celerykeel/core/time.h"  // for Duration
#include "celerykeel/node.pb.h"    // for pb::NodeFrame
#include "celerykeel/node/asio.h"  // for Tcp

namespace celerykeel {

/// @brief One TCP connection to or from another instance. Frames are protobuf
/// messages with a length prefix.
struct PeerSocket {
  explicit PeerSocket(asio::io_context& loop) : socket(loop) {}
  explicit PeerSocket(Tcp::socket accepted) : socket(std::move(accepted)) {}

  Tcp::socket socket;
  std::string outgoing;  // frames to send after `writing`
  std::string writing;
  bool is_writing = false;
  bool closed = false;
  bool has_sent_frame = false;  // a complete frame was received
  size_t partial_bytes = 0;     // received of a frame that is not complete
  Duration received_at{};       // when the last bytes arrived
  // It carries the bytes of another connection from now on, and no frames.
  bool is_tunnel = false;
  // Sender of the heartbeats on an accepted connection; empty before the first.
  std::string instance;
  uint64_t incarnation = 0;
};
using PeerSocketPtr = std::shared_ptr<PeerSocket>;

/// @brief Callbacks of a call whose answer is pending on a link.
struct PendingCall {
  std::function<void(const pb::NodeFrame&)> on_frame;
  std::function<void()> on_lost;
};

/// @brief An outgoing link to another instance. Calls and their answers use the
/// same link.
struct PeerLink {
  std::string instance;
  std::string address;
  PeerSocketPtr socket;  // null while there is no connection
  bool dialing = false;
  bool refused = false;  // the last dial was refused or reset
  std::unordered_map<uint64_t, PendingCall> pending;
};
using PeerLinkPtr = std::shared_ptr<PeerLink>;

struct PeerNetwork {
  uint64_t next_call = 1;
  std::map<std::string, PeerLinkPtr> links;  // by instance
};

/// @brief Bytes of the length before each frame, big-endian.
inline constexpr size_t kFrameLengthBytes = 4;

/// @brief Returns the bytes of a frame, its length included.
std::string EncodeFrame(const pb::NodeFrame& frame);

/// @brief Queues a frame. Frames queued in one iteration of the event loop are
/// sent in one write.
void SendFrame(const PeerSocketPtr& socket, const pb::NodeFrame& frame);

/// @brief Queues a frame for every connected peer.
void SendToAll(const PeerNetwork& network, const pb::NodeFrame& frame);

inline constexpr uint32_t kMaxFrameBytes = 64 * 1024 * 1024;
/// @brief Max length of the first frame on an accepted connection: anything on
/// the network may connect. Instances begin with a heartbeat or a request for a
/// tunnel.
inline constexpr uint32_t kMaxFirstFrameBytes = 1024 * 1024;

/// @brief Reads frames until the connection ends or becomes a tunnel.
/// @param first_limit max bytes of the first frame.
Task<> ReadFrames(PeerSocketPtr socket,
                  std::function<void(const pb::NodeFrame&)> on_frame,
                  uint32_t first_limit = kMaxFrameBytes);

void ClosePeer(const PeerSocketPtr& socket);

/// @brief Sends a call over a link. `on_lost` runs once if the link ends before
/// EndCall.
/// @return false if the link is not connected.
bool StartCall(PeerNetwork& network,
               PeerLink& link,
               pb::NodeFrame frame,
               PendingCall pending,
               uint64_t* call = nullptr);

/// @brief Removes a pending call; further frames of it are ignored.
void EndCall(PeerLink& link, uint64_t call);

/// @brief A call to a peer that brings one frame. Its destruction ends the
/// call.
struct PeerCall {
  PeerCall(asio::io_context& loop, PeerLinkPtr over)
      : link(std::move(over)), answer(loop) {}
  ~PeerCall() { EndCall(*this->link, this->id); }
  PeerCall(const PeerCall&) = delete;
  PeerCall& operator=(const PeerCall&) = delete;

  PeerLinkPtr link;
  uint64_t id = 0;
  Promise<std::optional<pb::NodeFrame>> answer;  // nothing: the link ended
};
using PeerCallPtr = std::unique_ptr<PeerCall>;

/// @brief Sends a call over a link.
/// @return null if the link is not connected.
PeerCallPtr BeginCall(asio::io_context& loop,
                      PeerNetwork& network,
                      const PeerLinkPtr& link,
                      pb::NodeFrame frame);

/// @brief Waits for the answer for `timeout`, and longer while
/// IsMovingLongFrame, up to `most` altogether.
/// @return the frame; nothing if the link ends or brings no answer in time.
Task<std::optional<pb::NodeFrame>> AwaitAnswer(PeerCall& call,
                                               Duration timeout,
                                               Duration most);

/// @brief True while a long frame arrives on the link or is being sent. A call
/// that is repeated meanwhile only waits behind it.
bool IsMovingLongFrame(const PeerLink& link);

/// @brief Calls a peer and waits for one frame, at most for `timeout`.
/// @return the frame; nothing if the link is not connected, ends, or brings no
/// answer in time.
Task<std::optional<pb::NodeFrame>> CallPeer(asio::io_context& loop,
                                            PeerNetwork& network,
                                            PeerLinkPtr link,
                                            pb::NodeFrame frame,
                                            Duration timeout);

/// @brief Dials the link, for at most `timeout`, and reads it until it ends.
/// Its pending calls fail then. `on_connected` runs once it is connected.
Task<> RunLink(asio::io_context& loop,
               PeerLinkPtr link,
               Duration timeout,
               std::function<void()> on_connected);

}  // namespace celerykeel

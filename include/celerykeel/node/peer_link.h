#pragma once

#include <functional>     // for std::function
#include <map>            // for std::map
#include <memory>         // for std::shared_ptr
#include <string>         // for std::string
#include <unordered_map>  // for std::unordered_map

#include "celerykeel/node.pb.h"    // for pb::NodeFrame
#include "celerykeel/node/asio.h"  // for Tcp

namespace celerykeel {

/// @brief One TCP connection to or from another instance; frames are protobuf
/// with their length before them.
struct PeerSocket {
  explicit PeerSocket(asio::io_context& loop) : socket(loop) {}
  explicit PeerSocket(Tcp::socket accepted) : socket(std::move(accepted)) {}

  Tcp::socket socket;
  std::string outgoing;  // waits while `writing` is under way
  std::string writing;
  bool is_writing = false;
  bool closed = false;
};
using PeerSocketPtr = std::shared_ptr<PeerSocket>;

/// @brief Calls that wait for an answer over one link.
struct PendingCall {
  std::function<void(const pb::NodeFrame&)> on_frame;
  std::function<void()> on_lost;
};

/// @brief The link that this instance dials to another one. Calls go out on
/// it and their answers come back on it.
struct PeerLink {
  std::string instance;
  std::string address;
  PeerSocketPtr socket;  // null while there is no connection
  bool dialing = false;
  bool refused = false;  // the last dial met a closed port
  std::unordered_map<uint64_t, PendingCall> pending;
};
using PeerLinkPtr = std::shared_ptr<PeerLink>;

struct PeerNetwork {
  uint64_t next_call = 1;
  std::map<std::string, PeerLinkPtr> links;  // by instance
};

/// @brief Queues a frame; what is queued in one turn of the loop goes out in
/// one write.
void SendFrame(const PeerSocketPtr& socket, const pb::NodeFrame& frame);

/// @brief Queues a frame for every peer that there is a connection to.
void SendToAll(const PeerNetwork& network, const pb::NodeFrame& frame);

/// @brief Reads frames until the connection ends.
Task<> ReadFrames(PeerSocketPtr socket,
                  std::function<void(const pb::NodeFrame&)> on_frame);

void ClosePeer(const PeerSocketPtr& socket);

/// @brief Sends a call over a link. `on_lost` runs once if the link ends
/// before EndCall; false if there is no connection now.
bool StartCall(PeerNetwork& network,
               PeerLink& link,
               pb::NodeFrame frame,
               PendingCall pending,
               uint64_t* call = nullptr);

/// @brief No further frame of the call is awaited.
void EndCall(PeerLink& link, uint64_t call);

/// @brief Calls a peer and waits for one frame.
/// @return nothing without a connection, an answer in time, or if it ends.
Task<std::optional<pb::NodeFrame>> CallPeer(asio::io_context& loop,
                                            PeerNetwork& network,
                                            PeerLinkPtr link,
                                            pb::NodeFrame frame,
                                            Duration patience);

/// @brief Dials the link and reads it until it ends; its pending calls are
/// lost then. `on_up` runs once it is connected.
Task<> RunLink(asio::io_context& loop,
               PeerLinkPtr link,
               Duration patience,
               std::function<void()> on_up);

}  // namespace celerykeel

#pragma once

#include <cstdint>  // for uint64_t
#include <memory>   // for std::shared_ptr
#include <string>   // for std::string

#include "celerykeel/node.pb.h"         // for pb::NodeHeartbeat
#include "celerykeel/node/call_path.h"  // for Call

namespace celerykeel {

/// @brief Times one attempt at an endpoint, for the assessment of its speed.
/// An attempt that ends without a result counts only if it took too long.
class AttemptTimer {
 public:
  AttemptTimer(Node& timing_node, const Call& call, std::string endpoint_id);
  ~AttemptTimer();
  AttemptTimer(const AttemptTimer&) = delete;
  AttemptTimer& operator=(const AttemptTimer&) = delete;

  /// @brief The request is sent now.
  void Restart();
  /// @brief The first byte or event has arrived; later calls do nothing.
  void Answered();
  /// @brief The endpoint failed, before or after the beginning of its answer.
  void Failed();

 private:
  Node& node;
  std::string endpoint;
  uint64_t number = 0;
  bool answered = false;
};

/// @brief Adds this instance's samples to a heartbeat.
void AddSpeedNews(const Node& node, pb::NodeHeartbeat& beat);

/// @brief Records the samples in a peer's heartbeat.
void ApplySpeedNews(Node& node, const pb::NodeHeartbeat& beat);

/// @brief Assesses all endpoints anew, and logs which ones became slow or are
/// no longer, at most `kMaxSpeedLines` lines each second.
void AssessEndpoints(Node& node);

inline constexpr uint64_t kMaxSpeedLines = 5;

}  // namespace celerykeel

#pragma once

#include <cstddef>   // for size_t
#include <optional>  // for std::optional
#include <string>    // for std::string
#include <utility>   // for std::pair

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

struct Node;

/// @brief Counts an attempt as in flight at its endpoint during the lifetime of
/// this object.
class InFlight {
 public:
  /// @param call_team empty on open routes.
  InFlight(Node& counting_node,
           std::string endpoint_id,
           const std::string& call_service,
           const std::string& call_team);
  ~InFlight();
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

  /// @brief Counts bytes sent to the endpoint or received from it.
  void AddBytes(size_t more) {
    this->bytes += more;
    this->is_sent = true;
  }

 private:
  Node& node;
  std::string endpoint;
  Duration began_at{};
  size_t bytes = 0;
  bool is_sent = false;
  // Set if the service has a gate.
  std::optional<std::pair<std::string, std::string>> service_and_team;
};

}  // namespace celerykeel

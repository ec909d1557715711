#pragma once

#include <optional>  // for std::optional
#include <string>    // for std::string
#include <utility>   // for std::pair

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

 private:
  Node& node;
  std::string endpoint;
  // Set if the service has a gate.
  std::optional<std::pair<std::string, std::string>> service_and_team;
};

}  // namespace celerykeel

#pragma once

#include <memory>   // for std::unique_ptr
#include <variant>  // for std::variant

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/net/messenger.h"        // for MessengerError
#include "celerykeel/net/operator_server.h"  // for ListenError
#include "celerykeel/steward/options.h"      // for StewardOptions

namespace celerykeel {

using StewardError = std::variant<MessengerError, ListenError>;

/// @brief An instance's steward: the control duty and the threads round it.
class Steward {
 public:
  static tl::expected<std::unique_ptr<Steward>, StewardError> Create(
      StewardOptions options);
  ~Steward();

  /// @brief Starts to drain; HasLeft turns true at its end.
  void Drain();

  /// @brief True once the instance has left the roster.
  bool HasLeft() const;

 private:
  struct State;
  explicit Steward(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel

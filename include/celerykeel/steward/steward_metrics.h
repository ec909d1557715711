#pragma once

#include <memory>  // for std::unique_ptr

#include <prometheus/registry.h>  // for prometheus::Registry

#include "celerykeel/steward/control.h"       // for Control
#include "celerykeel/steward/log_appender.h"  // for AppenderTotals

namespace celerykeel {

/// @brief The steward's metrics, celerykeel_steward_*.
class StewardMetrics {
 public:
  static std::unique_ptr<StewardMetrics> Create(prometheus::Registry& registry);
  ~StewardMetrics();

  /// @brief Sets what is read from the control state; one thread.
  void Update(const Control& control, Duration now);

  /// @brief Sets what is read from the appenders; the same thread.
  void Update(const AppenderTotals& fleet, const AppenderTotals& journal);

  /// @brief Notes how long an append to the log took; any thread.
  void ObserveAppend(Duration took);

 private:
  struct State;
  explicit StewardMetrics(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel

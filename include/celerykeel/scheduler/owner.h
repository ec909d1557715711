#pragma once

#include <memory>  // for std::unique_ptr

#include <prometheus/registry.h>  // for prometheus::Registry
#include <tl/expected.hpp>        // for tl::expected

#include "celerykeel/net/messenger.h"                // for MessengerError
#include "celerykeel/scheduler/scheduler_options.h"  // for SchedulerOptions

namespace celerykeel {

/// @brief Acts for the programs that the instance owns: takes calls from
/// gates, runs them at endpoints in order, and keeps what they leave.
class Owner {
 public:
  static tl::expected<std::unique_ptr<Owner>, MessengerError> Create(
      const SchedulerOptions& options,
      std::shared_ptr<prometheus::Registry> registry);

  /// Ends at once; Drain first to cut no call.
  ~Owner();

  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  /// @brief True while calls can be served, from any thread.
  bool IsReady() const;

  /// @brief Takes no new programs, and finishes what runs.
  void Drain();

  /// @brief True once nothing is left to do.
  bool IsDrained() const;

 private:
  struct State;
  explicit Owner(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel

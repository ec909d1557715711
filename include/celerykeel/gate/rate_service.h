#pragma once

#include <cstdint>     // for uint64_t
#include <functional>  // for std::function
#include <memory>      // for std::unique_ptr
#include <string>      // for std::string

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/rate_gate.h"   // for RateVerdict
#include "celerykeel/net/feed_client.h"  // for FleetView
#include "celerykeel/net/messenger.h"    // for MessengerError

namespace celerykeel {

struct RateServiceOptions {
  std::string listen;  // host:port, for other gates
  std::function<FleetView()> view;
};

/// @brief Admits requests within their teams' rates over the whole fleet:
/// borrows from the homes of the teams, and lends as one.
class RateService {
 public:
  struct Counters {
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t refused_silent = 0;  // because a home did not answer
    uint64_t notes_sent = 0;
    uint64_t notes_dropped = 0;  // undecodable, or of no member
    uint64_t shares_at_home = 0;
    double tokens_borrowed = 0;
  };

  static tl::expected<std::unique_ptr<RateService>, MessengerError> Create(
      RateServiceOptions options);

  ~RateService();

  /// @brief Asks for one token of a team; waits up to kRateTimeout and a
  /// little more for its home.
  RateVerdict Admit(const std::string& team);

  /// @brief Gives back all loans and passes on all shares, for good.
  void Resign();

  Counters Count() const;

 private:
  struct State;
  explicit RateService(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel

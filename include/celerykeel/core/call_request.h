#pragma once

#include <cstdint>      // for uint64_t
#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <utility>      // for std::pair
#include <vector>       // for std::vector

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// @brief What the headers of a caller's request say.
struct CallFacts {
  std::string id;   // of this request; a repeat by the caller has another
  std::string key;  // never logged, never passed on
  std::string program;
  std::string previous_turn;
  std::string object;  // calls on the same object carry the same value
  std::string last_event;
  std::optional<uint64_t> token_budget;  // of the whole program
  uint64_t most_tokens = 0;              // that this call may generate
  std::optional<Duration> time_left;     // of the caller's patience
  // Until the whole program should be finished.
  std::optional<Duration> program_time_left;
};

/// @brief A caller's request, decoded once.
struct CallRequest {
  std::string method;
  std::string target;  // path and query
  std::string host;
  HeaderList headers;  // that may be passed on
  std::string body;
  CallFacts facts;
};

/// @brief What the system tells an endpoint about one attempt.
struct AttemptFacts {
  std::string endpoint_id;  // another endpoint at the address refuses
  std::string team;         // empty on open routes
  Duration time_left{};
  std::optional<uint32_t> urgency;  // 0 to 9, 0 is first
  std::string resume_after;         // id of the last event that was relayed
};

/// @brief What an endpoint's answer says of itself.
struct AnswerFacts {
  std::string request_id;  // that it answers
  bool sealed = false;     // an endpoint made it, nothing on the way
  bool not_run = false;    // the endpoint promises that it did not run it
  bool leaving = false;    // the endpoint takes nothing new
};

}  // namespace celerykeel

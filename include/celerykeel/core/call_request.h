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

/// @brief Values read from the headers of a caller's request.
struct CallHeaderValues {
  std::string id;   // of this request; a caller's retry has a new one
  std::string key;  // never logged, never forwarded
  std::string program;
  std::string previous_turn;
  std::string object;  // same value for calls on the same object
  std::string last_event;
  std::string resumed_call;  // id of the request that began the resumed stream
  // An id is not UTF-8, has control characters or is too long.
  bool has_invalid_id = false;
  std::optional<uint64_t> token_budget;  // of the complete program
  uint64_t most_tokens = 0;           // max tokens that this call may generate
  std::optional<Duration> time_left;  // until the caller's timeout
  // Until the target time for the end of the complete program.
  std::optional<Duration> program_time_left;
};

/// @brief A caller's decoded request.
struct CallRequest {
  std::string method;
  std::string target;  // path and query
  std::string host;
  HeaderList headers;  // that may be forwarded
  std::string body;
  CallHeaderValues header_values;
};

/// @brief Values sent to an endpoint in the headers of one attempt.
struct AttemptHeaderValues {
  std::string endpoint_id;  // any other endpoint at the address refuses
  std::string team;         // empty on open routes, which need no key
  Duration time_left{};
  std::optional<uint32_t> urgency;  // 0 to 9, 0 is the most urgent
  std::string resume_after;         // id of the last relayed event
};

/// @brief Values read from the headers of an endpoint's answer.
struct AnswerHeaderValues {
  std::string request_id;  // id of the answered request
  bool sealed = false;     // has an endpoint's seal; no intermediary made it
  bool not_run = false;  // the endpoint guarantees that it did not run the call
  bool leaving = false;  // the endpoint takes no new calls
  // Calls per second that the endpoint takes from all instances together.
  std::optional<double> rate_limit;
  bool has_unreadable_rate_limit = false;
};

}  // namespace celerykeel

#pragma once

#include <string>   // for std::string
#include <utility>  // for std::pair

#include "celerykeel/testing/node_fleet.h"  // for NodeFleet

namespace celerykeel::testing {

/// @brief Returns the headers of a turn of at most 100 tokens.
/// @param previous id of the turn that it continues; empty if none.
/// @param budget tokens of the complete program.
/// @param millis time until the caller's deadline.
inline HeaderList TurnHeaders(const std::string& id,
                              const std::string& program,
                              const std::string& previous,
                              int budget,
                              int millis = 4000) {
  HeaderList headers{{"X-Attempt-Id", id},
                     {"Authorization", "Bearer k1"},
                     {"X-Deadline-Ms", std::to_string(millis)},
                     {"X-Program-Id", program},
                     {"X-Token-Usage", "100,100"},
                     {"X-Token-Budget", std::to_string(budget)}};
  if (!previous.empty()) {
    headers.emplace_back("X-Previous-Turn", previous);
  }
  return headers;
}

/// @brief Returns the headers of a call that is not a turn.
inline HeaderList ToolHeaders(const std::string& id,
                              const std::string& key = "k1") {
  return {{"X-Attempt-Id", id},
          {"Authorization", "Bearer " + key},
          {"X-Deadline-Ms", "1000"}};
}

/// @brief Returns how often the two endpoints ran the request.
inline int RunsOfBoth(NodeFleet& fleet, const std::string& id) {
  return RunsOf(fleet.endpoints[0], id) + RunsOf(fleet.endpoints[1], id);
}

/// @brief Sends retained turns until one is refused with status 503, at
/// most 40.
/// @return the last answer and the id of its turn.
inline std::pair<CallerAnswer, std::string> SendUntilRefused(NodeFleet& fleet) {
  CallerAnswer answer;
  std::string id;
  for (int i = 0; i < 40 && answer.status != 503; ++i) {
    id = "o" + std::to_string(i);
    answer = fleet.Send(0, "POST", "/stream/kept/x",
                        TurnHeaders(id, "p", "", 99999), "in");
  }
  return {answer, id};
}

}  // namespace celerykeel::testing

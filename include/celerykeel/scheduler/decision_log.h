#pragma once

#include <cstddef>  // for size_t
#include <deque>    // for std::deque
#include <string>   // for std::string

#include "celerykeel/call.pb.h"    // for pb::Decision, pb::ExplainReport
#include "celerykeel/core/call.h"  // for CallKey

namespace celerykeel {

/// @brief The newest decisions, for operators who ask what happened.
struct DecisionLog {
  size_t kept = 10'000;
  std::deque<pb::Decision> decisions;  // oldest first
};

/// @brief A decision about a call, without alternatives.
pb::Decision DecisionOf(const CallKey& key,
                        std::string_view what,
                        std::string_view chosen,
                        std::string_view reason);

/// @brief Adds a decision; the oldest goes when there are too many.
void Add(DecisionLog& log, pb::Decision decision);

/// @brief The decisions about a program ("<id>" or "<team>/<id>", with its
/// sub-agents), a team or an endpoint, oldest first.
pb::ExplainReport Explain(const DecisionLog& log,
                          const pb::ExplainQuery& query);

}  // namespace celerykeel

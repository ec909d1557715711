#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/call.pb.h"        // for pb::CallRequest, pb::CallRefused
#include "celerykeel/core/identity.h"  // for ProgramName

namespace celerykeel {

/// @brief What a caller's headers say of the program; empty: not given.
struct ProgramHeaders {
  std::string id;
  std::string call;
  std::string parent;
  std::string budget;
  std::string history;
  std::string idempotency_key;
};

/// @brief A caller's address of a program or of one of its calls.
struct ProgramTarget {
  std::string id;
  uint32_t call = 0;  // 0: the program
};

/// @brief Reads "tokens=50000, calls=270, seconds=3600"; any part may lack.
tl::expected<pb::Budget, pb::CallRefused> ParseBudget(std::string_view text);

/// @brief True for ids of printable letters, digits and ". _ : @ - /", without
/// empty parts and without a part "calls", which GET keeps for itself.
bool IsProgramId(std::string_view id);

/// @brief Sets program, call, parent, budget and history of `request`.
/// Without Program-Id the request is a program of one call: its id comes from
/// the idempotency key, so that a repeat finds its owner, or is `fresh_id`.
/// @return nothing, or why the headers are refused.
tl::expected<void, pb::CallRefused> ReadProgramHeaders(
    const ProgramHeaders& headers,
    std::string_view team,
    std::string_view fresh_id,
    pb::CallRequest& request);

/// @brief Reads model and stream of a chat body and checks its messages.
tl::expected<void, pb::CallRefused> ReadChatBody(std::string_view body,
                                                 pb::CallRequest& request);

/// @brief Reads `<id>` or `<id>/calls/<n>`, the path after "/v1/programs/".
tl::expected<ProgramTarget, pb::CallRefused> ParseProgramTarget(
    std::string_view path);

}  // namespace celerykeel

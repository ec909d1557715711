#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/call.pb.h"    // for pb::CallRefused
#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

inline constexpr char kProblemJsonType[] = "application/problem+json";

/// @brief Builds a refusal of a request that did not run.
///
///     Refuse(pb::UNKNOWN_MODEL, "no model is named plum-7b");
pb::CallRefused Refuse(pb::RefusalType type,
                       std::string_view detail,
                       Duration retry_after = {});

/// @brief Builds a refusal of a request that was sent to its owner and may or
/// may not have run.
pb::CallRefused RefuseMaybeRun(pb::RefusalType type,
                               std::string_view detail,
                               Duration retry_after = {});

/// @brief HTTP status of a refusal.
int HttpStatus(pb::RefusalType type);

/// @brief Lower-case name of a type, as in "rate-exceeded".
std::string RefusalName(pb::RefusalType type);

/// @brief The refusal as application/problem+json.
std::string ProblemJson(const pb::CallRefused& refusal);

/// @brief Returns the value of Retry-After in seconds, rounded up; 0: none.
uint64_t RetryAfterSeconds(const pb::CallRefused& refusal);

/// @brief Renders the refusal as the last server-sent event of a stream. It has
/// the form of an OpenAI error, which standard clients raise as an exception.
std::string ProblemEvent(const pb::CallRefused& refusal);

}  // namespace celerykeel

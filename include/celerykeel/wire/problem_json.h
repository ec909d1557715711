#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/call.pb.h"    // for pb::CallRefused
#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

inline constexpr char kProblemJsonType[] = "application/problem+json";

/// @brief A refusal of something that did not run.
///
///     Refuse(pb::UNKNOWN_MODEL, "no model is named plum-7b");
pb::CallRefused Refuse(pb::RefusalType type,
                       std::string_view detail,
                       Duration retry_after = {});

/// @brief A refusal of something that left for its owner; nobody here knows
/// whether it ran.
pb::CallRefused RefuseUnknown(pb::RefusalType type,
                              std::string_view detail,
                              Duration retry_after = {});

/// @brief HTTP status of a refusal.
int HttpStatus(pb::RefusalType type);

/// @brief Lower-case name of a type, as in "rate-exceeded".
std::string RefusalName(pb::RefusalType type);

/// @brief The refusal as application/problem+json.
std::string ProblemJson(const pb::CallRefused& refusal);

/// @brief Value of Retry-After in whole seconds, rounded up; 0: none.
uint64_t RetryAfterSeconds(const pb::CallRefused& refusal);

/// @brief The refusal as the last server-sent event of a stream, in the form
/// of an OpenAI error, so that stock clients raise it.
std::string ProblemEvent(const pb::CallRefused& refusal);

}  // namespace celerykeel

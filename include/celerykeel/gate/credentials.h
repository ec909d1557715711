#pragma once

#include <optional>     // for std::optional
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/call.pb.h"           // for pb::CallRefused
#include "celerykeel/core/fleet_state.h"  // for Configuration

namespace celerykeel {

/// @brief Who a request runs for.
struct Caller {
  std::string key_id;
  std::string team;
};

/// @brief The key of "Bearer KEY"; empty for any other scheme.
std::string_view BearerKey(std::string_view authorization);

/// @brief Finds the team of a key. The error says whether the key is missing,
/// wrong or withdrawn, and never holds the key.
tl::expected<Caller, pb::CallRefused> Authenticate(
    const Configuration& in_force,
    std::string_view authorization);

/// @brief True while the key that opened a stream may go on with it.
bool KeyHolds(const Configuration& in_force, const Caller& caller);

/// @brief A path with its query, without the parameters that carry
/// credentials ("key", "api_key", "access_token", "token" and their kin).
///
///     StripCredentials("/slots?day=2&api_key=x");  // "/slots?day=2"
std::string StripCredentials(std::string_view target);

}  // namespace celerykeel

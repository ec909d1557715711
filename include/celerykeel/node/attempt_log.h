#pragma once

#include <string_view>  // for std::string_view

#include "celerykeel/node/attempts.h"        // for Attempt
#include "celerykeel/node/out_connection.h"  // for ExchangeError

namespace celerykeel {

/// @brief Returns the logged outcome of an attempt without an answer.
std::string_view OutcomeOf(ExchangeError error);

/// @brief Counts an attempt by its outcome, and logs it.
void LogAttempt(Node& node,
                const Call& call,
                const Attempt& attempt,
                std::string_view outcome);

}  // namespace celerykeel

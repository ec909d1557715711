#pragma once

#include <string>  // for std::string

#include "celerykeel/call.pb.h"  // for pb::ProgramReport

namespace celerykeel {

/// @brief What a GET of a program or of one of its calls answers.
struct ProgramAnswer {
  int status = 200;
  std::string content_type;
  std::string body;
};

/// @brief A program as JSON (calls, budget, last answer), or the recorded
/// answer of the call that was asked for, as it was given.
ProgramAnswer ToAnswer(const pb::ProgramReport& report);

}  // namespace celerykeel

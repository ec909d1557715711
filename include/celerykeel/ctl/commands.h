#pragma once

#include "celerykeel/ctl/options.h"  // for CtlOptions
#include "celerykeel/ctl/report.h"   // for Report

namespace celerykeel {

/// @brief Runs one command of celerykeelctl.
Report RunCommand(const CtlOptions& options);

}  // namespace celerykeel

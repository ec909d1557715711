#pragma once

#include "celerykeel/core/key_digest.h"  // for MintedKey
#include "celerykeel/core/ticket.h"      // for Ticket
#include "celerykeel/ctl/options.h"      // for CtlOptions
#include "celerykeel/ctl/report.h"       // for Report

namespace celerykeel {

/// @brief Makes a key for `options.team` with random bytes of the system.
MintedKey MakeKey(const CtlOptions& options);

/// @brief A ticket that gives the key.
Ticket KeyTicket(const MintedKey& minted, const CtlOptions& options);

/// @brief The key, shown this once, and what a ticket says of it.
Report ShowKey(const MintedKey& minted, const CtlOptions& options);

}  // namespace celerykeel

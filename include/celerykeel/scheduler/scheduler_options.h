#pragma once

#include <string>  // for std::string

#include "celerykeel/core/adoption.h"        // for AdoptionOptions
#include "celerykeel/core/program_ledger.h"  // for LedgerOptions
#include "celerykeel/net/settings.h"         // for SettingsReader

namespace celerykeel {

struct SchedulerOptions {
  std::string listen;            // host:port for gates and other schedulers
  std::string feed;              // host:port of the instance's steward
  std::string operator_address;  // host:port of /healthz, /readyz, /metrics
  size_t workers = 256;          // calls that run at once
  size_t waiting_calls = 4096;
  Duration queue_wait = std::chrono::seconds(10);  // for an endpoint
  Duration connect_timeout = std::chrono::seconds(2);
  Duration read_timeout = std::chrono::seconds(120);  // between two bytes
  Duration adoption_wait = std::chrono::seconds(10);  // for a former owner
  Duration drain_serve = std::chrono::seconds(2);     // programs under way
  Duration leave_wait = std::chrono::seconds(10);     // for the steward's Leave
  Duration audit_every = std::chrono::seconds(5);     // of what engines hold
  LedgerOptions ledger;
  AdoptionOptions adoption;
};

inline constexpr char kSchedulerUsage[] =
    R"(celerykeel-scheduler: runs the calls of the programs that its instance owns.

Usage:
  celerykeel-scheduler [options]

Options:
  --listen=ADDR              address for gates and other schedulers
  --feed=ADDR                address of the instance's steward
  --operator=ADDR            address of /healthz, /readyz and /metrics
  --workers=N                calls that run at once, 256
  --waiting-calls=N          calls that may wait for an endpoint, 4096
  --queue-wait-ms=N          longest wait for an endpoint, 10000
  --connect-timeout-ms=N     to an endpoint, 2000
  --read-timeout-ms=N        longest silence of an endpoint, 120000
  --predecessor-wait-ms=N    wait of a call for the one before it, 1000
  --idle-end-ms=N            a program unused for so long ends, 3600000
  --adoption-wait-ms=N       wait of a call for its former owner, 10000
  --audit-every-ms=N         between two looks at what engines hold, 5000
  --drain-serve-ms=N         goes on with programs after SIGTERM, 2000
  --leave-wait-ms=N          longest wait for the steward to leave, 10000
  --rewrite-every-ms=N       programs are journaled again, 21600000
  --help                     this text
  --version                  version and commit
)";

/// @brief Reads the settings; mistakes are left in `reader`.
SchedulerOptions ReadSchedulerOptions(SettingsReader& reader);

}  // namespace celerykeel

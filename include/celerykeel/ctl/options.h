#pragma once

#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/identity.h"  // for TicketNumber
#include "celerykeel/core/time.h"      // for Duration
#include "celerykeel/net/settings.h"   // for SettingsReader

namespace celerykeel {

enum class CtlCommand {
  kTicketCheck,
  kTicketSubmit,
  kTicketShow,
  kStatus,
  kAudit,
  kExplain,
  kKeyMake,
  kStory,
  kConfigCheck,
};

enum class ExplainKind { kProgram, kTeam, kEndpoint };

/// @brief The settings of one run of celerykeelctl.
struct CtlOptions {
  CtlCommand command = CtlCommand::kStatus;
  ExplainKind explain = ExplainKind::kProgram;
  std::string subject;  // of explain and story
  // Read by check and submit, written by key make; of config check its file.
  std::string ticket_file;
  std::string against_file;   // of config check; empty: none
  uint64_t record_bytes = 0;  // of config check: the store's largest record
  TicketNumber number = 0;    // of show and key make
  std::string feed;           // host:port; empty: check without a fleet
  std::string team;
  std::string key_id;
  std::string operator_name;
  size_t last = 0;  // audit entries
  Duration timeout{};
  bool wait = false;
  bool unchecked = false;
  bool json = false;
};

std::string_view CtlUsage();

/// @brief Reads the settings; mistakes are left in `reader`.
CtlOptions ReadCtlOptions(SettingsReader& reader);

}  // namespace celerykeel

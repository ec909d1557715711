#include "celerykeel/ctl/commands.h"

#include <algorithm>   // for std::min
#include <filesystem>  // for std::filesystem::path
#include <fstream>     // for std::ifstream, std::ofstream
#include <iostream>    // for std::cin
#include <iterator>    // for std::istreambuf_iterator
#include <optional>    // for std::optional
#include <thread>      // for std::this_thread
#include <utility>     // for std::move

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/core/ticket_check.h"  // for CheckTicket
#include "celerykeel/ctl/config_check.h"   // for CheckConfiguration
#include "celerykeel/ctl/exchange.h"       // for Exchange
#include "celerykeel/ctl/explain.h"        // for FetchMemory, ShowExplain
#include "celerykeel/ctl/fleet_access.h"   // for FetchStatus
#include "celerykeel/ctl/key_make.h"       // for MakeKey
#include "celerykeel/ctl/submit.h"         // for SubmitTicket
#include "celerykeel/ctl/views.h"          // for ShowStatus
#include "celerykeel/wire/log_story.h"     // for FindStory
#include "celerykeel/wire/ticket_json.h"   // for ParseTicketJson

namespace celerykeel {

namespace {

// A member that is frozen should not use up the whole time-out of a command.
constexpr Duration kMemberTimeout = std::chrono::milliseconds(500);

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

Report NoFile(const std::string& path) {
  return ShowFailure(kExitFailed, "no_file",
                     path + " can't be read or written; check the path");
}

Report NoSteward(const CtlOptions& options) {
  return ShowFailure(kExitFailed, "no_steward",
                     "no answer from the steward at " + options.feed +
                         "; check --feed and that it runs");
}

// One run of a command that asks the fleet.
struct Session {
  const CtlOptions& options;
  Exchange& exchange;

  std::optional<InstanceStatus> Status() const {
    return this->Status(this->options.timeout);
  }

  std::optional<InstanceStatus> Status(Duration limit) const {
    return FetchStatus(this->exchange, this->options.feed, limit);
  }

  std::vector<MemberProgress> Progress(const InstanceStatus& status) const {
    return FetchProgress(this->exchange, status, this->options.feed,
                         this->MemberTimeout());
  }

  Duration MemberTimeout() const {
    return std::min(kMemberTimeout, this->options.timeout);
  }

  Report Explain(const FleetState& state) const {
    const ExplainSubject subject{this->options.explain, this->options.subject,
                                 this->options.team};
    return ShowExplain(
        state, subject,
        FetchMemory(this->exchange, state, subject, this->MemberTimeout()));
  }

  Report Check(const Ticket& ticket) const {
    const auto status = this->Status();
    if (!status) {
      return NoSteward(this->options);
    }
    if (auto checked = CheckTicket(status->state, ticket); !checked) {
      return ShowRefused(checked.error());
    }
    return ShowChecked(ticket, /*against_fleet=*/true);
  }

  SubmitAccess Access() const {
    SubmitAccess access;
    access.status = [this](Duration limit) { return this->Status(limit); };
    access.progress = [this](const InstanceStatus& status) {
      return this->Progress(status);
    };
    access.append = [this](std::string record, Duration limit) {
      return AppendRecord(this->exchange, this->options.feed, std::move(record),
                          limit);
    };
    access.now = [] { return Now(); };
    access.pause = [](Duration pause) { std::this_thread::sleep_for(pause); };
    return access;
  }

  Report Submit(const Ticket& ticket) const {
    SubmitOptions submit;
    submit.check_first = !this->options.unchecked;
    submit.wait_for_all = this->options.wait;
    submit.timeout = this->options.timeout;
    return ShowSubmitted(ticket, SubmitTicket(ticket, submit, this->Access()));
  }

  // A file that does not parse has no number; its name stands for it.
  Report NoteUnparsed(const TicketJsonError& error) const {
    RefusedTicket note;
    note.subject =
        std::filesystem::path(this->options.ticket_file).filename().string();
    note.field = error.field;
    note.reason = RenderError(error);
    return WithNote(
        ShowRefused(error),
        NoteRefusal(std::move(note), this->Access(), this->options.timeout));
  }

  Report Show() const {
    const auto status = this->Status();
    if (!status) {
      return NoSteward(this->options);
    }
    switch (this->options.command) {
      case CtlCommand::kAudit:
        return ShowAudit(status->state, this->options.last);
      case CtlCommand::kTicketShow:
        return ShowTicket(status->state, this->options.number);
      case CtlCommand::kExplain:
        return this->Explain(status->state);
      default:
        return ShowStatus(*status, this->Progress(*status));
    }
  }
};

// Runs `command` with a session, if sockets can be made.
template <typename Command>
Report RunWithFleet(const CtlOptions& options, Command&& command) {
  auto exchange = Exchange::Create();
  if (!exchange) {
    return ShowFailure(kExitFailed, "no_sockets",
                       "no socket could be made; check the open-file limit");
  }
  return command(Session{options, **exchange});
}

Report RunSubmit(const CtlOptions& options, const std::string& text) {
  const auto ticket = ParseTicketJson(text);
  return RunWithFleet(options, [&](const Session& session) {
    return ticket ? session.Submit(*ticket)
                  : session.NoteUnparsed(ticket.error());
  });
}

Report RunCheck(const CtlOptions& options, const std::string& text) {
  const auto ticket = ParseTicketJson(text);
  if (!ticket) {
    return ShowRefused(ticket.error());
  }
  if (auto checked = CheckTicketFields(*ticket); !checked) {
    return ShowRefused(checked.error());
  }
  if (options.feed.empty()) {
    return ShowChecked(*ticket, /*against_fleet=*/false);
  }
  return RunWithFleet(
      options, [&](const Session& session) { return session.Check(*ticket); });
}

Report RunTicketFile(const CtlOptions& options) {
  const auto text = ReadFile(options.ticket_file);
  if (!text) {
    return NoFile(options.ticket_file);
  }
  return options.command == CtlCommand::kTicketSubmit
             ? RunSubmit(options, *text)
             : RunCheck(options, *text);
}

Report RunKeyMake(const CtlOptions& options) {
  const MintedKey minted = MakeKey(options);
  if (!options.ticket_file.empty()) {
    const Ticket ticket = KeyTicket(minted, options);
    if (auto checked = CheckTicketFields(ticket); !checked) {
      return ShowRefused(checked.error());
    }
    std::ofstream file(options.ticket_file);
    file << TicketToJson(ticket) << "\n";
    file.close();
    if (!file) {
      return NoFile(options.ticket_file);
    }
  }
  return ShowKey(minted, options);
}

Report RunConfigCheck(const CtlOptions& options) {
  const auto text = ReadFile(options.ticket_file);
  if (!text) {
    Report report = NoFile(options.ticket_file);
    report.exit_status = kExitUsage;
    return report;
  }
  std::optional<std::string> against;
  if (!options.against_file.empty()) {
    against = ReadFile(options.against_file);
    if (!against) {
      Report report = NoFile(options.against_file);
      report.exit_status = kExitUsage;
      return report;
    }
  }
  return CheckConfiguration(*text, against, options.record_bytes);
}

Report RunStory(const CtlOptions& options) {
  const LogStory story = FindStory(std::cin, options.subject);
  Report report;
  report.exit_status = story.steps.empty() ? kExitFailed : kExitDone;
  report.text = RenderStory(story);
  report.data["id"] = story.id;
  report.data["conclusion"] = story.conclusion;
  report.data["steps"] = nlohmann::ordered_json::array();
  for (const LogLine& line : story.steps) {
    report.data["steps"].push_back(nlohmann::ordered_json(line.fields));
  }
  return report;
}

}  // namespace

Report RunCommand(const CtlOptions& options) {
  switch (options.command) {
    case CtlCommand::kTicketCheck:
    case CtlCommand::kTicketSubmit:
      return RunTicketFile(options);
    case CtlCommand::kKeyMake:
      return RunKeyMake(options);
    case CtlCommand::kStory:
      return RunStory(options);
    case CtlCommand::kConfigCheck:
      return RunConfigCheck(options);
    default:
      return RunWithFleet(
          options, [](const Session& session) { return session.Show(); });
  }
}

}  // namespace celerykeel

#include "celerykeel/ctl/options.h"

#include <charconv>      // for std::from_chars
#include <system_error>  // for std::errc

namespace celerykeel {

namespace {

constexpr char kUsage[] =
    R"(Drives a celerykeel fleet: issues tickets and shows what is in force.

Usage:
  celerykeelctl ticket check <file> [options]
  celerykeelctl ticket submit <file> [options]
  celerykeelctl ticket show <number> [options]
  celerykeelctl status [options]
  celerykeelctl audit [options]
  celerykeelctl explain (program|team|endpoint) <id> [options]
  celerykeelctl key make [options]
  celerykeelctl story <id> [options]
  celerykeelctl config check <file> [options]
  celerykeelctl -h | --help
  celerykeelctl --version

`config check` reads a configuration of the platform before it is sent. Its exit
status is 1 with findings, and 2 if the file is no configuration.

`story` reads logs of instances on standard input and tells what became of a
request, by its id.

Options:
  --feed=ADDRESS     Feed of any steward, IP:port. `ticket check` without it
                     checks the file alone.
  --json             Output for programs.
  --timeout-ms=MS    How long to wait for the fleet; 5000 if not given.
  --wait             submit: return when every live instance has it in force.
  --unchecked        submit: leave the check to the fleet and its audit trail.
  --last=N           audit: the newest N entries; 20 if not given.
  --against=FILE     config check: say what differs from that version.
  --record-bytes=N   config check: the store's largest record; 262144 if not
                     given.
  --team=TEAM        key make: the key's team. explain program: its team.
  --id=ID            key make: the key's id; made from the team if not given.
  --number=N         key make: number of the ticket in --ticket.
  --ticket=FILE      key make: write a ticket for the key there.
  --operator=NAME    key make: who issues that ticket.
  -h --help          Show this.
  --version          Show the version and the commit.

Each option may also be set as CELERYKEEL_<OPTION>. Exit status: 0 done,
1 failed, 2 usage or settings, 3 refused, with the reason.
)";

constexpr uint64_t kDefaultTimeoutMillis = 5'000;
constexpr uint64_t kHighestTimeoutMillis = 600'000;
constexpr uint64_t kDefaultAuditEntries = 20;
constexpr uint64_t kHighestAuditEntries = 1'000;
constexpr uint64_t kDefaultRecordBytes = 262'144;
constexpr uint64_t kHighestRecordBytes = 1'000'000'000;
constexpr uint64_t kHighestNumber = (uint64_t{1} << 53) - 1;

bool HasWord(const SettingsReader& reader, std::string_view word) {
  return !reader.Argument(word).empty();
}

CtlCommand CommandOf(const SettingsReader& reader) {
  if (HasWord(reader, "ticket")) {
    return HasWord(reader, "check")    ? CtlCommand::kTicketCheck
           : HasWord(reader, "submit") ? CtlCommand::kTicketSubmit
                                       : CtlCommand::kTicketShow;
  }
  if (HasWord(reader, "config")) {
    return CtlCommand::kConfigCheck;
  }
  return HasWord(reader, "audit")     ? CtlCommand::kAudit
         : HasWord(reader, "explain") ? CtlCommand::kExplain
         : HasWord(reader, "key")     ? CtlCommand::kKeyMake
         : HasWord(reader, "story")   ? CtlCommand::kStory
                                      : CtlCommand::kStatus;
}

ExplainKind ExplainKindOf(const SettingsReader& reader) {
  return HasWord(reader, "team")       ? ExplainKind::kTeam
         : HasWord(reader, "endpoint") ? ExplainKind::kEndpoint
                                       : ExplainKind::kProgram;
}

// 0 if the text is no ticket number.
TicketNumber ParseTicketNumber(const std::string& text) {
  TicketNumber number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end ? number : 0;
}

bool NeedsFleet(CtlCommand command) {
  return command != CtlCommand::kKeyMake &&
         command != CtlCommand::kTicketCheck && command != CtlCommand::kStory &&
         command != CtlCommand::kConfigCheck;
}

}  // namespace

std::string_view CtlUsage() {
  return kUsage;
}

CtlOptions ReadCtlOptions(SettingsReader& reader) {
  CtlOptions options;
  options.command = CommandOf(reader);
  options.explain = ExplainKindOf(reader);
  options.subject = reader.Argument("<id>");
  options.json = reader.Switch("json");
  options.wait = reader.Switch("wait");
  options.unchecked = reader.Switch("unchecked");
  options.timeout = reader.Millis("timeout-ms", kDefaultTimeoutMillis, 1,
                                  kHighestTimeoutMillis);
  options.last =
      reader.Number("last", kDefaultAuditEntries, 1, kHighestAuditEntries);
  options.number = options.command == CtlCommand::kTicketShow
                       ? ParseTicketNumber(reader.Argument("<number>"))
                       : reader.Number("number", 0, 1, kHighestNumber);
  options.against_file = reader.OptionalText("against");
  options.record_bytes = reader.Number("record-bytes", kDefaultRecordBytes, 1,
                                       kHighestRecordBytes);
  options.key_id = reader.OptionalText("id");
  options.operator_name = reader.OptionalText("operator");
  options.ticket_file = options.command == CtlCommand::kKeyMake
                            ? reader.OptionalText("ticket")
                            : reader.Argument("<file>");
  options.team = options.command == CtlCommand::kKeyMake
                     ? reader.Text("team", "")
                     : reader.OptionalText("team");
  if (NeedsFleet(options.command) || !reader.OptionalText("feed").empty()) {
    options.feed = reader.Address("feed", "");
  }
  return options;
}

}  // namespace celerykeel

// Whole sessions of celerykeelctl against a state folded in memory. With
// CELERYKEEL_UPDATE_GOLDEN=1 the files under testdata/ are written anew.
#include <doctest/doctest.h>

#include <cstdlib>  // for std::getenv
#include <fstream>  // for std::ofstream
#include <memory>   // for std::unique_ptr
#include <string>   // for std::string
#include <vector>   // for std::vector

#include "celerykeel/core/fold.h"            // for Fold
#include "celerykeel/ctl/explain.h"          // for ShowExplain
#include "celerykeel/ctl/key_make.h"         // for ShowKey
#include "celerykeel/ctl/views.h"            // for ShowStatus
#include "celerykeel/testing/source_tree.h"  // for SourcePath

namespace celerykeel {
namespace {

constexpr std::string_view kTestData = "src/celerykeel/ctl/testdata";

std::string Printed(std::string_view command, const Report& report) {
  return "$ celerykeelctl " + std::string(command) + "\n" + report.text +
         "# exit status " + std::to_string(report.exit_status) + "\n" +
         report.data.dump(2) + "\n\n";
}

void CheckGolden(std::string_view name, const std::string& session) {
  const auto folder = SourcePath(kTestData);
  REQUIRE_FALSE(folder.empty());
  const auto path = folder / (std::string(name) + ".golden");
  if (std::getenv("CELERYKEEL_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << session;
  }
  CHECK(ReadWholeFile(path) == session);
}

Join JoinOf(Incarnation incarnation, std::string zone, Incarnation replaces) {
  Join join;
  join.incarnation = incarnation;
  join.instance = zone + "-1";
  join.availability_zone = std::move(zone);
  join.witnesses = {"eidfjord-1", "kinsarvik-1", "utne-1"};
  join.replaces = replaces;
  return join;
}

Ticket Demo() {
  const auto path = SourcePath("examples/tickets/demo.json");
  REQUIRE_FALSE(path.empty());
  auto ticket = ParseTicketJson(ReadWholeFile(path));
  REQUIRE(ticket.has_value());
  return *ticket;
}

MintedKey DemoKey() {
  std::array<uint8_t, kKeyRandomBytes> bytes{};
  return MintKey("coop-1", "eidfjord-coop", bytes);
}

Ticket KeyChange(TicketNumber number, bool withdrawn) {
  Ticket ticket;
  ticket.number = number;
  ticket.operator_name = "kari";
  ticket.comment = withdrawn ? "lost phone" : "new key for the coop";
  ticket.keys = {DemoKey().key};
  ticket.keys[0].withdrawn = withdrawn;
  return ticket;
}

Ticket Draining(TicketNumber number) {
  Ticket ticket;
  ticket.number = number;
  ticket.operator_name = "ola";
  ticket.endpoints = {Demo().endpoints[0]};
  ticket.endpoints[0].state = EndpointState::kLeaving;
  return ticket;
}

// A night: three instances, a key given and withdrawn, a race, an upgrade
// begun, one instance restarted and one evicted, a record that is damaged.
FleetState Night() {
  const std::vector<FleetRecord> records = {
      JoinOf(0xe1, "eidfjord", 0),
      JoinOf(0xb1, "kinsarvik", 0),
      JoinOf(0xc1, "utne", 0),
      Demo(),
      KeyChange(2, false),
      KeyChange(4, true),
      KeyChange(3, false),
      Draining(5),
      Draining(5),
      Unreadable{},
      JoinOf(0xb2, "kinsarvik", 0xb1),
      Evict{0xc1, {0xe1}, 0xe1, "no heartbeat for 4 s"},
      Evict{0xc1, {0xe1, 0xb2}, 0xe1, "no heartbeat for 4 s"},
  };
  FleetState state;
  Offset offset = 0;
  for (const FleetRecord& record : records) {
    Fold(state, ++offset, record);
  }
  return state;
}

MemberProgress ProgressOf(std::string zone, std::optional<Offset> offset) {
  MemberProgress progress;
  progress.instance = zone + "-1";
  progress.availability_zone = std::move(zone);
  progress.incarnation = 0xe1;
  progress.asked = true;
  progress.offset = offset;
  progress.log_reachable = offset.has_value();
  progress.lease_left = std::chrono::milliseconds(3500);
  return progress;
}

pb::Decision DecisionOf(int64_t at_ms, std::string chosen) {
  pb::Decision decision;
  decision.set_at_ms(at_ms);
  decision.set_team("eidfjord-coop");
  decision.set_program("trip-7");
  decision.set_call(2);
  decision.set_what("place");
  decision.set_chosen(std::move(chosen));
  decision.set_reason("holds 400 tokens of the prefix");
  pb::Alternative& other = *decision.add_alternatives();
  other.set_name("engine-1");
  other.set_cost(0.25);
  other.set_inputs("3 waiting");
  return decision;
}

pb::ProgramState ProgramOf() {
  pb::ProgramState program;
  program.mutable_budget()->set_tokens(50000);
  program.mutable_budget()->set_calls(270);
  program.set_tokens_used(1234);
  program.set_calls_used(2);
  program.add_messages(R"({"role":"user","content":"not to be shown"})");
  for (const auto state : {pb::DONE, pb::LOST}) {
    pb::CallRecord& call = *program.add_calls();
    call.set_call(static_cast<uint32_t>(program.calls_size()));
    call.mutable_program()->set_id("trip-7");
    call.set_state(state);
    call.set_status(200);
    call.set_endpoint("engine-2");
    call.set_prompt_tokens(600);
    call.set_completion_tokens(17);
    call.set_started_at_ms(1'780'000'000'000);
    call.set_finished_at_ms(1'780'000'000'420);
  }
  return program;
}

TEST_CASE("golden: audit and tickets") {
  const FleetState state = Night();
  CheckGolden("audit", Printed("audit", ShowAudit(state, 20)) +
                           Printed("audit --last=2", ShowAudit(state, 2)) +
                           Printed("ticket show 3", ShowTicket(state, 3)) +
                           Printed("ticket show 5", ShowTicket(state, 5)) +
                           Printed("ticket show 99", ShowTicket(state, 99)));
}

TEST_CASE("golden: status") {
  const InstanceStatus status{"eidfjord-1", Night(), true, {}};
  MemberProgress unasked = ProgressOf("jondal", std::nullopt);
  unasked.asked = false;
  CheckGolden(
      "status",
      Printed("status", ShowStatus(status, {ProgressOf("eidfjord", 13),
                                            ProgressOf("kinsarvik", 11),
                                            ProgressOf("utne", {}), unasked})));
}

TEST_CASE("golden: check and submit") {
  const FleetState state = Night();
  std::string session =
      Printed("ticket check new.json", ShowChecked(KeyChange(9, false), true));
  for (const char* text :
       {"{", R"({"number": 9, "teams": [{"id": "a", "ratee": 2}]})",
        R"({"number": 9, "teams": [{"id": "a", "rate": "fast"}]})"}) {
    session += Printed("ticket check bad.json",
                       ShowRefused(ParseTicketJson(text).error()));
  }
  for (const TicketNumber number : {3, 4}) {
    const auto checked = CheckTicket(state, KeyChange(number, false));
    session += Printed("ticket check old.json", ShowRefused(checked.error()));
  }
  const Ticket ticket = KeyChange(9, false);
  const SubmitAccepted accepted{
      14, false, {ProgressOf("eidfjord", 14), ProgressOf("utne", 13)}, {}};
  SubmitAccepted late = accepted;
  late.missing = {"utne-1"};
  for (const SubmitResult& result :
       {SubmitResult(SubmitAccepted{14, false, {}, {}}), SubmitResult(accepted),
        SubmitResult(late), SubmitResult(SubmitAccepted{5, true, {}, {}}),
        SubmitResult(SubmitRefused{EmptyTicket{}, 14}),
        SubmitResult(SubmitRefused{EmptyTicket{}, std::nullopt}),
        SubmitResult(SubmitRefusedByFleet{state.audit[6]}),
        SubmitResult(SubmitFailed{SubmitFault::kNoSteward, 0}),
        SubmitResult(SubmitFailed{SubmitFault::kNotAppended, 0}),
        SubmitResult(SubmitFailed{SubmitFault::kUnknown, 0}),
        SubmitResult(SubmitFailed{SubmitFault::kVerdictLate, 14})}) {
    session += Printed("ticket submit new.json", ShowSubmitted(ticket, result));
  }
  CheckGolden("submit", session);
}

TEST_CASE("golden: explain") {
  const FleetState state = Night();
  SchedulerMemory memory;
  memory.decisions = {DecisionOf(1'780'000'000'000, "engine-2"),
                      DecisionOf(1'780'000'000'420, "engine-1")};
  memory.silent = {"utne-1"};
  SchedulerMemory with_program = memory;
  with_program.owner_answered = true;
  with_program.program = ProgramOf();
  SchedulerMemory unknown;
  unknown.owner_answered = true;
  const auto show = [&](ExplainKind kind, std::string id, std::string team,
                        const SchedulerMemory& remembered) {
    return ShowExplain(state, {kind, std::move(id), std::move(team)},
                       remembered);
  };
  CheckGolden("explain",
              Printed("explain program trip-7 --team=eidfjord-coop",
                      show(ExplainKind::kProgram, "trip-7", "eidfjord-coop",
                           with_program)) +
                  Printed("explain program trip-7",
                          show(ExplainKind::kProgram, "trip-7", "", memory)) +
                  Printed("explain program trip-8 --team=eidfjord-coop",
                          show(ExplainKind::kProgram, "trip-8", "eidfjord-coop",
                               unknown)) +
                  Printed("explain team eidfjord-coop",
                          show(ExplainKind::kTeam, "eidfjord-coop", "", {})) +
                  Printed("explain endpoint engine-1",
                          show(ExplainKind::kEndpoint, "engine-1", "", {})) +
                  Printed("explain endpoint engine-9",
                          show(ExplainKind::kEndpoint, "engine-9", "", {})));
}

TEST_CASE("golden: key make") {
  CtlOptions options;
  options.team = "eidfjord-coop";
  std::string session =
      Printed("key make --team=eidfjord-coop", ShowKey(DemoKey(), options));
  options.ticket_file = "key.json";
  session += Printed("key make --team=eidfjord-coop --ticket=key.json",
                     ShowKey(DemoKey(), options));
  CheckGolden("key", session);
}

}  // namespace
}  // namespace celerykeel

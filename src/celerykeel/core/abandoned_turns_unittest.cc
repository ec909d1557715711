#include "celerykeel/core/abandoned_turns.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

using std::chrono::seconds;

const ProgramName kProgram{"orchard", "p1"};
const TurnRelay kRelay{"edge-1", 7};
constexpr uint64_t kMaxTokens = 150;
constexpr uint64_t kBudget = 320;

bool Admit(TurnLedger& ledger, const std::string& turn, Duration now) {
  return AdmitTurn(ledger,
                   {.program = kProgram,
                    .turn = turn,
                    .most_tokens = kMaxTokens,
                    .budget = kBudget,
                    .relay = kRelay},
                   now)
      .has_value();
}

std::vector<AbandonedTurn> Find(TurnLedger& ledger,
                                bool in_touch,
                                Duration now) {
  return FindAbandonedTurns(
      ledger, [in_touch](const TurnRelay&) { return in_touch; }, now);
}

// Guards against a budget that a killed instance's turn holds for good: other
// turns of the program were refused for as long as the slot kept its holder.
TEST_CASE("a turn of a lost instance stops holding its program's budget") {
  TurnLedger ledger;
  REQUIRE(Admit(ledger, "a", seconds(1)));
  SettleTurn(ledger, kProgram, "a", 80, kMaxTokens, seconds(1));
  REQUIRE(Admit(ledger, "b", seconds(1)));
  CHECK_FALSE(Admit(ledger, "c", seconds(2)));
  CHECK(Find(ledger, false, seconds(2)).empty());
  CHECK(Find(ledger, false, seconds(4)).empty());
  const auto lost = Find(ledger, false, seconds(5));
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].turn == "b");
  const auto record = AbandonTurn(ledger, lost[0]);
  REQUIRE(record.has_value());
  CHECK(record->slack_used);
  CHECK(record->spent == 80);
  CHECK_FALSE(Admit(ledger, "c", seconds(5)));
  FinishAbandonedTurn(ledger, lost[0]);
  CHECK(Admit(ledger, "c", seconds(5)));
}

// Guards against several turns that all deliver tokens which nobody counts.
TEST_CASE("a program's second abandoned turn counts with its max tokens") {
  TurnLedger ledger;
  REQUIRE(Admit(ledger, "a", seconds(1)));
  REQUIRE(Admit(ledger, "b", seconds(1)));
  REQUIRE(AbandonTurn(ledger, {kProgram, "a"}));
  CHECK_FALSE(AbandonTurn(ledger, {kProgram, "b"}));
  FinishAbandonedTurn(ledger, {kProgram, "a"});
  CHECK(ledger.programs[kProgram].running.empty());
  CHECK(ledger.programs[kProgram].spent == kMaxTokens);
  CHECK(Admit(ledger, "c", seconds(1)));
  CHECK_FALSE(Admit(ledger, "d", seconds(1)));
  // The instance reports the end after all; the turn is not counted twice.
  SettleTurn(ledger, kProgram, "b", kMaxTokens, kMaxTokens, seconds(1));
  CHECK(ledger.programs[kProgram].spent == kMaxTokens);
}

// Guards against turns that are ended while their instance only paused, and
// against ones that live instances gave up reporting.
TEST_CASE("an instance may be out of touch for a moment, not for ever") {
  TurnLedger ledger;
  REQUIRE(Admit(ledger, "a", seconds(1)));
  CHECK(Find(ledger, false, seconds(2)).empty());
  CHECK(Find(ledger, true, seconds(4)).empty());
  CHECK(Find(ledger, false, seconds(6)).empty());
  CHECK(Find(ledger, true, seconds(7)).empty());
  CHECK(Find(ledger, true, seconds(1) + kLongestTurn).size() == 1);
}

// Guards against a free part that is granted together with a slack that was
// used for an abandoned turn.
TEST_CASE("an abandoned turn takes the slack out of the free part") {
  TurnLedger ledger;
  REQUIRE(Admit(ledger, "a", seconds(1)));
  CHECK(IsCovered(ledger, ledger.programs[kProgram], true));
  REQUIRE(AbandonTurn(ledger, {kProgram, "a"}));
  FinishAbandonedTurn(ledger, {kProgram, "a"});
  REQUIRE(Admit(ledger, "b", seconds(1)));
  CHECK_FALSE(IsCovered(ledger, ledger.programs[kProgram], true));
}

}  // namespace
}  // namespace celerykeel

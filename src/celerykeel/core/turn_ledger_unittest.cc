#include "celerykeel/core/turn_ledger.h"

#include <doctest/doctest.h>

#include <algorithm>  // for std::max

namespace celerykeel {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const ProgramName kProgram{"orchard", "p1"};
constexpr uint64_t kMaxTokens = 580;
constexpr uint64_t kBudget = 1160;

TurnRequest RequestFor(const std::string& turn) {
  return {.program = kProgram,
          .turn = turn,
          .most_tokens = kMaxTokens,
          .budget = kBudget,
          .is_retained = false};
}

// Admits a turn and makes its ceiling durable, as a holder would.
bool AdmitDurably(TurnLedger& ledger,
                  const std::string& turn,
                  std::vector<SlotRecord>& log) {
  if (!AdmitTurn(ledger, RequestFor(turn), seconds(1))) {
    return false;
  }
  if (const auto record = RaiseCeiling(ledger, kProgram, true)) {
    log.emplace_back(*record);
    ApplyDurableCeiling(ledger, *record);
  }
  CHECK(IsCovered(ledger, ledger.programs[kProgram], true));
  return true;
}

TurnLedger Successor(const std::vector<SlotRecord>& log) {
  TurnLedger ledger;
  for (const SlotRecord& record : log) {
    Replay(ledger, record);
  }
  AssumeCeilingSpent(ledger, false, seconds(1));
  return ledger;
}

TEST_CASE("a turn beyond the budget is refused, and running turns count") {
  TurnLedger ledger;
  CHECK(AdmitTurn(ledger, RequestFor("a"), seconds(1)));
  CHECK(AdmitTurn(ledger, RequestFor("b"), seconds(1)));
  CHECK_FALSE(AdmitTurn(ledger, RequestFor("c"), seconds(1)));
  CHECK(AdmitTurn(ledger, RequestFor("b"), seconds(1)));  // the same turn again
  SettleTurn(ledger, kProgram, "a", 0, kMaxTokens, seconds(1));
  CHECK(AdmitTurn(ledger, RequestFor("c"), seconds(1)));
}

// Guards against a leak of reserved tokens: turns that were given up before a
// slow holder answered stayed counted, and the program was refused with a spent
// budget. Seen after a power loss of all 85 instances.
TEST_CASE("a turn whose end arrives before its admission reserves no budget") {
  TurnLedger ledger;
  SettleTurn(ledger, kProgram, "a", 0, kMaxTokens, seconds(1));
  const auto late = AdmitTurn(ledger, RequestFor("a"), seconds(1));
  REQUIRE_FALSE(late);
  CHECK(late.error() == BudgetShortfall::kEnded);
  CHECK(AdmitTurn(ledger, RequestFor("b"), seconds(1)));
  CHECK(AdmitTurn(ledger, RequestFor("c"), seconds(1)));
}

// Guards against a budget that is held for minutes: a slow admission was
// requested twice, and the second request was processed after the turn's end.
TEST_CASE("a turn that has ended is not admitted again") {
  TurnLedger ledger;
  REQUIRE(AdmitTurn(ledger, RequestFor("a"), seconds(1)));
  SettleTurn(ledger, kProgram, "a", 0, kMaxTokens, seconds(2));
  const auto again = AdmitTurn(ledger, RequestFor("a"), seconds(3));
  REQUIRE_FALSE(again);
  CHECK(again.error() == BudgetShortfall::kEnded);
  CHECK(AdmitTurn(ledger, RequestFor("b"), seconds(3)));
  CHECK(AdmitTurn(ledger, RequestFor("c"), seconds(3)));
}

// Guards against a program of many turns whose later ends are not remembered,
// and against memory for each turn that ever ended.
TEST_CASE("ends are remembered for a limited time") {
  TurnLedger ledger;
  constexpr int kTurns = 5000;
  for (int i = 0; i < kTurns; ++i) {
    SettleTurn(ledger, kProgram, "t" + std::to_string(i), 0, 0, seconds(2));
  }
  CHECK_FALSE(AdmitTurn(ledger, RequestFor("t4999"), seconds(3)));
  CHECK(ledger.ended.turns.size() < kTurns);
  Expire(ledger, 0, seconds(2) + kEndedTurnTime + seconds(1), minutes(5));
  CHECK(ledger.ended.turns.empty());
  CHECK(ledger.ended.by_time.empty());
}

TEST_CASE("a refusal distinguishes running turns from a spent budget") {
  TurnLedger ledger;
  REQUIRE(AdmitTurn(ledger, RequestFor("a"), seconds(1)));
  REQUIRE(AdmitTurn(ledger, RequestFor("b"), seconds(1)));
  const auto held = AdmitTurn(ledger, RequestFor("c"), seconds(1));
  REQUIRE_FALSE(held);
  CHECK(held.error() == BudgetShortfall::kHeld);
  SettleTurn(ledger, kProgram, "a", kMaxTokens, kMaxTokens, seconds(1));
  SettleTurn(ledger, kProgram, "b", kMaxTokens, kMaxTokens, seconds(1));
  const auto spent = AdmitTurn(ledger, RequestFor("c"), seconds(1));
  REQUIRE_FALSE(spent);
  CHECK(spent.error() == BudgetShortfall::kSpent);
}

// A ledger in which an unknown program may have run under an earlier holder and
// has no free part.
TurnLedger AfterTakeover() {
  TurnLedger ledger;
  AssumeCeilingSpent(ledger, false, seconds(1));
  return ledger;
}

TEST_CASE("no token is delivered before a durable record covers it") {
  TurnLedger ledger = AfterTakeover();
  TurnRequest request = RequestFor("a");
  request.budget = 6 * kMaxTokens;
  REQUIRE(AdmitTurn(ledger, request, seconds(1)));
  CHECK_FALSE(IsCovered(ledger, ledger.programs[kProgram], true));
  const auto record = RaiseCeiling(ledger, kProgram, true);
  REQUIRE(record.has_value());
  CHECK_FALSE(IsCovered(ledger, ledger.programs[kProgram], true));
  ApplyDurableCeiling(ledger, *record);
  CHECK(IsCovered(ledger, ledger.programs[kProgram], true));
  // The record covers three more turns, so the next one needs no new record.
  SettleTurn(ledger, kProgram, "a", 100, kMaxTokens, seconds(1));
  request.turn = "b";
  REQUIRE(AdmitTurn(ledger, request, seconds(1)));
  CHECK(IsCovered(ledger, ledger.programs[kProgram], true));
}

TEST_CASE("a new program runs in its free part without a record") {
  TurnLedger ledger;
  TurnRequest request = RequestFor("a");
  request.budget = 6 * kMaxTokens;  // a free part of two turns, plus one turn
  for (const char* turn : {"a", "b", "c"}) {
    request.turn = turn;
    REQUIRE(AdmitTurn(ledger, request, seconds(1)));
    CHECK(IsCovered(ledger, ledger.programs[kProgram], true));
  }
  request.turn = "d";
  REQUIRE(AdmitTurn(ledger, request, seconds(1)));
  CHECK_FALSE(IsCovered(ledger, ledger.programs[kProgram], true));
  CHECK(RaiseCeiling(ledger, kProgram, true));
}

TEST_CASE(
    "a program with retained turns runs its first turn without a record") {
  TurnLedger ledger;
  TurnRequest request = RequestFor("a");
  request.budget = 6 * kMaxTokens;
  request.is_retained = true;
  REQUIRE(AdmitTurn(ledger, request, seconds(1)));
  CHECK(IsCovered(ledger, ledger.programs[kProgram], true));
  request.turn = "b";
  REQUIRE(AdmitTurn(ledger, request, seconds(1)));
  CHECK_FALSE(IsCovered(ledger, ledger.programs[kProgram], true));
  // A program that starts after a takeover is charged nothing and has no slack.
  TurnLedger successor = AfterTakeover();
  REQUIRE(AdmitTurn(successor, request, seconds(2)));
  CHECK(successor.programs[kProgram].spent == 0);
  CHECK(successor.programs[kProgram].slack_used);
  CHECK_FALSE(IsCovered(successor, successor.programs[kProgram], true));
}

// A holder without contact to the store may have been replaced unnoticed.
TEST_CASE("there is no free part without a confirmation by the store") {
  TurnLedger ledger;
  REQUIRE(AdmitTurn(ledger, RequestFor("a"), seconds(1)));
  CHECK_FALSE(IsCovered(ledger, ledger.programs[kProgram], false));
  CHECK(RaiseCeiling(ledger, kProgram, false));
}

TEST_CASE("a successor counts the free part of unknown programs as spent") {
  TurnLedger ledger = AfterTakeover();
  TurnRequest request = RequestFor("a");
  request.budget = 3 * kMaxTokens;
  REQUIRE(AdmitTurn(ledger, request, seconds(2)));
  CHECK(ledger.programs[kProgram].spent == kMaxTokens);
  // Programs seen after kUnknownProgramPeriod can't have run under an earlier
  // holder.
  request.program.id = "p2";
  REQUIRE(AdmitTurn(ledger, request, seconds(1) + kUnknownProgramPeriod));
  CHECK(ledger.programs[request.program].spent == 0);
}

// Guards against an outage that follows the loss of all instances.
TEST_CASE("a cover lets programs go on after a takeover, charged once") {
  TurnLedger ledger = AfterTakeover();
  TurnRequest request = RequestFor("a");
  request.budget = 4 * kMaxTokens;
  CHECK(MayOpenCover(ledger, seconds(2)));
  OpenCover(ledger);
  REQUIRE(AdmitTurn(ledger, request, seconds(2)));
  CHECK(IsCovered(ledger, ledger.programs[kProgram], true));
  CHECK_FALSE(IsCovered(ledger, ledger.programs[kProgram], false));
  CHECK(RaiseCeiling(ledger, kProgram, true));

  TurnLedger successor;
  Replay(successor, ClaimRecord{"i", 1, ClaimCover::kOpen});
  AssumeCeilingSpent(successor, false, seconds(3));
  CHECK_FALSE(MayOpenCover(successor, seconds(3)));
  CHECK_FALSE(MayEndCover(successor, seconds(3)));
  REQUIRE(AdmitTurn(successor, request, seconds(4)));
  CHECK(successor.programs[kProgram].spent == 2 * (request.budget / 3));
  CHECK_FALSE(IsCovered(successor, successor.programs[kProgram], true));
  CHECK(MayEndCover(successor, seconds(3) + kUnknownProgramPeriod));
  CHECK(EndCover(successor).size() == 1);
}

TEST_CASE("a successor reads a program's spent tokens from a retained turn") {
  const TurnLedger ledger = Successor({TurnRecord{.program = kProgram,
                                                  .turn = "a",
                                                  .previous = "",
                                                  .base = "",
                                                  .input = "in",
                                                  .output = "out",
                                                  .ended_at = 1,
                                                  .expires_at = 100,
                                                  .spent = 500}});
  CHECK(ledger.programs.at(kProgram).spent == 500);
}

// Guards against a program that spends its budget twice after a loss of all
// machines. During a replay `used_at` is empty, and on a machine with hours of
// uptime Expire dropped such programs as unused. Found on hsl-pressedag
// trouble-1.
TEST_CASE("Expire drops no program during a replay") {
  TurnLedger ledger;
  Replay(ledger, SpendRecord{.program = kProgram,
                             .spent = kBudget,
                             .ceiling = kBudget + kMaxTokens,
                             .largest = kMaxTokens,
                             .slack_used = false});
  Expire(ledger, 0, std::chrono::hours(6), minutes(5));
  AssumeCeilingSpent(ledger, false, std::chrono::hours(6));
  CHECK_FALSE(AdmitTurn(ledger, RequestFor("a"), std::chrono::hours(6)));
}

TEST_CASE("takeovers never let a program exceed its budget plus one turn") {
  std::vector<SlotRecord> log;
  uint64_t delivered = 0;
  TurnLedger ledger;
  int turn = 0;
  for (int takeover = 0; takeover < 5; ++takeover) {
    while (AdmitDurably(ledger, std::to_string(++turn), log)) {
      delivered += kMaxTokens;  // the holder fails before it records this
      if (turn % 2 == 0) {
        break;
      }
      if (const auto record = SettleTurn(ledger, kProgram, std::to_string(turn),
                                         kMaxTokens, kMaxTokens, seconds(1))) {
        log.emplace_back(*record);
      }
    }
    ledger = Successor(log);
  }
  CHECK(delivered <= kBudget + kMaxTokens);
}

TEST_CASE("an idle program can continue after a takeover") {
  std::vector<SlotRecord> log;
  TurnLedger ledger;
  REQUIRE(AdmitDurably(ledger, "a", log));
  if (const auto record =
          SettleTurn(ledger, kProgram, "a", 100, kMaxTokens, seconds(1))) {
    log.emplace_back(*record);
  }
  TurnLedger successor = Successor(log);
  CHECK(successor.programs[kProgram].spent <= kBudget - kMaxTokens);
  CHECK(AdmitTurn(successor, RequestFor("b"), seconds(1)));
}

// Stands for an outage of nine seconds: no record becomes durable after the
// first one.
TEST_CASE("turns reserved ahead cover a program during a store outage") {
  TurnLedger ledger = AfterTakeover();
  TurnRequest request = RequestFor("a");
  request.budget = 10 * kMaxTokens;
  REQUIRE(AdmitTurn(ledger, request, seconds(1)));
  const auto record = RaiseCeiling(ledger, kProgram, true);
  REQUIRE(record.has_value());
  ApplyDurableCeiling(ledger, *record);
  for (const char* turn : {"b", "c", "d"}) {
    SettleTurn(ledger, kProgram, request.turn, kMaxTokens, kMaxTokens,
               seconds(1));
    request.turn = turn;
    REQUIRE(AdmitTurn(ledger, request, seconds(1)));
    CHECK(IsCovered(ledger, ledger.programs[kProgram], true));
  }
}

TEST_CASE("the text of a chain starts with its oldest turn") {
  TurnLedger ledger;
  Replay(ledger, TurnRecord{.program = kProgram,
                            .turn = "a",
                            .previous = "",
                            .base = "",
                            .input = "in1",
                            .output = "out1\n",
                            .ended_at = 1,
                            .expires_at = 100,
                            .spent = 0});
  Replay(ledger, TurnRecord{.program = kProgram,
                            .turn = "b",
                            .previous = "a",
                            .base = "",
                            .input = "in2",
                            .output = "out2\n",
                            .ended_at = 2,
                            .expires_at = 200,
                            .spent = 0});
  Expire(ledger, 150, seconds(1), minutes(5));
  CHECK(FindTurn(ledger, "orchard", "a") == nullptr);
  const auto turn = FindTurn(ledger, "orchard", "b");
  REQUIRE(turn != nullptr);
  CHECK(ChainText(*turn) == "in1out1\nin2out2\n");
  CHECK(turn->oldest_record == 1);
  CHECK(FindTurn(ledger, "other", "b") == nullptr);
}

constexpr WallMillis kLifetime = 70000;

TurnRecord RetainedTurn(const std::string& turn,
                        const std::string& previous,
                        WallMillis ended_at) {
  return {.program = kProgram,
          .turn = turn,
          .previous = previous,
          .base = "",
          .input = turn,
          .output = ".",
          .ended_at = ended_at,
          .expires_at = ended_at + kLifetime,
          .spent = 0};
}

// Guards against losing a turn in a replay: the turn before it had expired by
// then, and was dropped between two reads of the log.
TEST_CASE("a replay keeps turns that go on from expired ones") {
  TurnLedger ledger;
  Replay(ledger, RetainedTurn("a", "", 1000));
  ExpireReplayed(ledger, 1000);
  Replay(ledger, RetainedTurn("b", "a", 1000 + kLifetime));
  ExpireReplayed(ledger, 1000 + kLifetime);
  AssumeCeilingSpent(ledger, false, seconds(100));
  Expire(ledger, kLifetime + 2000, seconds(100), minutes(5));
  CHECK(FindTurn(ledger, "orchard", "a") == nullptr);
  const auto turn = FindTurn(ledger, "orchard", "b");
  REQUIRE(turn != nullptr);
  CHECK(ChainText(*turn) == "a.b.");
}

// Guards against a replay that keeps each turn of a long log in memory.
TEST_CASE("a replay drops turns from which no later record can go on") {
  TurnLedger ledger;
  for (int i = 0; i < 1000; ++i) {
    const WallMillis ended_at = i * WallMillis{1000};
    Replay(ledger, RetainedTurn("t" + std::to_string(i), "", ended_at));
    ExpireReplayed(ledger, ended_at);
    CHECK(ledger.turns.size() <= 82);
  }
}

// Guards against losing a turn that ends after the one before it has expired.
TEST_CASE("a turn under way keeps the chain that it goes on from") {
  TurnLedger ledger;
  Replay(ledger, RetainedTurn("a", "", 1000));
  HoldChain(ledger, "orchard", "b", "a", seconds(60));
  Expire(ledger, kLifetime + 2000, seconds(72), minutes(5));
  CHECK(FindTurn(ledger, "orchard", "a") == nullptr);
  const auto previous = FindPrevious(ledger, "orchard", "b", "a");
  REQUIRE(previous != nullptr);
  CHECK(ChainText(*previous) == "a.");
  Replay(ledger, RetainedTurn("b", "a", kLifetime + 3000));
  ReleaseChain(ledger, "orchard", "b");
  CHECK(ledger.continued.empty());
  const auto turn = FindTurn(ledger, "orchard", "b");
  REQUIRE(turn != nullptr);
  CHECK(ChainText(*turn) == "a.b.");
  SUBCASE("at most for a while") {
    HoldChain(ledger, "orchard", "c", "b", seconds(80));
    Expire(ledger, kLifetime + 4000, seconds(80) + minutes(6), minutes(5));
    CHECK(ledger.continued.empty());
  }
}

}  // namespace
}  // namespace celerykeel

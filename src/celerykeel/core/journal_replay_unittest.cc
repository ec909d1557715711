#include "celerykeel/core/journal_replay.h"

#include <doctest/doctest.h>

#include "celerykeel/core/ledger_fixture.h"  // for LedgerFixture

namespace celerykeel {
namespace {

const ProgramName kTrip{"coop", "trip"};

ReplayedFamilies ReplayAll(const std::vector<JournalRecord>& journal) {
  ReplayedFamilies images;
  for (const JournalRecord& record : journal) {
    Replay(images, record);
  }
  return images;
}

// Returns a ledger of another process that has taken over the program from
// `journal`.
LedgerFixture Successor(const std::vector<JournalRecord>& journal) {
  LedgerFixture next;
  for (auto& [root, family] : ReplayAll(journal)) {
    next.Take(AdoptFamily(next.ledger, std::move(family), next.moment));
  }
  return next;
}

LedgerFixture WithOneCall() {
  LedgerFixture fixture;
  fixture.budget.tokens = 1000;
  fixture.Submit(1, 1, "hello");
  fixture.Answer(fixture.Start(1), "hi",
                 {.prompt = 10, .completion = 5, .cached = 0});
  fixture.Append(AppendVerdict::kAppended);
  return fixture;
}

TEST_CASE(
    "a successor continues with the history, the budget and the answers") {
  LedgerFixture next = Successor(WithOneCall().journal);
  CHECK(next.ledger.families.at(kTrip).tokens_used == 15);
  CHECK(next.ledger.families.at(kTrip).budget.tokens == 1000);
  next.Submit(1, 1, "hello");
  REQUIRE(next.Answered(1) != nullptr);
  CHECK(next.Answered(1)->replayed);
  next.Submit(2, 2, "more");
  CHECK(next.Start(2).messages ==
        std::vector<std::string>{"hello", "hi", "more"});
}

TEST_CASE("records that were appended twice are applied once") {
  LedgerFixture fixture = WithOneCall();
  std::vector<JournalRecord> doubled = fixture.journal;
  doubled.insert(doubled.end(), fixture.journal.begin(), fixture.journal.end());
  const ReplayedFamilies images = ReplayAll(doubled);
  CHECK(images.at(kTrip).tokens_used == 15);
  CHECK(images.at(kTrip).programs.at("trip").messages.size() == 2);
}

TEST_CASE("a call with an intent but no outcome is lost and never sent again") {
  LedgerFixture fixture;
  fixture.SubmitService(1, 1, /*idempotent=*/false);
  fixture.Place(1);
  fixture.Append(AppendVerdict::kAppended);
  LedgerFixture next = Successor(fixture.journal);
  next.SubmitService(1, 1, /*idempotent=*/false);
  CHECK(next.dispatched.empty());
  REQUIRE(next.Refused(1) != nullptr);
  CHECK(next.Refused(1)->type == RefusalType::kOutcomeUnknown);
}

TEST_CASE(
    "the number of a call that did not run after its intent can be reused") {
  LedgerFixture fixture;
  fixture.ledger.options.attempts = 1;
  fixture.SubmitService(1, 1, /*idempotent=*/false);
  fixture.Place(1);
  fixture.Append(AppendVerdict::kAppended);
  fixture.Fail(fixture.dispatched.back(), AttemptResult::Kind::kNotRun);
  fixture.Append(AppendVerdict::kAppended);
  LedgerFixture next = Successor(fixture.journal);
  next.SubmitService(1, 1, /*idempotent=*/false);
  CHECK(next.IsQueued(1));
}

TEST_CASE("a program can be restored from the successor's journal alone") {
  LedgerFixture next = Successor(WithOneCall().journal);
  next.Append(AppendVerdict::kAppended);
  LedgerFixture third = Successor(next.journal);
  third.Submit(1, 2, "more");
  CHECK(third.Start(2).messages ==
        std::vector<std::string>{"hello", "hi", "more"});
  CHECK(third.ledger.families.at(kTrip).tokens_used == 15);
}

TEST_CASE("merging two journals keeps the newer state of a family") {
  LedgerFixture first = WithOneCall();
  LedgerFixture next = Successor(first.journal);
  next.Append(AppendVerdict::kAppended);
  next.Submit(1, 2, "more");
  next.Answer(next.Start(2), "done");
  next.Append(AppendVerdict::kAppended);
  ReplayedFamilies images = ReplayAll(next.journal);
  Merge(images, ReplayAll(first.journal));
  CHECK(images.at(kTrip).programs.at("trip").next_call == 3);
}

TEST_CASE("a history with a gap is not continued") {
  LedgerFixture fixture = WithOneCall();
  fixture.Submit(2, 2, "more");
  fixture.Answer(fixture.Start(2), "done");
  fixture.Append(AppendVerdict::kAppended);
  fixture.journal.erase(fixture.journal.begin());  // expired
  LedgerFixture next = Successor(fixture.journal);
  next.Submit(1, 3, "and more");
  REQUIRE(next.Refused(1) != nullptr);
  CHECK(next.Refused(1)->type == RefusalType::kProgramEnded);
}

TEST_CASE("a rewritten family is restored after its old records expired") {
  LedgerFixture fixture = WithOneCall();
  fixture.ledger.options.program_idle_timeout = std::chrono::hours(100);
  const size_t old = fixture.journal.size();
  fixture.Advance(std::chrono::hours(7));
  fixture.Append(AppendVerdict::kAppended);
  fixture.journal.erase(
      fixture.journal.begin(),
      fixture.journal.begin() + static_cast<std::ptrdiff_t>(old));
  LedgerFixture next = Successor(fixture.journal);
  next.Submit(1, 2, "more");
  CHECK(next.Start(2).messages ==
        std::vector<std::string>{"hello", "hi", "more"});
}

TEST_CASE(
    "when a family moves, waiting calls are refused and sent calls complete") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  const DispatchCall first = fixture.Start(1);
  fixture.Submit(2, 2, "more");
  fixture.Take(RefusePendingCalls(fixture.ledger, kTrip, fixture.moment));
  REQUIRE(fixture.Refused(2) != nullptr);
  CHECK(fixture.Refused(2)->type == RefusalType::kNotOwner);
  CHECK(IsBusy(fixture.ledger.families.at(kTrip)));
  fixture.Answer(first, "hi");
  fixture.Append(AppendVerdict::kAppended);
  CHECK(fixture.Answered(1) != nullptr);
  CHECK_FALSE(IsBusy(fixture.ledger.families.at(kTrip)));
}

}  // namespace
}  // namespace celerykeel

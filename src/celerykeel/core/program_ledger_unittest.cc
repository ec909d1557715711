#include "celerykeel/core/program_ledger.h"

#include <doctest/doctest.h>

#include "celerykeel/core/ledger_fixture.h"  // for LedgerFixture

namespace celerykeel {
namespace {

TEST_CASE("a call runs with the history and its answer extends it") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  const DispatchCall first = fixture.Start(1);
  CHECK(first.messages == std::vector<std::string>{"hello"});
  fixture.Answer(first, "hi");
  fixture.Append(AppendVerdict::kAppended);
  REQUIRE(fixture.Answered(1) != nullptr);
  fixture.Submit(2, 2, "more");
  const DispatchCall second = fixture.Start(2);
  CHECK(second.messages == std::vector<std::string>{"hello", "hi", "more"});
}

TEST_CASE("an answer is delivered only after its record is in the log") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  fixture.Answer(fixture.Start(1), "hi");
  CHECK(fixture.Answered(1) == nullptr);
  fixture.Append(AppendVerdict::kAppended);
  REQUIRE(fixture.Answered(1) != nullptr);
  CHECK(fixture.Answered(1)->durable);
}

TEST_CASE("a call that arrives before its predecessor waits, then runs") {
  LedgerFixture fixture;
  fixture.Submit(2, 2, "second");
  CHECK_FALSE(fixture.IsQueued(2));
  fixture.Submit(1, 1, "first");
  fixture.Answer(fixture.Start(1), "one");
  fixture.Append(AppendVerdict::kAppended);
  CHECK(fixture.Start(2).messages ==
        std::vector<std::string>{"first", "one", "second"});
}

TEST_CASE(
    "a call whose predecessor does not arrive is refused with the expected "
    "number") {
  LedgerFixture fixture;
  fixture.Submit(3, 3, "third");
  fixture.Advance(std::chrono::seconds(2));
  REQUIRE(fixture.Refused(3) != nullptr);
  CHECK(*fixture.Refused(3) ==
        Refusal{.type = RefusalType::kCallOutOfOrder, .expected_call = 1});
  CHECK(fixture.ledger.families.empty());
}

TEST_CASE("a call too far ahead is refused immediately") {
  LedgerFixture fixture;
  fixture.Submit(1, 100, "far");
  REQUIRE(fixture.Refused(1) != nullptr);
  CHECK(fixture.Refused(1)->type == RefusalType::kCallOutOfOrder);
}

TEST_CASE("a repeated call joins the call in progress or gets its answer") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  fixture.Submit(2, 1, "hello");
  fixture.Answer(fixture.Start(1), "hi");
  fixture.Append(AppendVerdict::kAppended);
  fixture.Submit(3, 1, "hello");
  for (const Waiter waiter : {1, 2, 3}) {
    REQUIRE(fixture.Answered(waiter) != nullptr);
    CHECK(fixture.Answered(waiter)->record->answer == "hi");
  }
  CHECK(fixture.dispatched.size() == 1);
}

TEST_CASE("a repeated call number with different content is refused") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  fixture.Submit(2, 1, "other");
  REQUIRE(fixture.Refused(2) != nullptr);
  CHECK(fixture.Refused(2)->type == RefusalType::kCallContradicts);
}

TEST_CASE("a complete history must extend the stored one") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  fixture.Answer(fixture.Start(1), "hi");
  fixture.Append(AppendVerdict::kAppended);
  fixture.SubmitCompleteHistory(2, 2, {"hello", "something else", "more"});
  REQUIRE(fixture.Refused(2) != nullptr);
  CHECK(fixture.Refused(2)->type == RefusalType::kHistoryContradicts);
  fixture.SubmitCompleteHistory(3, 2, {"hello", "hi", "more"});
  CHECK(fixture.Start(2).messages ==
        std::vector<std::string>{"hello", "hi", "more"});
}

TEST_CASE("an intent is in the log before the call is sent") {
  LedgerFixture fixture;
  fixture.SubmitService(1, 1, /*idempotent=*/false);
  fixture.Place(1);
  CHECK(fixture.dispatched.empty());
  fixture.Append(AppendVerdict::kAppended);
  CHECK(fixture.dispatched.size() == 1);
}

TEST_CASE(
    "a call that is not idempotent is not sent while the log is unavailable") {
  LedgerFixture fixture;
  fixture.SubmitService(1, 1, /*idempotent=*/false);
  SUBCASE("the log is known to be down") {
    fixture.moment.log_reachable = false;
    fixture.Place(1);
  }
  SUBCASE("the append was refused") {
    fixture.Place(1);
    fixture.Append(AppendVerdict::kNotAppended);
  }
  SUBCASE("the answer to the append was lost") {
    fixture.Place(1);
    fixture.Append(AppendVerdict::kUncertain);
  }
  CHECK(fixture.dispatched.empty());
  REQUIRE(fixture.Refused(1) != nullptr);
  CHECK(fixture.Refused(1)->type == RefusalType::kLogUnavailable);
  CHECK(fixture.Refused(1)->ran == Ran::kNo);
}

TEST_CASE(
    "a call with a lost outcome is reported as unknown and never sent again") {
  LedgerFixture fixture;
  fixture.SubmitService(1, 1, /*idempotent=*/false);
  fixture.Place(1);
  fixture.Append(AppendVerdict::kAppended);
  fixture.Fail(fixture.dispatched.back(), AttemptResult::Kind::kUnknown);
  fixture.Append(AppendVerdict::kAppended);
  fixture.SubmitService(2, 1, /*idempotent=*/false);
  for (const Waiter waiter : {1, 2}) {
    REQUIRE(fixture.Refused(waiter) != nullptr);
    CHECK(fixture.Refused(waiter)->type == RefusalType::kOutcomeUnknown);
    CHECK(fixture.Refused(waiter)->ran == Ran::kUnknown);
  }
  CHECK(fixture.dispatched.size() == 1);
}

TEST_CASE("a call that provably did not run goes to another endpoint") {
  LedgerFixture fixture;
  fixture.SubmitService(1, 1, /*idempotent=*/false);
  fixture.Place(1);
  fixture.Append(AppendVerdict::kAppended);
  fixture.Fail(fixture.dispatched.back(), AttemptResult::Kind::kNotRun);
  REQUIRE(fixture.IsQueued(1));
  CHECK(fixture.queued.at(1).avoid == std::vector<std::string>{"engine-1"});
  fixture.Place(1);
  CHECK(fixture.dispatched.size() == 2);
}

TEST_CASE("the late result of an earlier attempt is dropped") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  const DispatchCall first = fixture.Start(1);
  fixture.Fail(first, AttemptResult::Kind::kUnknown);
  const DispatchCall second = fixture.Start(1);
  fixture.Answer(first, "crossed");
  fixture.Answer(second, "right");
  fixture.Append(AppendVerdict::kAppended);
  REQUIRE(fixture.Answered(1) != nullptr);
  CHECK(fixture.Answered(1)->record->answer == "right");
}

TEST_CASE(
    "an aborted stream is retried only when the caller repeats the call") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  AttemptResult broken = MakeAttemptResult(AttemptResult::Kind::kUnknown);
  broken.relayed = true;
  fixture.Finish(fixture.Start(1), broken);
  REQUIRE(fixture.Refused(1) != nullptr);
  CHECK(fixture.Refused(1)->ran == Ran::kYes);
  fixture.Submit(2, 1, "hello");
  CHECK(fixture.Start(1).messages == std::vector<std::string>{"hello"});
}

TEST_CASE("a call that an engine may have run is never reported as not run") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  fixture.Fail(fixture.Start(1), AttemptResult::Kind::kUnknown);
  REQUIRE(fixture.IsQueued(1));
  SUBCASE("no endpoint is available") {
    fixture.Take(RefuseQueued(fixture.ledger, fixture.queued.at(1).key,
                              {.type = RefusalType::kNoEndpoint},
                              fixture.moment));
  }
  SUBCASE("the lease is lost") {
    fixture.moment.has_lease = false;
    fixture.Place(1);
  }
  SUBCASE("the program moves") {
    fixture.Take(
        RefusePendingCalls(fixture.ledger, {"coop", "trip"}, fixture.moment));
  }
  SUBCASE("the next attempt cannot connect") {
    fixture.ledger.options.attempts = 2;
    fixture.Fail(fixture.Start(1), AttemptResult::Kind::kNotRun);
  }
  REQUIRE(fixture.Refused(1) != nullptr);
  CHECK(fixture.Refused(1)->ran == Ran::kUnknown);
}

TEST_CASE("without the lease no call is sent and no answer delivered") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  SUBCASE("before the dispatch") {
    fixture.moment.has_lease = false;
    fixture.Place(1);
    CHECK(fixture.dispatched.empty());
    REQUIRE(fixture.Refused(1) != nullptr);
    CHECK(fixture.Refused(1)->ran == Ran::kNo);
  }
  SUBCASE("before the answer") {
    fixture.Answer(fixture.Start(1), "hi");
    fixture.moment.has_lease = false;
    fixture.Append(AppendVerdict::kAppended);
    CHECK(fixture.Answered(1) == nullptr);
    CHECK(fixture.Refused(1) == nullptr);
    SUBCASE("and it is not renewed") {
      fixture.Advance(fixture.ledger.options.lease_renewal_timeout);
      CHECK(fixture.Answered(1) == nullptr);
      REQUIRE(fixture.Refused(1) != nullptr);
      CHECK(fixture.Refused(1)->ran == Ran::kYes);
    }
    SUBCASE("and the slot moves") {
      fixture.Take(
          RefusePendingCalls(fixture.ledger, {"coop", "trip"}, fixture.moment));
      REQUIRE(fixture.Refused(1) != nullptr);
      CHECK(fixture.Refused(1)->ran == Ran::kYes);
    }
    SUBCASE("and it is renewed in time") {
      fixture.moment.has_lease = true;
      fixture.Advance(std::chrono::milliseconds(50));
      CHECK(fixture.Answered(1) != nullptr);
    }
  }
}

TEST_CASE("parallel sub-agents share the budget of their root") {
  LedgerFixture fixture;
  fixture.budget = {.tokens = 100, .calls = 0, .seconds = 0};
  fixture.max_tokens = 60;
  fixture.program = "trip/a";
  fixture.Submit(1, 1, "hello");
  fixture.program = "trip/b";
  fixture.Submit(2, 1, "hello");
  const DispatchCall first = fixture.StartOf("trip/a", 1);
  CHECK_FALSE(fixture.IsQueued(1));  // waits until the other reservation ends
  fixture.Answer(first, "hi", {.prompt = 10, .completion = 60, .cached = 0});
  fixture.Append(AppendVerdict::kAppended);
  const DispatchCall second = fixture.StartOf("trip/b", 1);
  CHECK(second.max_tokens == 30 - EstimateTokens("hello"));
}

TEST_CASE("an exhausted budget of calls or seconds refuses further calls") {
  LedgerFixture fixture;
  SUBCASE("calls") {
    fixture.budget.calls = 1;
  }
  SUBCASE("seconds") {
    fixture.budget.seconds = 10;
  }
  fixture.Submit(1, 1, "hello");
  fixture.Answer(fixture.Start(1), "hi");
  fixture.Append(AppendVerdict::kAppended);
  fixture.moment.wall += 10'000;
  fixture.Submit(2, 2, "more");
  REQUIRE(fixture.Refused(2) != nullptr);
  CHECK(fixture.Refused(2)->type == RefusalType::kBudgetExhausted);
  CHECK(fixture.released.size() == 1);
}

TEST_CASE("an ended program releases its cache and keeps its answers") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  fixture.Answer(fixture.Start(1), "hi");
  fixture.Append(AppendVerdict::kAppended);
  fixture.End();
  CHECK(fixture.released.size() == 1);
  fixture.Submit(2, 1, "hello");
  CHECK(fixture.Answered(2) != nullptr);
  fixture.Submit(3, 2, "more");
  REQUIRE(fixture.Refused(3) != nullptr);
  CHECK(fixture.Refused(3)->type == RefusalType::kProgramEnded);
}

TEST_CASE("an answer during a log outage is marked as not durable") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  const DispatchCall first = fixture.Start(1);
  fixture.moment.log_reachable = false;
  fixture.Answer(first, "hi");
  REQUIRE(fixture.Answered(1) != nullptr);
  CHECK_FALSE(fixture.Answered(1)->durable);
  fixture.moment.log_reachable = true;
  fixture.Advance(std::chrono::milliseconds(100));
  CHECK(fixture.in_flight.size() == 1);
}

TEST_CASE("an unused program ends and is removed") {
  LedgerFixture fixture;
  fixture.Submit(1, 1, "hello");
  fixture.Answer(fixture.Start(1), "hi");
  fixture.Append(AppendVerdict::kAppended);
  fixture.Advance(std::chrono::hours(2));
  CHECK(fixture.released.size() == 1);
  fixture.Append(AppendVerdict::kAppended);
  fixture.Advance(std::chrono::hours(2));
  CHECK(fixture.ledger.families.empty());
}

}  // namespace
}  // namespace celerykeel

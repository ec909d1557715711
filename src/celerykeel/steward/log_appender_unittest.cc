#include "celerykeel/steward/log_appender.h"

#include <doctest/doctest.h>

#include "celerykeel/net/bounded_ring.h"  // for BoundedRing
#include "celerykeel/testing/fake_log.h"  // for FakeLog

namespace celerykeel {
namespace {

constexpr Duration kPatience = std::chrono::seconds(20);
constexpr char kStream[] = "journal-1";

struct Fixture {
  Fixture() {
    LogAppenderOptions options;
    options.log.address = this->log.Address();
    options.wait = std::chrono::milliseconds(200);
    this->appender = LogAppender::Create(options);
  }

  void Append(std::vector<std::string> payloads) {
    this->appender->Append(
        {kStream,
         std::move(payloads),
         [this](const AppendResult& result) { this->results.Push(result); },
         {}});
  }

  AppendResult Next() {
    const auto result = this->results.Pop(kPatience);
    REQUIRE(result.has_value());
    return *result;
  }

  FakeLog log;
  BoundedRing<AppendResult> results{100};
  std::unique_ptr<LogAppender> appender;
};

TEST_CASE("what waits while an append is in flight goes into the next one") {
  Fixture fixture;
  fixture.log.append_delay_ms = 100;
  for (int i = 0; i < 20; ++i) {
    fixture.Append({"record-" + std::to_string(i), "more"});
  }
  for (int i = 0; i < 20; ++i) {
    const AppendResult result = fixture.Next();
    CHECK(result.outcome == AppendOutcome::kAppended);
    CHECK(result.first_offset == static_cast<Offset>(2 * i) + 1);
  }
  CHECK(fixture.log.append_requests <= 3);
  CHECK(fixture.log.Records(kStream).size() == 40);
}

TEST_CASE("while the log is down appends wait, then are certainly not there") {
  Fixture fixture;
  fixture.log.down = true;
  fixture.Append({"a"});
  const AppendResult result = fixture.Next();
  CHECK(result.outcome == AppendOutcome::kNotAppended);
  CHECK(result.retry_after > Duration{});
  fixture.log.down = false;
  fixture.Append({"b"});
  CHECK(fixture.Next().outcome == AppendOutcome::kAppended);
  CHECK(fixture.log.Records(kStream) == std::vector<std::string>{"b"});
}

TEST_CASE("an append whose answer was lost is found in the stream") {
  Fixture fixture;
  fixture.Append({"a"});
  CHECK(fixture.Next().first_offset == 1);
  fixture.log.lose_answers = 1;
  fixture.Append({"a", "b"});
  const AppendResult result = fixture.Next();
  CHECK(result.outcome == AppendOutcome::kAppended);
  CHECK(result.first_offset == 2);
}

TEST_CASE("an append that can't be found stays uncertain") {
  Fixture fixture;
  fixture.log.drop_appends = 1;
  fixture.Append({"a"});
  CHECK(fixture.Next().outcome == AppendOutcome::kUncertain);
  CHECK(fixture.appender->Totals().uncertain == 1);
}

}  // namespace
}  // namespace celerykeel

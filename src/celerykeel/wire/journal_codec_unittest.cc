#include "celerykeel/wire/journal_codec.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

CallRecord SomeCall() {
  CallRecord call;
  call.key = {{"coop", "trip/a"}, 3};
  call.digest = 4;
  call.state = CallState::kLost;
  call.status = 201;
  call.content_type = "text/plain";
  call.answer = std::string("\0\xff", 2);
  call.new_messages = {"a", "b"};
  call.usage = {.prompt = 5, .completion = 6, .cached = 1};
  call.idempotency_key = "key";
  call.budget = {.tokens = 7, .calls = 8, .seconds = 9};
  call.started_at = 10;
  call.finished_at = 11;
  call.endpoint = "engine-1";
  call.model = "plum";
  call.idempotent = false;
  call.version = 12;
  return call;
}

TEST_CASE("each kind of record survives encoding and decoding unchanged") {
  const CallRecord call = SomeCall();
  ProgramState state;
  state.name = call.key.program;
  state.budget = call.budget;
  state.tokens_used = 1;
  state.calls_used = 2;
  state.started_at = 3;
  state.last_used_at = 4;
  state.ended = true;
  state.messages = {"a"};
  state.calls = {call};
  state.version = 5;
  const JournalRecord records[] = {
      CallIntent{call.key, 1, "booking-1", "key", 2, 3}, call, state,
      ProgramEnd{call.key.program, 6}};
  for (const JournalRecord& record : records) {
    CHECK(DecodeJournalRecord(EncodeJournalRecord(record)) == record);
  }
}

TEST_CASE("bytes that are not a record are rejected") {
  CHECK_FALSE(DecodeJournalRecord("\xff").has_value());
  CHECK_FALSE(DecodeJournalRecord("").has_value());
}

}  // namespace
}  // namespace celerykeel

#include "celerykeel/wire/journal_codec.h"

#include <utility>  // for std::move

namespace celerykeel {

namespace {

pb::Budget EncodeBudget(const Budget& budget) {
  pb::Budget out;
  out.set_tokens(budget.tokens);
  out.set_calls(budget.calls);
  out.set_seconds(budget.seconds);
  return out;
}

pb::CallState EncodeState(CallState state) {
  switch (state) {
    case CallState::kDone:
      return pb::DONE;
    case CallState::kFailed:
      return pb::FAILED;
    case CallState::kLost:
      return pb::LOST;
  }
  return pb::LOST;
}

// An unknown state decodes to kLost, which prevents a second run of the call.
CallState DecodeState(pb::CallState state) {
  switch (state) {
    case pb::DONE:
      return CallState::kDone;
    case pb::FAILED:
      return CallState::kFailed;
    default:
      return CallState::kLost;
  }
}

void Encode(const CallIntent& intent, pb::JournalRecord& out) {
  pb::Intent& target = *out.mutable_intent();
  *target.mutable_program() = ToProto(intent.key.program);
  target.set_call(intent.key.call);
  target.set_request_digest(intent.digest);
  target.set_endpoint(intent.endpoint);
  target.set_idempotency_key(intent.idempotency_key);
  target.set_fence(intent.fence);
  target.set_version(intent.version);
}

void Encode(const CallRecord& record, pb::JournalRecord& out) {
  *out.mutable_call() = ToProto(record);
}

void Encode(const ProgramState& state, pb::JournalRecord& out) {
  *out.mutable_program() = ToProto(state);
}

void Encode(const ProgramEnd& end, pb::JournalRecord& out) {
  *out.mutable_end()->mutable_program() = ToProto(end.program);
  out.mutable_end()->set_version(end.version);
}

CallIntent DecodeIntent(const pb::Intent& intent) {
  return {.key = {FromProto(intent.program()), intent.call()},
          .digest = intent.request_digest(),
          .endpoint = intent.endpoint(),
          .idempotency_key = intent.idempotency_key(),
          .fence = intent.fence(),
          .version = intent.version()};
}

}  // namespace

pb::ProgramName ToProto(const ProgramName& name) {
  pb::ProgramName out;
  out.set_team(name.team);
  out.set_id(name.id);
  return out;
}

ProgramName FromProto(const pb::ProgramName& name) {
  return {.team = name.team(), .id = name.id()};
}

Budget FromProto(const pb::Budget& budget) {
  return {.tokens = budget.tokens(),
          .calls = budget.calls(),
          .seconds = budget.seconds()};
}

pb::CallRecord ToProto(const CallRecord& record) {
  pb::CallRecord out;
  *out.mutable_program() = ToProto(record.key.program);
  out.set_call(record.key.call);
  out.set_request_digest(record.digest);
  out.set_state(EncodeState(record.state));
  out.set_status(record.status);
  out.set_content_type(record.content_type);
  out.set_answer(record.answer);
  for (const std::string& message : record.new_messages) {
    out.add_new_messages(message);
  }
  out.set_prompt_tokens(record.usage.prompt);
  out.set_completion_tokens(record.usage.completion);
  out.set_cached_tokens(record.usage.cached);
  out.set_idempotency_key(record.idempotency_key);
  *out.mutable_budget() = EncodeBudget(record.budget);
  out.set_started_at_ms(record.started_at);
  out.set_finished_at_ms(record.finished_at);
  out.set_endpoint(record.endpoint);
  out.set_model(record.model);
  out.set_idempotent(record.idempotent);
  out.set_version(record.version);
  return out;
}

CallRecord FromProto(const pb::CallRecord& record) {
  return {.key = {FromProto(record.program()), record.call()},
          .digest = record.request_digest(),
          .state = DecodeState(record.state()),
          .status = record.status(),
          .content_type = record.content_type(),
          .answer = record.answer(),
          .new_messages = {record.new_messages().begin(),
                           record.new_messages().end()},
          .usage = {.prompt = record.prompt_tokens(),
                    .completion = record.completion_tokens(),
                    .cached = record.cached_tokens()},
          .idempotency_key = record.idempotency_key(),
          .budget = FromProto(record.budget()),
          .started_at = record.started_at_ms(),
          .finished_at = record.finished_at_ms(),
          .endpoint = record.endpoint(),
          .model = record.model(),
          .idempotent = record.idempotent(),
          .version = record.version()};
}

pb::ProgramState ToProto(const ProgramState& state) {
  pb::ProgramState out;
  *out.mutable_program() = ToProto(state.name);
  *out.mutable_budget() = EncodeBudget(state.budget);
  out.set_tokens_used(state.tokens_used);
  out.set_calls_used(state.calls_used);
  out.set_started_at_ms(state.started_at);
  out.set_last_used_at_ms(state.last_used_at);
  out.set_ended(state.ended);
  for (const std::string& message : state.messages) {
    out.add_messages(message);
  }
  for (const CallRecord& call : state.calls) {
    *out.add_calls() = ToProto(call);
  }
  out.set_version(state.version);
  return out;
}

ProgramState FromProto(const pb::ProgramState& state) {
  ProgramState out{
      .name = FromProto(state.program()),
      .budget = FromProto(state.budget()),
      .tokens_used = state.tokens_used(),
      .calls_used = state.calls_used(),
      .started_at = state.started_at_ms(),
      .last_used_at = state.last_used_at_ms(),
      .ended = state.ended(),
      .messages = {state.messages().begin(), state.messages().end()},
      .calls = {},
      .version = state.version()};
  out.calls.reserve(static_cast<size_t>(state.calls_size()));
  for (const pb::CallRecord& call : state.calls()) {
    out.calls.push_back(FromProto(call));
  }
  return out;
}

std::string EncodeJournalRecord(const JournalRecord& record) {
  pb::JournalRecord out;
  std::visit([&](const auto& kind) { Encode(kind, out); }, record);
  return out.SerializeAsString();
}

std::optional<JournalRecord> DecodeJournalRecord(std::string_view bytes) {
  pb::JournalRecord record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  switch (record.kind_case()) {
    case pb::JournalRecord::kIntent:
      return DecodeIntent(record.intent());
    case pb::JournalRecord::kCall:
      return FromProto(record.call());
    case pb::JournalRecord::kProgram:
      return FromProto(record.program());
    case pb::JournalRecord::kEnd:
      return ProgramEnd{.program = FromProto(record.end().program()),
                        .version = record.end().version()};
    case pb::JournalRecord::KIND_NOT_SET:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace celerykeel

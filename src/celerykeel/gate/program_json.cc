#include "celerykeel/gate/program_json.h"

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/wire/problem_json.h"  // for RefuseMaybeRun

namespace celerykeel {

namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";

std::string StateName(pb::CallState state) {
  switch (state) {
    case pb::RUNNING:
      return "running";
    case pb::DONE:
      return "done";
    case pb::FAILED:
      return "failed";
    case pb::LOST:
      return "unknown";
    default:
      return "unspecified";
  }
}

// An answer that is no JSON, of a plain service, is shown as text.
json AnswerJson(const std::string& answer) {
  json parsed = json::parse(answer, nullptr, false);
  return parsed.is_discarded() ? json(answer) : parsed;
}

json CallJson(const pb::CallRecord& call) {
  return {{"call", call.call()},
          {"state", StateName(call.state())},
          {"status", call.status()},
          {"model", call.model()},
          {"endpoint", call.endpoint()},
          {"prompt_tokens", call.prompt_tokens()},
          {"completion_tokens", call.completion_tokens()},
          {"started_at_ms", call.started_at_ms()},
          {"finished_at_ms", call.finished_at_ms()}};
}

json ProgramJson(const pb::ProgramState& program) {
  json calls = json::array();
  for (const pb::CallRecord& call : program.calls()) {
    calls.push_back(CallJson(call));
  }
  json last = nullptr;
  if (program.calls_size() > 0) {
    last = AnswerJson(program.calls(program.calls_size() - 1).answer());
  }
  return {
      {"id", program.program().id()},
      {"ended", program.ended()},
      {"started_at_ms", program.started_at_ms()},
      {"last_used_at_ms", program.last_used_at_ms()},
      {"messages", program.messages_size()},
      {"budget",
       {{"tokens", program.budget().tokens()},
        {"calls", program.budget().calls()},
        {"seconds", program.budget().seconds()}}},
      {"used",
       {{"tokens", program.tokens_used()}, {"calls", program.calls_used()}}},
      {"calls", calls},
      {"last_answer", last}};
}

std::string Dump(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

ProgramAnswer CallAnswer(const pb::CallRecord& call) {
  if (call.state() == pb::RUNNING) {
    return {.status = 202, .content_type = kJson, .body = Dump(CallJson(call))};
  }
  if (call.state() == pb::LOST) {
    const pb::CallRefused refusal = RefuseMaybeRun(
        pb::OUTCOME_UNKNOWN, "the call was sent, and its outcome is not known");
    return {.status = HttpStatus(refusal.type()),
            .content_type = kProblemJsonType,
            .body = ProblemJson(refusal)};
  }
  return {
      .status = call.status() == 0 ? 200 : static_cast<int>(call.status()),
      .content_type = call.content_type().empty() ? kJson : call.content_type(),
      .body = call.answer()};
}

}  // namespace

ProgramAnswer ToAnswer(const pb::ProgramReport& report) {
  if (report.has_call()) {
    return CallAnswer(report.call());
  }
  return {.status = 200,
          .content_type = kJson,
          .body = Dump(ProgramJson(report.state()))};
}

}  // namespace celerykeel

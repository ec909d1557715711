#include "celerykeel/wire/problem_json.h"

#include <cctype>  // for std::tolower

#include <nlohmann/json.hpp>  // for nlohmann::json

namespace celerykeel {

namespace {

constexpr uint64_t kMillisPerSecond = 1000;

struct Kind {
  int status;
  const char* title;
};

Kind KindOf(pb::RefusalType type) {
  switch (type) {
    case pb::BAD_REQUEST:
      return {400, "The request is malformed"};
    case pb::NO_KEY:
      return {401, "The request carries no key"};
    case pb::WRONG_KEY:
      return {401, "The key is not known"};
    case pb::KEY_WITHDRAWN:
      return {401, "The key was withdrawn"};
    case pb::UNKNOWN_MODEL:
      return {404, "The model is not known"};
    case pb::UNKNOWN_ROUTE:
      return {404, "There is no such route"};
    case pb::UNKNOWN_PROGRAM:
      return {404, "There is no such program or call"};
    case pb::CALL_OUT_OF_ORDER:
      return {409, "The call is out of order"};
    case pb::CALL_CONTRADICTS:
      return {409, "The call differs from an earlier one of its number"};
    case pb::HISTORY_CONTRADICTS:
      return {409, "The messages contradict the program's history"};
    case pb::BUDGET_EXHAUSTED:
      return {402, "The program's budget is used up"};
    case pb::PROGRAM_ENDED:
      return {410, "The program has ended"};
    case pb::RATE_EXCEEDED:
      return {429, "The team's rate is exceeded"};
    case pb::OVERLOADED:
      return {503, "The system is overloaded"};
    case pb::NO_ENDPOINT:
      return {503, "No endpoint serves this now"};
    case pb::ENDPOINT_FAILED:
      return {502, "The endpoint failed"};
    case pb::NOT_OWNER:
    case pb::OWNER_UNREACHABLE:
      return {503, "The program's owner cannot be reached"};
    case pb::LOG_UNAVAILABLE:
      return {503, "The log is not available"};
    case pb::LEASE_LAPSED:
      return {503, "The owner's lease has lapsed"};
    case pb::CONFIGURATION_STALE:
      return {503, "The configuration here may be out of date"};
    case pb::DRAINING:
      return {503, "The instance is shutting down"};
    case pb::CANCELLED:
      return {409, "The call was cancelled"};
    case pb::OUTCOME_UNKNOWN:
      return {502, "The outcome of the call is not known"};
    case pb::BODY_TOO_LARGE:
      return {413, "The body is too large"};
    default:
      return {500, "The request failed"};
  }
}

std::string RanName(pb::Ran ran) {
  switch (ran) {
    case pb::NO:
      return "no";
    case pb::YES:
      return "yes";
    default:
      return "unknown";
  }
}

nlohmann::json ToJson(const pb::CallRefused& refusal) {
  nlohmann::json problem{{"type", RefusalName(refusal.type())},
                         {"title", KindOf(refusal.type()).title},
                         {"detail", refusal.detail()},
                         {"ran", RanName(refusal.ran())}};
  if (refusal.retry_after_ms() > 0) {
    problem["retry_after_ms"] = refusal.retry_after_ms();
  }
  if (refusal.expected_call() > 0) {
    problem["expected_call"] = refusal.expected_call();
  }
  return problem;
}

// A detail may quote a caller's bytes, which may be invalid UTF-8.
std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

pb::CallRefused MakeRefusal(pb::RefusalType type,
                            std::string_view detail,
                            pb::Ran ran,
                            Duration retry_after) {
  pb::CallRefused refusal;
  refusal.set_type(type);
  refusal.set_detail(std::string(detail));
  refusal.set_ran(ran);
  refusal.set_retry_after_ms(static_cast<uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(retry_after).count()));
  return refusal;
}

}  // namespace

pb::CallRefused Refuse(pb::RefusalType type,
                       std::string_view detail,
                       Duration retry_after) {
  return MakeRefusal(type, detail, pb::NO, retry_after);
}

pb::CallRefused RefuseMaybeRun(pb::RefusalType type,
                               std::string_view detail,
                               Duration retry_after) {
  return MakeRefusal(type, detail, pb::UNKNOWN, retry_after);
}

int HttpStatus(pb::RefusalType type) {
  return KindOf(type).status;
}

std::string RefusalName(pb::RefusalType type) {
  std::string name = pb::RefusalType_Name(type);
  if (name.empty()) {
    return "refused";
  }
  for (char& c : name) {
    c = c == '_' ? '-' : static_cast<char>(std::tolower(c));
  }
  return name;
}

std::string ProblemJson(const pb::CallRefused& refusal) {
  return Dump(ToJson(refusal));
}

uint64_t RetryAfterSeconds(const pb::CallRefused& refusal) {
  return (refusal.retry_after_ms() + kMillisPerSecond - 1) / kMillisPerSecond;
}

std::string ProblemEvent(const pb::CallRefused& refusal) {
  nlohmann::json error = ToJson(refusal);
  error["message"] = refusal.detail();
  return "data: " + Dump({{"error", error}}) + "\n\n";
}

}  // namespace celerykeel

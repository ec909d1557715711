#include "celerykeel/scheduler/call_reader.h"

#include <xxhash.h>  // for XXH3_64bits_withSeed

#include <algorithm>  // for std::any_of
#include <utility>    // for std::move

#include "celerykeel/wire/chat_json.h"      // for ParseChatRequest
#include "celerykeel/wire/journal_codec.h"  // for FromProto

namespace celerykeel {

namespace {

uint64_t Hash(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t DigestOf(const CallSubmission& submission) {
  const CallWork& work = *submission.work;
  uint64_t digest = static_cast<uint64_t>(work.kind) + 1;
  for (const std::string_view part :
       {std::string_view(work.model), std::string_view(work.body),
        std::string_view(work.service), std::string_view(work.method),
        std::string_view(work.path), std::string_view(work.content_type),
        std::string_view(work.idempotency_key)}) {
    digest = Hash(part, digest);
  }
  for (const std::string& message : submission.messages) {
    digest = Hash(message, digest);
  }
  return digest;
}

bool IsModelKnown(const FleetState& view, const std::string& model) {
  if (view.in_force.models.contains(model)) {
    return true;
  }
  return std::any_of(view.in_force.endpoints.begin(),
                     view.in_force.endpoints.end(), [&](const auto& entry) {
                       return entry.second.kind == EndpointKind::kModelEngine &&
                              entry.second.model == model;
                     });
}

tl::expected<void, Refusal> ReadChat(const pb::CallRequest& request,
                                     const FleetState& view,
                                     CallWork& work,
                                     CallSubmission& submission) {
  auto chat = ParseChatRequest(request.body());
  if (!chat) {
    return tl::unexpected(Refusal{.type = RefusalType::kBadRequest});
  }
  work.model = request.model().empty() ? chat->model : request.model();
  if (!IsModelKnown(view, work.model)) {
    return tl::unexpected(Refusal{.type = RefusalType::kUnknownModel});
  }
  work.idempotent = true;
  work.body = std::move(chat->settings);
  work.stream = chat->stream || request.stream();
  work.wants_usage = chat->wants_usage;
  submission.messages = std::move(chat->messages);
  submission.max_tokens = chat->max_tokens;
  return {};
}

// The gate chose the route; what it means is read here, from what is in force
// when the call is taken.
tl::expected<void, Refusal> ReadService(const pb::CallRequest& request,
                                        const FleetState& view,
                                        CallWork& work) {
  const auto route = view.in_force.routes.find(request.route());
  if (route == view.in_force.routes.end()) {
    return tl::unexpected(Refusal{.type = RefusalType::kUnknownRoute});
  }
  work.idempotent = route->second.idempotent;
  work.body = request.body();
  work.service = request.service();
  work.route = request.route();
  work.method = request.method();
  work.path = request.path();
  work.content_type = request.content_type();
  return {};
}

std::string_view DetailOf(const Refusal& refusal) {
  switch (refusal.type) {
    case RefusalType::kBadRequest:
      return "the request cannot be read; correct it and send it again";
    case RefusalType::kUnknownModel:
      return "no model of that name is in force";
    case RefusalType::kUnknownRoute:
      return "no route in force covers the request";
    case RefusalType::kUnknownProgram:
      return "no such program is known";
    case RefusalType::kCallOutOfOrder:
      return "the call's number is not the next one of its program";
    case RefusalType::kCallContradicts:
      return "the call's number was used for another request";
    case RefusalType::kHistoryContradicts:
      return "the messages do not extend the program's history";
    case RefusalType::kBudgetExhausted:
      return "the program's budget does not cover the call";
    case RefusalType::kProgramEnded:
      return "the program has ended; begin another";
    case RefusalType::kOverloaded:
      return "too many calls wait; try again later";
    case RefusalType::kNoEndpoint:
      return "no endpoint could take the call in time";
    case RefusalType::kEndpointFailed:
      return refusal.ran == Ran::kNo
                 ? "no endpoint could be reached; the call did not run"
                 : "the endpoint failed; the call may be repeated";
    case RefusalType::kNotOwner:
      return "another instance owns the program";
    case RefusalType::kLogUnavailable:
      return "the log is down, and the call may not run without it";
    case RefusalType::kLeaseLapsed:
      return "this instance may not act for the program now";
    case RefusalType::kDraining:
      return "this instance is leaving and takes no new programs";
    case RefusalType::kCancelled:
      return "the call was cancelled";
    case RefusalType::kOutcomeUnknown:
      return "the call may have run; it is not sent again";
  }
  return "";
}

pb::RefusalType TypeOf(RefusalType type) {
  switch (type) {
    case RefusalType::kBadRequest:
      return pb::BAD_REQUEST;
    case RefusalType::kUnknownModel:
      return pb::UNKNOWN_MODEL;
    case RefusalType::kUnknownRoute:
      return pb::UNKNOWN_ROUTE;
    case RefusalType::kUnknownProgram:
      return pb::UNKNOWN_PROGRAM;
    case RefusalType::kCallOutOfOrder:
      return pb::CALL_OUT_OF_ORDER;
    case RefusalType::kCallContradicts:
      return pb::CALL_CONTRADICTS;
    case RefusalType::kHistoryContradicts:
      return pb::HISTORY_CONTRADICTS;
    case RefusalType::kBudgetExhausted:
      return pb::BUDGET_EXHAUSTED;
    case RefusalType::kProgramEnded:
      return pb::PROGRAM_ENDED;
    case RefusalType::kOverloaded:
      return pb::OVERLOADED;
    case RefusalType::kNoEndpoint:
      return pb::NO_ENDPOINT;
    case RefusalType::kEndpointFailed:
      return pb::ENDPOINT_FAILED;
    case RefusalType::kNotOwner:
      return pb::NOT_OWNER;
    case RefusalType::kLogUnavailable:
      return pb::LOG_UNAVAILABLE;
    case RefusalType::kLeaseLapsed:
      return pb::LEASE_LAPSED;
    case RefusalType::kDraining:
      return pb::DRAINING;
    case RefusalType::kCancelled:
      return pb::CANCELLED;
    case RefusalType::kOutcomeUnknown:
      return pb::OUTCOME_UNKNOWN;
  }
  return pb::REFUSAL_UNSPECIFIED;
}

pb::Ran RanOf(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return pb::NO;
    case Ran::kYes:
      return pb::YES;
    case Ran::kUnknown:
      return pb::UNKNOWN;
  }
  return pb::UNKNOWN;
}

}  // namespace

ProgramName ProgramOf(const pb::CallRequest& request) {
  ProgramName name = FromProto(request.program());
  name.id = CanonicalProgramId(name.id, request.parent());
  return name;
}

tl::expected<CallSubmission, Refusal> ReadCall(const pb::CallRequest& request,
                                               const FleetState& view) {
  CallSubmission submission;
  submission.single = request.call() == 0;
  submission.key = {.program = ProgramOf(request),
                    .call = std::max(request.call(), 1U)};
  submission.budget = FromProto(request.budget());
  submission.whole_history = request.whole_history();
  auto work = std::make_shared<CallWork>();
  work->kind =
      request.kind() == pb::CHAT ? CallKind::kChat : CallKind::kService;
  work->idempotency_key = request.idempotency_key();
  const auto read = work->kind == CallKind::kChat
                        ? ReadChat(request, view, *work, submission)
                        : ReadService(request, view, *work);
  if (!read) {
    return tl::unexpected(read.error());
  }
  submission.work = std::move(work);
  submission.digest = DigestOf(submission);
  return submission;
}

pb::CallRefused ToProto(const Refusal& refusal) {
  pb::CallRefused out;
  out.set_type(TypeOf(refusal.type));
  out.set_detail(std::string(DetailOf(refusal)));
  out.set_ran(RanOf(refusal.ran));
  out.set_retry_after_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retry_after)
          .count()));
  out.set_expected_call(refusal.expected_call);
  return out;
}

}  // namespace celerykeel

#include "celerykeel/base/clock.h"      // for Now
#include "celerykeel/core/placement.h"  // for RecordSentCall, RecordEndedCall
#include "celerykeel/scheduler/owner_state.h"  // for Owner::State

namespace celerykeel {

namespace {

// Service of a program is not measured yet; its tokens stand for it.
constexpr uint64_t kTokensPerSecond = 20'000;
constexpr Duration kCallTime = std::chrono::seconds(1);

uint64_t PromptTokens(const Program& program) {
  uint64_t tokens = program.history_tokens;
  for (size_t i = program.counted_messages; i < program.messages.size(); ++i) {
    tokens += EstimateTokens(program.messages[i]);
  }
  return tokens;
}

}  // namespace

PlacementRequest Owner::State::RequestFor(const ProgramName& name) const {
  PlacementRequest request;
  request.prompt.program = CacheName(name);
  request.call_time = kCallTime;
  if (const Program* const program = FindProgram(this->ledger, name)) {
    request.prompt.tokens = PromptTokens(*program);
  }
  if (const auto family = this->ledger.families.find(
          ProgramName{name.team, std::string(RootOf(name.id))});
      family != this->ledger.families.end()) {
    request.rank =
        LevelOf({}, std::chrono::milliseconds(family->second.tokens_used *
                                              1000 / kTokensPerSecond));
  }
  return request;
}

std::optional<SentCall> Owner::State::BookSent(const DispatchCall& action) {
  const auto& endpoints = this->view.state->in_force.endpoints;
  const auto found = endpoints.find(action.endpoint);
  if (action.work->kind != CallKind::kChat || found == endpoints.end()) {
    return std::nullopt;
  }
  EndpointEstimate& book =
      this->load.books
          .try_emplace(action.endpoint, BookOf(this->load, found->second))
          .first->second;
  return RecordSentCall(book, this->RequestFor(action.key.program), Now());
}

void Owner::State::BookEnded(const AttemptEnded& ended) {
  const auto attempt = this->attempts.find(ended.dispatch);
  const auto book = this->load.books.find(ended.endpoint);
  if (attempt == this->attempts.end() || !attempt->second.sent ||
      book == this->load.books.end()) {
    return;
  }
  RecordEndedCall(book->second, *attempt->second.sent,
                  this->RequestFor(ended.key.program).prompt, Now());
}

}  // namespace celerykeel

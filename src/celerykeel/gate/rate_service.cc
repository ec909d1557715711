#include "celerykeel/gate/rate_service.h"

#include <mutex>          // for std::mutex
#include <unordered_map>  // for std::unordered_map
#include <utility>        // for std::move

#include "celerykeel/base/clock.h"        // for Now
#include "celerykeel/net/bounded_ring.h"  // for BoundedRing
#include "celerykeel/wire/rate_codec.h"   // for EncodeRateEnvelope

namespace celerykeel {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kVerdictPatience = kRateTimeout + std::chrono::seconds(1);
constexpr Duration kRetryAfter = std::chrono::seconds(1);

using VerdictRing = BoundedRing<RateVerdict>;

}  // namespace

struct RateService::State {
  // Runs with the mutex held: the gate sees the newest view before it acts.
  RateActions Refresh(Duration now) {
    const FleetView view = this->options.view();
    RateActions actions;
    UpdateView(this->gate, view.self, view.state, view.fresh_at, now, actions);
    return actions;
  }

  void OnMessage(std::string_view payload) {
    const auto letter = DecodeRateEnvelope(payload);
    const std::lock_guard lock(this->mutex);
    const Duration now = Now();
    RateActions actions = this->Refresh(now);
    if (!letter || !this->IsWelcome(*letter)) {
      ++this->counters.notes_dropped;
    } else {
      Receive(this->gate, letter->from, letter->note, now, actions);
    }
    this->Perform(actions);
  }

  void OnTick() {
    const std::lock_guard lock(this->mutex);
    const Duration now = Now();
    RateActions actions = this->Refresh(now);
    Tick(this->gate, now, actions);
    this->Perform(actions);
  }

  // Only members lend and borrow. What one passes on may come when it has just
  // left, or before its joining is known here.
  bool IsWelcome(const RateEnvelope& letter) const {
    return this->gate.roster.seen.back().state->members.contains(letter.from) ||
           std::holds_alternative<HandoverNotice>(letter.note) ||
           std::holds_alternative<ReleaseNotice>(letter.note);
  }

  void Perform(const RateActions& actions) {
    const FleetState& state = *this->gate.roster.seen.back().state;
    for (const RateSend& send : actions.sends) {
      const auto member = state.members.find(send.to);
      if (member != state.members.end() && this->messenger != nullptr) {
        ++this->counters.notes_sent;
        this->messenger->Send(
            PeerAt(member->second.join.rate_address),
            EncodeRateEnvelope({.from = this->gate.self, .note = send.note}));
      }
    }
    for (const RateVerdict& verdict : actions.verdicts) {
      ++(verdict.admitted ? this->counters.admitted : this->counters.refused);
      this->counters.refused_silent += verdict.home_unresponsive ? 1 : 0;
      if (const auto waiter = this->waiters.find(verdict.ticket);
          waiter != this->waiters.end()) {
        waiter->second->Push(verdict);
      }
    }
  }

  RateServiceOptions options;
  mutable std::mutex mutex;
  RateGate gate;
  Counters counters;
  uint64_t next_ticket = 1;
  std::unordered_map<uint64_t, std::shared_ptr<VerdictRing>> waiters;
  std::unique_ptr<Messenger> messenger;  // last: its thread uses the rest
};

tl::expected<std::unique_ptr<RateService>, MessengerError> RateService::Create(
    RateServiceOptions options) {
  auto state = std::make_unique<State>();
  State* const shared = state.get();
  state->options = std::move(options);
  MessengerOptions messenger_options;
  messenger_options.listen = state->options.listen;
  messenger_options.tick = kTick;
  auto messenger = Messenger::Create(
      messenger_options,
      {.on_message =
           [shared](Messenger&, const Peer&, std::string_view payload) {
             shared->OnMessage(payload);
           },
       .on_tick = [shared](Messenger&) { shared->OnTick(); },
       .on_disconnect = {}});
  if (!messenger) {
    return tl::unexpected(messenger.error());
  }
  {
    const std::lock_guard lock(state->mutex);
    state->messenger = std::move(*messenger);
  }
  return std::unique_ptr<RateService>(new RateService(std::move(state)));
}

RateService::RateService(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}

RateService::~RateService() = default;

RateVerdict RateService::Admit(const std::string& team) {
  const auto ring = std::make_shared<VerdictRing>(1);
  uint64_t ticket = 0;
  {
    const std::lock_guard lock(this->state->mutex);
    const Duration now = Now();
    ticket = this->state->next_ticket++;
    this->state->waiters.emplace(ticket, ring);
    RateActions actions = this->state->Refresh(now);
    celerykeel::Admit(this->state->gate, ticket, team, now, actions);
    this->state->Perform(actions);
  }
  const auto verdict = ring->Pop(kVerdictPatience);
  const std::lock_guard lock(this->state->mutex);
  this->state->waiters.erase(ticket);
  return verdict.value_or(RateVerdict{.ticket = ticket,
                                      .admitted = false,
                                      .retry_after = kRetryAfter,
                                      .home_unresponsive = true});
}

void RateService::Resign() {
  const std::lock_guard lock(this->state->mutex);
  const Duration now = Now();
  RateActions actions = this->state->Refresh(now);
  celerykeel::Resign(this->state->gate, now, actions);
  this->state->Perform(actions);
}

RateService::Counters RateService::Count() const {
  const std::lock_guard lock(this->state->mutex);
  Counters counters = this->state->counters;
  counters.shares_at_home = this->state->gate.home.buckets.size();
  for (const auto& [share, held] : this->state->gate.borrower.shares) {
    counters.tokens_borrowed +=
        FreeTokens(this->state->gate.borrower, share, Now());
  }
  return counters;
}

}  // namespace celerykeel

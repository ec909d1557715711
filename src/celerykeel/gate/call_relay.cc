#include "celerykeel/gate/call_relay.h"

#include <algorithm>  // for std::min, std::clamp
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/core/rendezvous.h"    // for OwnerOf
#include "celerykeel/wire/problem_json.h"  // for Refuse

namespace celerykeel {

namespace {

using std::chrono::milliseconds;

constexpr Duration kResendPause = milliseconds(200);
constexpr Duration kRecheck = milliseconds(500);
constexpr Duration kShortestWait = milliseconds(1);
constexpr Duration kRetryAfter = std::chrono::seconds(2);

void SetId(pb::CallMessage& message, uint64_t id) {
  switch (message.kind_case()) {
    case pb::CallMessage::kRequest:
      message.mutable_request()->set_id(id);
      break;
    case pb::CallMessage::kProgramQuery:
      message.mutable_program_query()->set_id(id);
      break;
    case pb::CallMessage::kProgramDelete:
      message.mutable_program_delete()->set_id(id);
      break;
    default:
      break;
  }
}

ProgramName ProgramOf(const pb::CallMessage& message) {
  const pb::ProgramName& name =
      message.has_request()         ? message.request().program()
      : message.has_program_query() ? message.program_query().program()
                                    : message.program_delete().program();
  return {.team = name.team(), .id = name.id()};
}

// The owner refused because it is not the owner, or soon will not be; the call
// has not run there.
bool MeansAnotherOwner(const pb::CallRefused& refusal) {
  return refusal.ran() == pb::NO &&
         (refusal.type() == pb::NOT_OWNER ||
          refusal.type() == pb::LEASE_LAPSED || refusal.type() == pb::DRAINING);
}

}  // namespace

std::optional<pb::CallRefused> CheckCaller(const FleetView& view,
                                           const std::optional<Caller>& caller,
                                           Duration config_patience,
                                           Duration now) {
  if (!caller) {
    return std::nullopt;
  }
  if (now - view.fresh_at > config_patience) {
    return Refuse(pb::CONFIGURATION_STALE,
                  "this instance cannot tell whether the key still holds",
                  kRetryAfter);
  }
  if (!KeyHolds(view.state->in_force, *caller)) {
    return Refuse(pb::KEY_WITHDRAWN, "the key was withdrawn");
  }
  return std::nullopt;
}

CallRelay::CallRelay(RelayContext given_context,
                     pb::CallMessage given_message,
                     std::optional<Caller> given_caller)
    : context(std::move(given_context)),
      message(std::move(given_message)),
      program(ProgramOf(message)),
      caller(std::move(given_caller)),
      pending(context.link->Open()),
      silent_since(Now()) {
  SetId(this->message, this->pending->id);
}

CallRelay::~CallRelay() {
  this->context.link->Close(*this->pending);
}

RelayItem CallRelay::Next() {
  for (;;) {
    const Duration now = Now();
    const FleetView view = this->context.view();
    if (const auto refused = CheckCaller(view, this->caller,
                                         this->context.config_patience, now)) {
      return this->MakeFinal(refused->type(), refused->detail(),
                             milliseconds(refused->retry_after_ms()));
    }
    this->SendIfDue(view, now);
    if (!this->answered &&
        now - this->silent_since >= this->context.owner_patience) {
      return this->MakeFinal(pb::OWNER_UNREACHABLE,
                             "the program's owner did not answer in time",
                             kRetryAfter);
    }
    auto event = this->pending->events.Pop(this->WaitTime(now));
    if (event) {
      if (auto item = this->HandleEvent(std::move(*event))) {
        return std::move(*item);
      }
    } else if (this->context.caller_waits && !this->context.caller_waits()) {
      return this->MakeFinal(pb::CANCELLED, "the caller has gone away", {});
    } else if (this->pending->events.Closed()) {
      return this->MakeFinal(
          pb::CANCELLED, "the caller reads too slowly; ask for the call again",
          kRetryAfter);
    }
  }
}

// The message goes to another owner when the one that has it left the roster.
// A member that merely lost the slot finishes what it runs, and says NOT_OWNER
// to what it does not.
void CallRelay::SendIfDue(const FleetView& view, Duration now) {
  if (this->owner != 0 && !this->must_send &&
      !view.state->members.contains(this->owner)) {
    this->LoseOwner(now);
  }
  if (!this->must_send || now < this->send_at) {
    return;
  }
  const auto chosen = OwnerOf(*view.state, this->program);
  if (!chosen) {
    return;
  }
  this->owner = *chosen;
  this->address = view.state->members.at(*chosen).join.scheduler_address;
  if (this->message.has_request()) {
    pb::CallRequest& request = *this->message.mutable_request();
    request.set_owner(*chosen);
    request.set_roster_version(view.state->roster_version);
    request.set_gate(view.self);
  }
  if (!this->context.link->Send(*this->pending, this->address, this->message)) {
    this->send_at = now + kResendPause;
    return;
  }
  this->must_send = false;
  this->position = 0;
  this->in_doubt.insert(*chosen);
}

void CallRelay::LoseOwner(Duration now) {
  if (this->answered) {
    this->answered = false;
    this->silent_since = now;
  }
  this->must_send = true;
  this->send_at = now + kResendPause;
}

Duration CallRelay::WaitTime(Duration now) const {
  Duration wait = kRecheck;
  if (this->must_send) {
    wait = std::min(wait, this->send_at - now);
  }
  if (!this->answered) {
    wait =
        std::min(wait, this->silent_since + this->context.owner_patience - now);
  }
  return std::clamp(wait, kShortestWait, kRecheck);
}

std::optional<RelayItem> CallRelay::HandleEvent(OwnerEvent event) {
  // What an earlier owner still says is no longer for this caller.
  if (event.kind == OwnerEvent::Kind::kWake || event.address != this->address) {
    return std::nullopt;
  }
  if (event.kind == OwnerEvent::Kind::kDisconnected) {
    this->LoseOwner(Now());
    return std::nullopt;
  }
  return this->HandleReply(*event.reply);
}

std::optional<RelayItem> CallRelay::HandleReply(pb::CallReply& reply) {
  switch (reply.kind_case()) {
    case pb::CallReply::kAccepted:
      this->answered = true;
      return RelayItem(std::move(*reply.mutable_accepted()));
    case pb::CallReply::kChunk:
      this->answered = true;
      return this->HandleChunk(reply.chunk().data());
    case pb::CallReply::kFinished:
      if (this->position < this->relayed.size()) {
        return RelayItem(this->MakeFinal(
            pb::OUTCOME_UNKNOWN,
            "the answer was interrupted; ask for the call again", kRetryAfter));
      }
      return RelayItem(std::move(*reply.mutable_finished()));
    case pb::CallReply::kReport:
      return RelayItem(std::move(*reply.mutable_report()));
    case pb::CallReply::kRefused:
      return this->HandleRefusal(reply.refused());
    default:
      return std::nullopt;
  }
}

// After the owner changed, the new one sends the recorded answer again from
// its start: the part that the caller has is compared and left out.
std::optional<RelayItem> CallRelay::HandleChunk(std::string_view data) {
  const size_t known =
      std::min(data.size(), this->relayed.size() - this->position);
  if (data.substr(0, known) !=
      std::string_view(this->relayed).substr(this->position, known)) {
    return RelayItem(this->MakeFinal(
        pb::OUTCOME_UNKNOWN,
        "the answer was interrupted; ask for the call again", kRetryAfter));
  }
  this->position += data.size();
  data.remove_prefix(known);
  if (data.empty()) {
    return std::nullopt;
  }
  this->relayed += data;
  return RelayItem(AnswerChunk{std::string(data)});
}

std::optional<RelayItem> CallRelay::HandleRefusal(
    const pb::CallRefused& refusal) {
  if (refusal.ran() == pb::NO) {
    this->in_doubt.erase(this->owner);
  }
  if (MeansAnotherOwner(refusal)) {
    this->LoseOwner(Now());
    return std::nullopt;
  }
  pb::CallRefused final_refusal = refusal;
  // This owner's "no" does not speak for one that was lost before it.
  if (refusal.ran() == pb::NO && !this->in_doubt.empty()) {
    final_refusal.set_ran(pb::UNKNOWN);
  }
  return RelayItem(std::move(final_refusal));
}

pb::CallRefused CallRelay::MakeFinal(pb::RefusalType type,
                                     std::string_view detail,
                                     Duration retry_after) const {
  return this->in_doubt.empty() ? Refuse(type, detail, retry_after)
                                : RefuseMaybeRun(type, detail, retry_after);
}

void CallRelay::Cancel(std::string_view reason) {
  if (this->address.empty()) {
    return;
  }
  pb::CallMessage cancel;
  cancel.mutable_cancel()->set_id(this->pending->id);
  cancel.mutable_cancel()->set_reason(std::string(reason));
  this->context.link->Send(*this->pending, this->address, cancel);
}

}  // namespace celerykeel

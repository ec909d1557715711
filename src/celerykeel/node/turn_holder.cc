#include "celerykeel/node/turn_holder.h"

#include <algorithm>  // for std::min
#include <utility>    // for std::move

#include "celerykeel/base/clock.h"  // for Now
#include "celerykeel/node/fleet.h"  // for LinkToHolder
#include "celerykeel/node/node.h"   // for Node

namespace celerykeel {

namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(30);
constexpr Duration kGrantTimeout = std::chrono::milliseconds(600);
constexpr Duration kTurnEndTimeout = std::chrono::milliseconds(1500);
constexpr Duration kBackgroundReportTimeout = std::chrono::seconds(8);

pb::TurnAdmission AdmissionOf(const Call& call, uint32_t slot) {
  const CallHeaderValues& header_values = call.request.header_values;
  pb::TurnAdmission admission;
  admission.set_slot(slot);
  admission.set_team(call.team == nullptr ? "" : call.team->name);
  admission.set_program(header_values.program);
  admission.set_turn(header_values.id);
  admission.set_previous(call.route->retained ? header_values.previous_turn
                                              : "");
  admission.set_most_tokens(header_values.most_tokens);
  admission.set_kept(call.route->retained);
  admission.set_resumed_call(header_values.resumed_call);
  if (header_values.token_budget) {
    admission.set_budget(*header_values.token_budget);
  }
  return admission;
}

// @return the decision; nothing if none arrived in time.
Task<std::optional<pb::TurnGrant>> RequestAdmissionFromPeer(
    Node& node,
    PeerLinkPtr link,
    pb::TurnAdmission admission,
    TurnPermit& permit,
    Duration most) {
  const auto call =
      std::make_shared<AdmissionCall>(node.io, link, permit.covered);
  pb::NodeFrame frame;
  *frame.mutable_admission() = std::move(admission);
  AdmissionCall* const waiting = call.get();
  const PendingCall pending{.on_frame =
                                [waiting](const pb::NodeFrame& answer) {
                                  if (answer.has_grant() && waiting->granted) {
                                    waiting->granted->SetValue(answer.grant());
                                  } else if (answer.has_covered()) {
                                    waiting->covered->SetValue(true);
                                  }
                                },
                            .on_lost =
                                [waiting] {
                                  if (waiting->granted) {
                                    waiting->granted->SetValue(std::nullopt);
                                  }
                                  waiting->covered->SetValue(false);
                                }};
  if (!StartCall(node.peers, *link, std::move(frame), pending, &call->id)) {
    co_return std::nullopt;
  }
  const Duration until = Now() + most;
  auto grant = co_await call->granted->Wait(kGrantTimeout);
  // Asked again, the holder would send a long history once more.
  while (!grant && IsMovingLongFrame(*link) && Now() < until) {
    grant =
        co_await call->granted->Wait(std::min(kGrantTimeout, until - Now()));
  }
  call->granted.reset();
  if (grant && *grant && !(*grant)->covered() &&
      (*grant)->verdict() == pb::TurnGrant::GRANTED) {
    permit.call = call;
  }
  co_return grant ? std::move(*grant) : std::nullopt;
}

}  // namespace

// A stream without a program, and the requests that resume it, share the slot
// of the request that began it.
uint32_t SlotOfCall(const Node& node, const Call& call) {
  const CallHeaderValues& header_values = call.request.header_values;
  const std::string& subject =
      !header_values.program.empty()        ? header_values.program
      : !header_values.resumed_call.empty() ? header_values.resumed_call
                                            : header_values.id;
  return SlotOfSubject(call.team == nullptr ? "" : call.team->name, subject,
                       static_cast<uint32_t>(node.fleet.slots.size()));
}

Task<TurnPermit> RequestTurnPermit(Node& node, CallPtr call, Duration timeout) {
  const Duration until = Now() + timeout;
  TurnPermit permit;
  permit.slot = SlotOfCall(node, *call);
  while (true) {
    permit.covered = std::make_shared<Promise<bool>>(node.io);
    permit.call = nullptr;
    std::optional<pb::TurnGrant> grant;
    if (ActiveSlot(node, permit.slot) != nullptr) {
      // GCC 12 destroys a lambda or an aggregate twice if it is created inside
      // a co_await.
      std::function<void(bool)> on_covered =
          [covered = permit.covered](bool may) { covered->SetValue(may); };
      TurnRelay self{node.options.instance, node.incarnation};
      grant = co_await AdmitAsHolder(node, AdmissionOf(*call, permit.slot),
                                     std::move(self), std::move(on_covered));
    } else if (const PeerLinkPtr link = LinkToHolder(node, permit.slot)) {
      grant = co_await RequestAdmissionFromPeer(node, link,
                                                AdmissionOf(*call, permit.slot),
                                                permit, TimeLeft(*call) / 2);
    }
    permit.may_be_counted = permit.may_be_counted || !grant;
    const auto verdict = grant ? grant->verdict() : pb::TurnGrant::NOT_HOLDER;
    if (verdict != pb::TurnGrant::NOT_HOLDER &&
        verdict != pb::TurnGrant::BUDGET_HELD) {
      permit.grant = std::move(*grant);
      if (permit.grant.covered()) {
        permit.covered->SetValue(true);
      }
      co_return permit;
    }
    if (Now() + kRetryPause >= until || call->caller->disconnected) {
      permit.grant.set_verdict(verdict);
      co_return permit;
    }
    co_await Sleep(node.io, kRetryPause);
  }
}

Task<bool> ReportTurnEnd(Node& node,
                         pb::TurnEnd end,
                         std::string history,
                         Duration timeout) {
  const Duration until = Now() + timeout;
  while (true) {
    std::optional<pb::TurnEndDone> done;
    if (ActiveSlot(node, end.slot()) != nullptr) {
      done = co_await EndAsHolder(node, end);
    } else if (const PeerLinkPtr link = LinkToHolder(node, end.slot())) {
      pb::NodeFrame frame;
      *frame.mutable_end() = end;
      const PeerCallPtr call =
          BeginCall(node.io, node.peers, link, std::move(frame));
      if (call != nullptr) {
        const Duration left = until - Now();
        auto answer =
            co_await AwaitAnswer(*call, std::min(kTurnEndTimeout, left), left);
        if (answer && answer->has_end_done()) {
          done = std::move(*answer->mutable_end_done());
        }
      }
    }
    if (done && done->durable()) {
      co_return true;
    }
    if (done && done->needs_base() && end.base().empty() && !history.empty()) {
      end.set_base(history);
      continue;
    }
    if (Now() + kRetryPause >= until) {
      co_return false;
    }
    co_await Sleep(node.io, kRetryPause);
  }
}

namespace {

Task<> ReportTurnEndOrLog(Node& node, pb::TurnEnd end) {
  const std::string turn = end.turn();
  if (!co_await ReportTurnEnd(node, std::move(end), "",
                              kBackgroundReportTimeout)) {
    WriteLog(node.log, LogLevel::kUnusual, "turn's end not noted",
             {{"id", turn}});
  }
}

}  // namespace

void ReportTurnEndInBackground(Node& node, pb::TurnEnd end) {
  Spawn(node.io, ReportTurnEndOrLog(node, std::move(end)));
}

}  // namespace celerykeel

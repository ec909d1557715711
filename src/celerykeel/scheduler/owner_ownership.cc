#include <utility>  // for std::move

#include "celerykeel/base/clock.h"             // for Now
#include "celerykeel/core/rendezvous.h"        // for OwnerOf
#include "celerykeel/net/log.h"                // for Log
#include "celerykeel/scheduler/owner_state.h"  // for Owner::State
#include "celerykeel/wire/journal_codec.h"     // for DecodeJournalRecord

namespace celerykeel {

namespace {

constexpr size_t kHandoverBytes = size_t{4} * 1024 * 1024;  // of one reply

std::vector<JournalRecord> DecodePage(const JournalPage& page) {
  std::vector<JournalRecord> records;
  records.reserve(page.entries.size());
  for (const auto& [offset, payload] : page.entries) {
    if (auto record = DecodeJournalRecord(payload)) {
      records.push_back(std::move(*record));
    } else {
      Log("scheduler", "journal record does not decode, skipped",
          {{"offset", offset}});
    }
  }
  return records;
}

}  // namespace

Refusal Owner::State::NotOwner() const {
  return {.type = RefusalType::kNotOwner,
          .ran = Ran::kNo,
          .retry_after = this->options.ledger.retry_after,
          .expected_call = 0};
}

void Owner::State::TakeView() {
  this->view = this->feed->View();
  // The steward's word, so that both count with the same lease.
  if (this->view.successor_wait > Duration::zero()) {
    this->adoption.options.successor_wait = this->view.successor_wait;
  }
  this->PerformAdoption(
      ApplyRoster(this->adoption, *this->view.state, this->view.self, Now()));
}

// True if the message was dealt with: refused, since another instance owns the
// program, or kept until the former owner has let go of it.
bool Owner::State::RefuseOrPark(const PeerMessage& message,
                                const ProgramName& program) {
  if (IsReadyFor(this->adoption, program)) {
    return false;
  }
  const pb::CallMessage& kind = message.message;
  const uint64_t id = kind.has_request()         ? kind.request().id()
                      : kind.has_program_query() ? kind.program_query().id()
                                                 : kind.program_delete().id();
  if (!IsOwnerOf(this->adoption, program)) {
    this->Refuse({message.peer, id}, this->NotOwner());
  } else if (this->parked.size() >= this->options.waiting_calls) {
    this->Refuse({message.peer, id},
                 {.type = RefusalType::kOverloaded,
                  .retry_after = this->options.ledger.retry_after});
  } else {
    this->parked.push_back({message, Now() + this->options.adoption_wait});
  }
  return true;
}

void Owner::State::RetryParked() {
  const Duration now = Now();
  const std::vector<ParkedMessage> waiting = std::move(this->parked);
  this->parked.clear();
  for (const ParkedMessage& entry : waiting) {
    if (entry.until > now) {
      const Duration until = entry.until;
      const size_t before = this->parked.size();
      this->HandleMessage(entry.message);
      if (this->parked.size() > before) {
        this->parked.back().until = until;
      }
    } else {
      const pb::CallMessage& kind = entry.message.message;
      this->Refuse({entry.message.peer, kind.request().id()}, this->NotOwner());
    }
  }
}

void Owner::State::TickOwnership(Duration now) {
  this->PerformAdoption(celerykeel::Tick(this->adoption, now));
  this->ReleaseMoved();
  this->RetryParked();
}

void Owner::State::PerformAdoption(const AdoptionActions& actions) {
  for (const AdoptionAction& action : actions) {
    std::visit([this](const auto& kind) { this->Do(kind); }, action);
  }
}

void Owner::State::Do(const RequestHandover& action) {
  const auto member = this->view.state->members.find(action.member);
  if (member == this->view.state->members.end()) {
    return;
  }
  pb::CallMessage message;
  pb::HandoverRequest& request = *message.mutable_handover_request();
  request.set_id(++this->last_request);
  request.set_to(this->adoption.self);
  request.set_roster_version(action.roster_version);
  this->messenger->Send(PeerAt(member->second.join.scheduler_address),
                        message.SerializeAsString());
}

void Owner::State::Do(const ReadJournalPage& action) {
  const bool queued = this->feed->ReadJournal(
      action.incarnation, action.from, this->adoption.options.page_records,
      [this, incarnation = action.incarnation](const JournalPage& page) {
        this->PushOwn(JournalPageCame{incarnation, page});
      });
  if (!queued) {
    this->PushOwn(JournalPageCame{action.incarnation, {}});
  }
}

void Owner::State::Do(const AdoptSlots& action) {
  this->ledger.epoch = this->adoption.roster_version;
  ReplayedFamilies families = action.families;
  for (auto& [root, family] : families) {
    for (const auto& [id, program] : family.programs) {
      for (const auto& [number, record] : program.calls) {
        if (!record->model.empty() && !record->endpoint.empty()) {
          this->cached_at[program.name].insert(record->endpoint);
        }
      }
    }
    this->Perform(AdoptFamily(this->ledger, std::move(family), this->Read()));
  }
  // What this process itself held before and is given back.
  for (auto kept = this->released.begin(); kept != this->released.end();) {
    kept = IsReadyFor(this->adoption, kept->first) ? this->released.erase(kept)
                                                   : std::next(kept);
  }
  Log("scheduler", "slots adopted",
      {{"ready", this->adoption.ready.count()},
       {"families", families.size()},
       {"roster", this->adoption.roster_version}});
}

void Owner::State::Do(const DropSlots& action) {
  std::vector<ProgramName> lost;
  for (const auto& [root, family] : this->ledger.families) {
    if (action.slots[SlotOf(root)]) {
      lost.push_back(root);
    }
  }
  for (const ProgramName& root : lost) {
    this->Perform(RefusePendingCalls(this->ledger, root, this->Read()));
  }
  Log("scheduler", "slots lost",
      {{"slots", action.slots.count()}, {"families", lost.size()}});
}

// Families of moved slots leave the ledger once nothing of them runs. A copy
// stays, for an owner that dies before it has written them down.
void Owner::State::ReleaseMoved() {
  ReplayedFamilies moved;
  std::erase_if(this->ledger.families, [&](auto& entry) {
    auto& [root, family] = entry;
    if (IsOwnerOf(this->adoption, root) || IsBusy(family)) {
      return false;
    }
    moved[root] = std::move(family);
    return true;
  });
  Merge(this->released, std::move(moved));
  const WallMillis oldest =
      this->Read().wall - std::chrono::duration_cast<std::chrono::milliseconds>(
                              this->options.ledger.program_idle_timeout)
                              .count();
  std::erase_if(this->released, [&](const auto& entry) {
    return entry.second.last_used_at < oldest;
  });
}

void Owner::State::HandleHandoverRequest(const Requester& requester,
                                         const pb::HandoverRequest& request) {
  this->ReleaseMoved();
  const Incarnation to = request.to();
  const auto moves = [&](const ProgramName& root) {
    return OwnerOf(*this->view.state, root) == to;
  };
  bool ready = this->adoption.roster_version >= request.roster_version();
  for (const auto& [root, family] : this->ledger.families) {
    ready = ready && !moves(root);
  }
  pb::CallReply reply;
  const auto send = [&](bool is_last) {
    pb::HandoverReply& handover = *reply.mutable_handover();
    handover.set_ready(is_last);
    handover.set_from(this->view.self);
    handover.set_roster_version(this->adoption.roster_version);
    SendReply(*this->messenger, requester, std::move(reply));
    reply.Clear();
  };
  if (!ready) {
    send(false);
    return;
  }
  for (const auto& [root, family] : this->released) {
    if (!moves(root)) {
      continue;
    }
    for (const ProgramState& state : ExportFamily(family)) {
      *reply.mutable_handover()->add_programs() = ToProto(state);
    }
    if (reply.ByteSizeLong() > kHandoverBytes) {
      send(false);
    }
  }
  send(true);
}

void Owner::State::HandleHandover(const pb::HandoverReply& reply) {
  ReplayedFamilies families;
  for (const pb::ProgramState& program : reply.programs()) {
    Replay(families, FromProto(program));
  }
  this->PerformAdoption(TakeHandover(this->adoption, reply.from(),
                                     reply.roster_version(), reply.ready(),
                                     std::move(families)));
  this->RetryParked();
}

void Owner::State::HandleJournalPage(const JournalPageCame& came) {
  this->PerformAdoption(ApplyJournalPage(this->adoption, came.incarnation,
                                         came.page.ok, came.page.next_from,
                                         DecodePage(came.page), Now()));
  this->RetryParked();
}

}  // namespace celerykeel

#include "celerykeel/steward/peers.h"

#include <algorithm>  // for std::find, std::max
#include <limits>     // for std::numeric_limits
#include <set>        // for std::set
#include <utility>    // for std::move

#include "celerykeel/core/membership.h"  // for MemberNames, kMaxWitnesses
#include "celerykeel/core/roster.h"      // for CountVotes, FormatIncarnation
#include "celerykeel/net/log.h"          // for Log
#include "celerykeel/steward/feed.h"     // for MakeUpdate

namespace celerykeel {

namespace {

constexpr uint64_t kNeverFresh = std::numeric_limits<uint64_t>::max();
constexpr Duration kEvictRetry = std::chrono::seconds(1);
constexpr size_t kSmallFleet = 3;  // where all hear of all

pb::PeerMessage MessageFrom(const Control& control) {
  pb::PeerMessage message;
  message.set_from(control.self);
  message.set_instance(control.options.instance);
  return message;
}

uint64_t FreshnessOf(const Control& control, Duration now) {
  if (control.fresh_at == Duration{}) {
    return kNeverFresh;
  }
  // Rounded up: the state is never said to be fresher than it is.
  return static_cast<uint64_t>(
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 now - control.fresh_at)
                 .count()) +
         1;
}

// The member of that name that joined last.
const Member* FindByName(const FleetState& state, std::string_view name) {
  const Member* found = nullptr;
  for (const auto& [incarnation, member] : state.members) {
    if (member.join.instance == name &&
        (found == nullptr || member.fence > found->fence)) {
      found = &member;
    }
  }
  return found;
}

void SendToName(const Control& control,
                std::string_view name,
                pb::PeerMessage message,
                Outbox& out) {
  if (name == control.options.instance) {
    return;
  }
  if (const Member* member = FindByName(control.state, name)) {
    out.peers.push_back(
        {PeerAt(member->join.steward_address), std::move(message)});
  }
}

// Every witness, present and next. In a fleet too small for witnesses all
// hear of all, so that each still learns of records that it can't read.
std::set<std::string> HeartbeatTargets(const Control& control) {
  std::set<std::string> names(control.lease.witnesses.begin(),
                              control.lease.witnesses.end());
  names.insert(control.lease.next_witnesses.begin(),
               control.lease.next_witnesses.end());
  if (std::set<std::string> all = MemberNames(control.state);
      all.size() < kSmallFleet) {
    names.merge(all);
  }
  return names;
}

void TakeFreshness(Control& control,
                   Offset offset,
                   uint64_t freshness_ms,
                   Duration asked_at) {
  constexpr uint64_t kOldestMillis = 86'400'000;
  if (offset <= control.state.offset && freshness_ms < kOldestMillis) {
    const Duration fresh_at =
        asked_at - std::chrono::milliseconds(freshness_ms);
    control.fresh_at = std::max(control.fresh_at, fresh_at);
  }
}

void AskForRecords(Control& control,
                   const Peer& peer,
                   Duration now,
                   Outbox& out) {
  pb::PeerMessage message = MessageFrom(control);
  message.mutable_records_request()->set_offset(control.state.offset);
  message.mutable_records_request()->set_sequence(control.records_sequence);
  control.records_asked_at = now;
  out.peers.push_back({peer, std::move(message)});
}

// A peer has folded further. While the log can be read, it brings the records
// by itself.
void AskIfBehind(Control& control,
                 const Peer& peer,
                 Offset offset,
                 Duration now,
                 Outbox& out) {
  if (offset > control.state.offset && !control.log_reachable &&
      now - control.records_asked_at >= control.options.heartbeat / 2) {
    ++control.records_sequence;
    AskForRecords(control, peer, now, out);
  }
}

void OnHeartbeat(Control& control,
                 const Peer& peer,
                 const pb::PeerMessage& message,
                 Duration now,
                 Outbox& out) {
  const pb::Heartbeat& heartbeat = message.heartbeat();
  pb::PeerMessage answer = MessageFrom(control);
  pb::Vouch& vouch = *answer.mutable_vouch();
  vouch.set_sequence(heartbeat.sequence());
  vouch.set_refused(!AnswerHeartbeat(control.witness, control.state,
                                     control.self, message.from(), now));
  vouch.set_offset(control.state.offset);
  vouch.set_freshness_ms(FreshnessOf(control, now));
  vouch.set_log_unreachable(!control.log_reachable);
  out.peers.push_back({peer, std::move(answer)});
  AskIfBehind(control, peer, heartbeat.offset(), now, out);
}

void OnVouch(Control& control,
             const Peer& peer,
             const pb::PeerMessage& message,
             Duration now,
             Outbox& out) {
  const pb::Vouch& vouch = message.vouch();
  const std::string& name = message.instance();
  const auto sent = control.lease.sent_at.find(vouch.sequence());
  if (sent == control.lease.sent_at.end()) {
    return;
  }
  TakeFreshness(control, vouch.offset(), vouch.freshness_ms(), sent->second);
  if (vouch.refused()) {
    // One that has not folded this member's Join yet refuses too, for a while.
    if (now - control.joined_at > control.options.lease) {
      control.refused.insert(name);
    }
  } else {
    control.refused.erase(name);
    RecordVouch(control.lease, name, vouch.sequence());
    if (vouch.log_unreachable() && vouch.offset() <= control.state.offset) {
      RecordVouch(control.outage, name, vouch.sequence());
    }
  }
  AskIfBehind(control, peer, vouch.offset(), now, out);
  UpdateLease(control);
}

void OnEvictionRequest(Control& control,
                       const Peer& peer,
                       const pb::EvictionRequest& request,
                       Duration now,
                       Outbox& out) {
  const Duration silence = control.options.lease + control.options.margin;
  const bool given = VoteToEvict(control.witness, control.state, control.self,
                                 request.incarnation(), silence, now);
  control.totals.words += given ? 1 : 0;
  pb::PeerMessage answer = MessageFrom(control);
  answer.mutable_eviction_word()->set_incarnation(request.incarnation());
  answer.mutable_eviction_word()->set_given(given);
  out.peers.push_back({peer, std::move(answer)});
}

void AddWord(EvictionRound& round, Incarnation from) {
  if (from != 0 && std::find(round.words.begin(), round.words.end(), from) ==
                       round.words.end()) {
    round.words.push_back(from);
  }
}

void OnRecordsReply(Control& control,
                    const Peer& peer,
                    const pb::RecordsReply& reply,
                    Duration now,
                    Outbox& out) {
  const Offset before = control.state.offset;
  const bool complete = FoldUpdate(control, reply.update());
  if (control.state.offset > before) {
    control.totals.records_from_peers += control.state.offset - before;
  }
  if (complete && reply.sequence() == control.records_sequence) {
    TakeFreshness(control, control.state.offset, reply.freshness_ms(),
                  control.records_asked_at);
  }
  AfterFold(control, now, out);
  if (!complete && control.state.offset > before) {
    AskForRecords(control, peer, now, out);
  }
}

void AppendEvict(Control& control,
                 Incarnation subject,
                 EvictionRound& round,
                 Duration now,
                 Outbox& out) {
  round.append_after = now + kEvictRetry;
  ++control.totals.evictions;
  Log("steward", "evicts a silent instance",
      {{"instance", control.state.members.at(subject).join.instance},
       {"incarnation", FormatIncarnation(subject)},
       {"words", round.words.size()}});
  AppendOwn(out, OwnRecord::kEvict,
            Evict{subject, round.words, control.self,
                  "no heartbeat for a lease and a margin"});
}

// The own word comes last: it is kept back while others still hear the member.
void TryToEvict(Control& control,
                Incarnation subject,
                EvictionRound& round,
                Duration now,
                Outbox& out) {
  const Member& member = control.state.members.at(subject);
  std::vector<Incarnation> words = round.words;
  words.push_back(control.self);
  const Duration silence = control.options.lease + control.options.margin;
  if (now < round.append_after || !control.log_reachable ||
      CountVotes(control.state, member, words) < VotesNeeded(member.join) ||
      !VoteToEvict(control.witness, control.state, control.self, subject,
                   silence, now)) {
    return;
  }
  AddWord(round, control.self);
  AppendEvict(control, subject, round, now, out);
}

}  // namespace

void OnPeerMessage(Control& control,
                   const Peer& peer,
                   const pb::PeerMessage& message,
                   Duration now,
                   Outbox& out) {
  switch (message.kind_case()) {
    case pb::PeerMessage::kHeartbeat:
      return OnHeartbeat(control, peer, message, now, out);
    case pb::PeerMessage::kVouch:
      return OnVouch(control, peer, message, now, out);
    case pb::PeerMessage::kEvictionRequest:
      return OnEvictionRequest(control, peer, message.eviction_request(), now,
                               out);
    case pb::PeerMessage::kEvictionWord: {
      const pb::EvictionWord& word = message.eviction_word();
      if (const auto round = control.rounds.find(word.incarnation());
          word.given() && round != control.rounds.end()) {
        AddWord(round->second, message.from());
        TryToEvict(control, round->first, round->second, now, out);
      }
      return;
    }
    case pb::PeerMessage::kRecordsRequest: {
      pb::PeerMessage answer = MessageFrom(control);
      pb::RecordsReply& reply = *answer.mutable_records_reply();
      *reply.mutable_update() =
          MakeUpdate(control, message.records_request().offset());
      reply.set_sequence(message.records_request().sequence());
      reply.set_freshness_ms(FreshnessOf(control, now));
      out.peers.push_back({peer, std::move(answer)});
      return;
    }
    case pb::PeerMessage::kRecordsReply:
      return OnRecordsReply(control, peer, message.records_reply(), now, out);
    case pb::PeerMessage::KIND_NOT_SET:
      ++control.totals.dropped_messages;
  }
}

void SendHeartbeatsIfDue(Control& control, Duration now, Outbox& out) {
  if (control.self == 0 ||
      now < control.heartbeat_at + control.options.heartbeat) {
    return;
  }
  // A drain that ran out of time renews the lease no more.
  if (control.draining && now >= control.drain_until) {
    return;
  }
  control.heartbeat_at = now;
  const uint64_t sequence =
      RecordHeartbeat(control.lease, control.options.lease, now);
  RecordHeartbeat(control.outage, control.options.lease, now);
  if (control.log_reachable) {
    control.outage.vouched_at.erase(control.outage.instance);
  }
  pb::PeerMessage message = MessageFrom(control);
  pb::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_sequence(sequence);
  heartbeat.set_offset(control.state.offset);
  heartbeat.set_freshness_ms(FreshnessOf(control, now));
  heartbeat.set_log_unreachable(!control.log_reachable);
  for (const std::string& name : HeartbeatTargets(control)) {
    SendToName(control, name, message, out);
  }
  UpdateLease(control);
}

void EvictSilentMembers(Control& control, Duration now, Outbox& out) {
  const Duration silence = control.options.lease + control.options.margin;
  const auto suspects = SuspectedMembers(control.witness, control.state,
                                         control.self, silence, now);
  std::erase_if(control.rounds, [&](const auto& entry) {
    return std::find(suspects.begin(), suspects.end(), entry.first) ==
           suspects.end();
  });
  for (const Incarnation suspect : suspects) {
    EvictionRound& round = control.rounds[suspect];
    if (now < round.asked_at + control.options.heartbeat) {
      continue;
    }
    round.asked_at = now;
    pb::PeerMessage message = MessageFrom(control);
    message.mutable_eviction_request()->set_incarnation(suspect);
    const Join& join = control.state.members.at(suspect).join;
    for (const std::string& name : join.witnesses) {
      if (name != join.instance) {
        SendToName(control, name, message, out);
      }
    }
    TryToEvict(control, suspect, round, now, out);
  }
}

void AskSeedsIfDue(Control& control, Duration now, Outbox& out) {
  const bool lacks_state = !control.log_reachable || !control.unfolded.empty();
  if (!lacks_state || control.self != 0 ||
      now < control.records_asked_at + control.options.heartbeat) {
    return;
  }
  ++control.records_sequence;
  for (const std::string& address : control.options.seed_peers) {
    AskForRecords(control, PeerAt(address), now, out);
  }
}

// While most of the witnesses can't reach the log either and know no newer
// record, the log is taken to be down for all, and the state for complete.
void UpdateLease(Control& control) {
  control.lease.log_read_at = control.log_read_at;
  control.lease_until = LeaseEnd(control.lease, control.options.lease);
  if (!control.log_reachable) {
    control.fresh_at = std::max(
        control.fresh_at,
        LeaseEnd(control.outage, control.outage.witnesses, Duration{}));
  }
}

}  // namespace celerykeel

#include "celerykeel/wire/slot_codec.h"

#include "celerykeel/node.pb.h"  // for pb::SlotEntry

namespace celerykeel {

namespace {

ClaimCover CoverOf(const pb::SlotClaim& claim) {
  switch (claim.cover()) {
    case pb::SlotClaim::COVER_OPEN:
      return ClaimCover::kOpen;
    case pb::SlotClaim::COVER_ENDED:
      return ClaimCover::kEnded;
    default:
      return ClaimCover::kUnchanged;
  }
}

struct Encoder {
  pb::SlotEntry& entry;

  void operator()(const ClaimRecord& record) const {
    this->entry.mutable_claim()->set_holder(record.holder);
    this->entry.mutable_claim()->set_epoch(record.epoch);
    this->entry.mutable_claim()->set_cover(
        record.cover == ClaimCover::kOpen    ? pb::SlotClaim::COVER_OPEN
        : record.cover == ClaimCover::kEnded ? pb::SlotClaim::COVER_ENDED
                                             : pb::SlotClaim::COVER_UNKNOWN);
  }

  void operator()(const SpendRecord& record) const {
    pb::SlotSpend& spend = *this->entry.mutable_spend();
    spend.set_team(record.program.team);
    spend.set_program(record.program.id);
    spend.set_spent(record.spent);
    spend.set_ceiling(record.ceiling);
    spend.set_largest(record.largest);
    spend.set_slack_used(record.slack_used);
  }

  void operator()(const RateRecord& record) const {
    this->entry.mutable_rate()->set_team(record.team);
    this->entry.mutable_rate()->set_kept(record.kept);
  }

  void operator()(const StreamRecord& record) const {
    pb::SlotStream& stream = *this->entry.mutable_stream();
    stream.set_team(record.stream.first);
    stream.set_call(record.stream.second);
    stream.mutable_origin()->set_service(record.origin.service);
    stream.mutable_origin()->set_version(record.origin.version);
    stream.set_began_at(record.began_at);
  }

  void operator()(const TurnRecord& record) const {
    pb::SlotTurn& turn = *this->entry.mutable_turn();
    turn.set_team(record.program.team);
    turn.set_program(record.program.id);
    turn.set_turn(record.turn);
    turn.set_previous(record.previous);
    turn.set_base(record.base);
    turn.set_input(record.input);
    turn.set_output(record.output);
    turn.set_ended_at(record.ended_at);
    turn.set_expires_at(record.expires_at);
    turn.set_spent(record.spent);
  }
};

}  // namespace

std::string EncodeSlotRecord(const SlotRecord& record) {
  pb::SlotEntry entry;
  std::visit(Encoder{entry}, record);
  return entry.SerializeAsString();
}

std::optional<SlotRecord> DecodeSlotRecord(std::string_view bytes) {
  pb::SlotEntry entry;
  if (!entry.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  switch (entry.record_case()) {
    case pb::SlotEntry::kClaim:
      return ClaimRecord{entry.claim().holder(), entry.claim().epoch(),
                         CoverOf(entry.claim())};
    case pb::SlotEntry::kSpend: {
      const pb::SlotSpend& spend = entry.spend();
      return SpendRecord{.program = {spend.team(), spend.program()},
                         .spent = spend.spent(),
                         .ceiling = spend.ceiling(),
                         .largest = spend.largest(),
                         .slack_used = spend.slack_used()};
    }
    case pb::SlotEntry::kTurn: {
      const pb::SlotTurn& turn = entry.turn();
      return TurnRecord{.program = {turn.team(), turn.program()},
                        .turn = turn.turn(),
                        .previous = turn.previous(),
                        .base = turn.base(),
                        .input = turn.input(),
                        .output = turn.output(),
                        .ended_at = turn.ended_at(),
                        .expires_at = turn.expires_at(),
                        .spent = turn.spent()};
    }
    case pb::SlotEntry::kRate:
      return RateRecord{entry.rate().team(), entry.rate().kept()};
    case pb::SlotEntry::kStream: {
      const pb::SlotStream& stream = entry.stream();
      return StreamRecord{
          .stream = {stream.team(), stream.call()},
          .origin = {stream.origin().service(), stream.origin().version()},
          .began_at = stream.began_at()};
    }
    case pb::SlotEntry::RECORD_NOT_SET:
      break;
  }
  return std::nullopt;
}

}  // namespace celerykeel

#include "celerykeel/wire/rate_codec.h"

#include <cmath>  // for std::isfinite

#include "celerykeel/rate.pb.h"  // for pb::RateMessage

namespace celerykeel {

namespace {

using std::chrono::milliseconds;

void Encode(const RequestedLoan& wish, pb::RateMessage& message) {
  pb::LoanRequest& request = *message.mutable_request();
  request.set_id(wish.id.request);
  request.set_team(wish.share.team);
  request.set_share(wish.share.share);
  request.set_needed(wish.needed);
  request.set_tokens(wish.wanted);
}

void Encode(const LoanGrant& grant, pb::RateMessage& message) {
  pb::LoanGrant& out = *message.mutable_grant();
  out.set_id(grant.request);
  out.set_team(grant.share.team);
  out.set_share(grant.share.share);
  out.set_tokens(grant.tokens);
  out.set_retry_after_ms(static_cast<uint64_t>(
      std::chrono::ceil<milliseconds>(grant.retry_after).count()));
  out.set_not_home(grant.not_home);
}

void Encode(const LoanReport& update, pb::RateMessage& message) {
  pb::LoanReturn& out = *message.mutable_giving_back();
  out.set_team(update.share.team);
  out.set_share(update.share.share);
  out.set_loan(update.request);
  out.set_tokens(update.tokens);
  out.set_closed(update.closed);
}

void Encode(const LoanRecall& recall, pb::RateMessage& message) {
  message.mutable_recall()->set_team(recall.share.team);
  message.mutable_recall()->set_share(recall.share.share);
}

void Encode(const HandoverNotice& note, pb::RateMessage& message) {
  pb::LevelReport& out = *message.mutable_level();
  out.set_team(note.handover.share.team);
  out.set_share(note.handover.share.share);
  out.set_level(note.handover.level);
  out.set_lent(note.handover.lent);
  out.set_roster_version(note.roster_version);
  out.set_resigned(note.resigned);
}

void Encode(const ReleaseNotice& note, pb::RateMessage& message) {
  message.mutable_release()->set_roster_version(note.roster_version);
  message.mutable_release()->set_handovers(note.handovers);
}

bool IsAmount(double tokens) {
  return std::isfinite(tokens) && tokens >= 0;
}

std::optional<RateGateMessage> Decode(const pb::RateMessage& message) {
  switch (message.kind_case()) {
    case pb::RateMessage::kRequest: {
      const auto& in = message.request();
      if (!IsAmount(in.needed()) || !IsAmount(in.tokens())) {
        return std::nullopt;
      }
      return RequestedLoan{.share = {in.team(), in.share()},
                           .id = {message.from(), in.id()},
                           .needed = in.needed(),
                           .wanted = in.tokens()};
    }
    case pb::RateMessage::kGrant: {
      const auto& in = message.grant();
      if (!IsAmount(in.tokens())) {
        return std::nullopt;
      }
      return LoanGrant{.share = {in.team(), in.share()},
                       .request = in.id(),
                       .tokens = in.tokens(),
                       .retry_after = milliseconds(in.retry_after_ms()),
                       .not_home = in.not_home()};
    }
    case pb::RateMessage::kGivingBack: {
      const auto& in = message.giving_back();
      if (!IsAmount(in.tokens())) {
        return std::nullopt;
      }
      return LoanReport{
          {in.team(), in.share()}, in.loan(), in.tokens(), in.closed()};
    }
    case pb::RateMessage::kRecall:
      return LoanRecall{{message.recall().team(), message.recall().share()}};
    case pb::RateMessage::kLevel: {
      const auto& in = message.level();
      if (!IsAmount(in.level()) || !IsAmount(in.lent())) {
        return std::nullopt;
      }
      return HandoverNotice{.handover = {.share = {in.team(), in.share()},
                                         .level = in.level(),
                                         .lent = in.lent()},
                            .roster_version = in.roster_version(),
                            .resigned = in.resigned()};
    }
    case pb::RateMessage::kRelease:
      return ReleaseNotice{.roster_version = message.release().roster_version(),
                           .handovers = message.release().handovers()};
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string EncodeRateEnvelope(const RateEnvelope& envelope) {
  pb::RateMessage message;
  message.set_from(envelope.from);
  std::visit([&message](const auto& note) { Encode(note, message); },
             envelope.note);
  return message.SerializeAsString();
}

std::optional<RateEnvelope> DecodeRateEnvelope(std::string_view bytes) {
  pb::RateMessage message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  auto note = Decode(message);
  if (!note) {
    return std::nullopt;
  }
  return RateEnvelope{.from = message.from(), .note = std::move(*note)};
}

}  // namespace celerykeel

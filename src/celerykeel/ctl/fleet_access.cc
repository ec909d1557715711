#include "celerykeel/ctl/fleet_access.h"

#include <algorithm>  // for std::stable_sort
#include <utility>    // for std::move

#include "celerykeel/feed.pb.h"           // for pb::FeedRequest, pb::FeedReply
#include "celerykeel/wire/fleet_codec.h"  // for FromProto

namespace celerykeel {

namespace {

std::optional<pb::FeedReply> ParseReply(std::string_view bytes) {
  pb::FeedReply reply;
  if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  return reply;
}

Question StatusQuestion(Exchange& exchange,
                        const std::string& address,
                        bool brief) {
  const uint64_t id = exchange.NextId();
  pb::FeedRequest request;
  request.mutable_status()->set_id(id);
  request.mutable_status()->set_brief(brief);
  return Question{
      address, request.SerializeAsString(), [id](std::string_view bytes) {
        const auto reply = ParseReply(bytes);
        return reply && reply->has_status() && reply->status().id() == id;
      }};
}

// An address may by now belong to another instance; that is no answer.
void TakeProgress(const std::optional<std::string>& answer,
                  MemberProgress& entry) {
  const auto reply = answer ? ParseReply(*answer) : std::nullopt;
  if (!reply || reply->status().instance() != entry.instance) {
    return;
  }
  entry.offset = reply->status().state().offset();
  entry.log_reachable = reply->status().log_reachable();
  entry.lease_left = std::chrono::milliseconds(reply->status().lease_left_ms());
}

AppendResult ToResult(const pb::FeedAppendReply& reply) {
  AppendResult result;
  result.first_offset = reply.first_offset();
  result.retry_after = std::chrono::milliseconds(reply.retry_after_ms());
  if (reply.outcome() == pb::APPENDED) {
    result.outcome = AppendOutcome::kAppended;
  } else if (reply.outcome() == pb::NOT_APPENDED) {
    result.outcome = AppendOutcome::kNotAppended;
  }
  return result;
}

}  // namespace

std::optional<InstanceStatus> FetchStatus(Exchange& exchange,
                                          const std::string& feed,
                                          Duration timeout) {
  const auto answers =
      exchange.Ask({StatusQuestion(exchange, feed, /*brief=*/false)}, timeout);
  if (!answers[0]) {
    return std::nullopt;
  }
  const auto reply = ParseReply(*answers[0]);
  const pb::FeedStatus& status = reply->status();
  return InstanceStatus{status.instance(), FromProto(status.state()),
                        status.log_reachable(),
                        std::chrono::milliseconds(status.lease_left_ms())};
}

std::vector<MemberProgress> FetchProgress(Exchange& exchange,
                                          const InstanceStatus& status,
                                          const std::string& feed,
                                          Duration timeout) {
  std::vector<MemberProgress> progress;
  std::vector<Question> questions;
  for (const auto& [incarnation, member] : status.state.members) {
    MemberProgress& entry = progress.emplace_back();
    entry.instance = member.join.instance;
    entry.availability_zone = member.join.availability_zone;
    entry.incarnation = incarnation;
    const std::string& address =
        entry.instance == status.instance ? feed : member.join.feed_address;
    entry.asked = !address.empty();
    if (entry.asked) {
      questions.push_back(StatusQuestion(exchange, address, /*brief=*/true));
    }
  }
  const auto answers = exchange.Ask(std::move(questions), timeout);
  auto answer = answers.begin();
  for (MemberProgress& entry : progress) {
    if (entry.asked) {
      TakeProgress(*answer++, entry);
    }
  }
  std::stable_sort(
      progress.begin(), progress.end(),
      [](const auto& a, const auto& b) { return a.instance < b.instance; });
  return progress;
}

AppendResult AppendRecord(Exchange& exchange,
                          const std::string& feed,
                          std::string record,
                          Duration timeout) {
  const uint64_t id = exchange.NextId();
  pb::FeedRequest request;
  request.mutable_append()->set_id(id);
  request.mutable_append()->set_stream(pb::FLEET);
  request.mutable_append()->add_payloads(std::move(record));
  const auto answers = exchange.Ask({{feed, request.SerializeAsString(),
                                      [id](std::string_view bytes) {
                                        const auto reply = ParseReply(bytes);
                                        return reply && reply->has_append() &&
                                               reply->append().id() == id;
                                      }}},
                                    timeout);
  return answers[0] ? ToResult(ParseReply(*answers[0])->append())
                    : AppendResult{};
}

}  // namespace celerykeel

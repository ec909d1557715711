#include "celerykeel/wire/crash_codec.h"

#include <xxhash.h>  // for XXH3_64bits_withSeed

#include <algorithm>  // for std::clamp, std::min, std::max
#include <utility>    // for std::pair

#include <fmt/format.h>  // for fmt::format

namespace celerykeel {

namespace {

using std::chrono::milliseconds;

constexpr uint64_t kMaxAgeMs =
    2 * std::chrono::duration_cast<milliseconds>(kCrashRecordLifetime).count();

uint64_t AgeMs(Duration at, Duration now) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - at).count();
  return static_cast<uint64_t>(std::max<int64_t>(age, 0));
}

// Returns when something happened that is `age_ms` old. An age beyond the
// lifetime of the records may be shortened.
Duration TimeOfAge(uint64_t age_ms, Duration now) {
  return now - milliseconds(std::min(age_ms, kMaxAgeMs));
}

}  // namespace

pb::RequestIdentity ToProto(const RequestIdentity& request) {
  pb::RequestIdentity out;
  out.set_team(request.team);
  out.set_hash_high(request.group_high);
  out.set_hash_low(request.group_low);
  if (!(request == GroupOf(request))) {
    out.set_whole_high(request.hash_high);
    out.set_whole_low(request.hash_low);
  }
  return out;
}

RequestIdentity FromProto(const pb::RequestIdentity& request) {
  const bool has_whole = request.whole_high() != 0 || request.whole_low() != 0;
  return {.team = request.team(),
          .hash_high = has_whole ? request.whole_high() : request.hash_high(),
          .hash_low = has_whole ? request.whole_low() : request.hash_low(),
          .group_high = request.hash_high(),
          .group_low = request.hash_low()};
}

pb::CrashedRun ToProto(const CrashedRun& run, Duration now) {
  pb::CrashedRun out;
  *out.mutable_request() = ToProto(run.request);
  out.set_endpoint(run.endpoint.endpoint);
  out.set_started_at(run.endpoint.started_at);
  out.set_age_ms(AgeMs(run.crashed_at, now));
  out.set_seen_age_ms(AgeMs(run.seen_at, now));
  out.set_began_recently(run.began_recently);
  out.set_others_missing(run.others_missing);
  return out;
}

CrashedRun FromProto(const pb::CrashedRun& run, Duration now) {
  return {
      .request = FromProto(run.request()),
      .endpoint = {.endpoint = run.endpoint(), .started_at = run.started_at()},
      .crashed_at = TimeOfAge(run.age_ms(), now),
      .began_recently = run.began_recently(),
      .others_missing = run.others_missing(),
      .seen_at = TimeOfAge(run.seen_age_ms(), now)};
}

pb::CompletedRun CompletedRunOf(const RequestIdentity& request,
                                bool clears_group) {
  pb::CompletedRun out;
  *out.mutable_completed() = ToProto(request);
  if (clears_group) {
    *out.mutable_request() = out.completed();
  }
  return out;
}

std::pair<RequestIdentity, Duration> FromProto(const pb::CompletedRun& run,
                                               Duration now) {
  return {FromProto(run.has_completed() ? run.completed() : run.request()),
          TimeOfAge(run.age_ms(), now)};
}

std::string StoredCrashKey(const CrashedRun& run) {
  const std::string& team = run.request.team;
  const std::string& endpoint = run.endpoint.endpoint;
  return fmt::format(
      "{}-{:016x}-{:016x}", HashText(run.request),
      XXH3_64bits(team.data(), team.size()),
      XXH3_64bits_withSeed(endpoint.data(), endpoint.size(),
                           static_cast<uint64_t>(run.endpoint.started_at)));
}

std::string EncodeStoredCrash(const CrashedRun& run,
                              Duration now,
                              WallMillis wall_now) {
  pb::CrashedRun out = ToProto(run, now);
  out.set_written_at(wall_now);
  return out.SerializeAsString();
}

std::optional<CrashedRun> DecodeStoredCrash(std::string_view bytes,
                                            Duration now,
                                            WallMillis wall_now) {
  pb::CrashedRun run;
  if (!run.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      run.endpoint().empty()) {
    return std::nullopt;
  }
  // Clocks differ between instances, and may have been set back.
  const WallMillis written_at =
      std::clamp(run.written_at(),
                 wall_now - static_cast<WallMillis>(kMaxAgeMs), wall_now);
  const auto stored_for = static_cast<uint64_t>(wall_now - written_at);
  run.set_age_ms(std::min(run.age_ms(), kMaxAgeMs) + stored_for);
  run.set_seen_age_ms(std::min(run.seen_age_ms(), kMaxAgeMs) + stored_for);
  return FromProto(run, now);
}

}  // namespace celerykeel

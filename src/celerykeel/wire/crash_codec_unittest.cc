#include "celerykeel/wire/crash_codec.h"

#include <doctest/doctest.h>

#include <limits>  // for std::numeric_limits

namespace celerykeel {
namespace {

using std::chrono::seconds;

const CrashedRun kRun{.request = {.team = "orchard",
                                  .hash_high = 1,
                                  .hash_low = 2,
                                  .group_high = 3,
                                  .group_low = 4},
                      .endpoint = {.endpoint = "e1", .started_at = 7},
                      .crashed_at = seconds(100),
                      .began_recently = true,
                      .others_missing = true,
                      .seen_at = seconds(130)};

bool IsSame(const CrashedRun& a, const CrashedRun& b) {
  return a.request == b.request && GroupOf(a.request) == GroupOf(b.request) &&
         a.endpoint == b.endpoint && a.crashed_at == b.crashed_at &&
         a.began_recently == b.began_recently &&
         a.others_missing == b.others_missing && a.seen_at == b.seen_at;
}

TEST_CASE("a crashed run keeps its ages on the way to another clock") {
  const CrashedRun read = FromProto(ToProto(kRun, seconds(140)), seconds(1040));
  CHECK(read.crashed_at == seconds(1000));
  CHECK(read.seen_at == seconds(1030));
  CHECK(read.began_recently);
  CHECK(read.others_missing);
}

TEST_CASE("a stored crashed run ages in the store") {
  const std::string bytes = EncodeStoredCrash(kRun, seconds(140), 1'000'000);
  const auto read = DecodeStoredCrash(bytes, seconds(200), 1'060'000);
  REQUIRE(read);
  CHECK(IsSame(*read, kRun));
  // Set back clocks and absurd values make no difference of more than the
  // lifetime.
  const auto set_back = DecodeStoredCrash(bytes, seconds(140), 900'000);
  REQUIRE(set_back);
  CHECK(IsSame(*set_back, kRun));
  pb::CrashedRun absurd = ToProto(kRun, seconds(140));
  absurd.set_age_ms(std::numeric_limits<uint64_t>::max());
  absurd.set_seen_age_ms(std::numeric_limits<uint64_t>::max());
  absurd.set_written_at(std::numeric_limits<int64_t>::min());
  const auto clamped =
      DecodeStoredCrash(absurd.SerializeAsString(), seconds(140), 1'000'000);
  REQUIRE(clamped);
  CHECK(clamped->seen_at + kCrashRecordLifetime <= seconds(140));
  CHECK(!DecodeStoredCrash("\xff\xff", seconds(1), 1));
  CHECK(!DecodeStoredCrash("", seconds(1), 1));
}

TEST_CASE("keys in the store are short, and one for each crash of a request") {
  CrashedRun other = kRun;
  other.endpoint.started_at = 8;
  CHECK(StoredCrashKey(kRun) != StoredCrashKey(other));
  other = kRun;
  other.request.team = std::string(1000, 't');
  CHECK(StoredCrashKey(other).size() <= 80);
  CHECK(StoredCrashKey(kRun) != StoredCrashKey(other));
}

}  // namespace
}  // namespace celerykeel

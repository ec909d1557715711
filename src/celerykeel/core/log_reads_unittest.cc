#include "celerykeel/core/log_reads.h"

#include <doctest/doctest.h>

#include <map>     // for std::map
#include <vector>  // for std::vector

#include "celerykeel/core/link_rate.h"  // for BytesWithin

namespace celerykeel {
namespace {

constexpr size_t kRecordBytes = 262144 + 20;
constexpr double kSlowMbps = 22;  // the slowest link of the known deployments

LogReads ReadsOver(double mbps) {
  LogReads reads;
  reads.link_mbps = mbps;
  reads.min_bytes = kRecordBytes;
  return reads;
}

size_t StartAll(LogReads& reads) {
  size_t started = 0;
  while (StartNextRead(reads)) {
    ++started;
  }
  return started;
}

// Guards against reads that share a slow link, so that none ends in time: an
// instance that takes all slots after a loss of all others.
TEST_CASE("reads under way are bounded by the link") {
  for (const double mbps : {1.0, kSlowMbps, 30.0, 600.0}) {
    LogReads reads = ReadsOver(mbps);
    for (int log = 0; log < 64; ++log) {
      QueueRead(reads, 6'000'000);
    }
    REQUIRE(StartAll(reads) >= 1);
    size_t bytes = 0;
    for (const auto& [read, requested] : reads.under_way) {
      CHECK(requested >= kRecordBytes);
      bytes += requested;
    }
    if (reads.under_way.size() > 1) {
      CHECK(bytes <= BytesWithin(mbps, std::chrono::milliseconds(200)));
    }
  }
}

TEST_CASE("each read is followed by the next one until all logs were read") {
  LogReads reads = ReadsOver(kSlowMbps);
  std::vector<int> left{3, 1, 2};  // reads, by log
  std::map<uint64_t, size_t> log_of_read;
  for (size_t log = 0; log < left.size(); ++log) {
    log_of_read[QueueRead(reads, 0)] = log;
  }
  std::vector<size_t> done;
  while (StartAll(reads) > 0 || !reads.under_way.empty()) {
    const uint64_t read = reads.under_way.begin()->first;
    const size_t log = log_of_read[read];
    EndRead(reads, read, true);
    if (--left[log] == 0) {
      done.push_back(log);
    } else {
      log_of_read[QueueRead(reads, static_cast<uint64_t>(left[log]) * 1000)] =
          log;
    }
  }
  CHECK(done == std::vector<size_t>{1, 2, 0});
}

// Guards against the rates and budgets of small slots that wait for the long
// logs of others.
TEST_CASE("short logs are read before long ones") {
  LogReads reads = ReadsOver(kSlowMbps);
  reads.link_mbps = 1;  // one read at a time
  const uint64_t of_long = QueueRead(reads, 6'000'000);
  const uint64_t of_short = QueueRead(reads, 20'000);
  const uint64_t of_unknown = QueueRead(reads, 0);  // not read so far
  CHECK(StartNextRead(reads) == of_unknown);
  CHECK_FALSE(StartNextRead(reads));
  EndRead(reads, of_unknown, true);
  CHECK(StartNextRead(reads) == of_short);
  EndRead(reads, of_short, true);
  CHECK(StartNextRead(reads) == of_long);
}

TEST_CASE("failed reads reduce the part of the link that is used") {
  LogReads reads = ReadsOver(600);
  const size_t at_first = BytesPerRead(reads);
  for (int i = 0; i < 10; ++i) {
    const uint64_t read = QueueRead(reads, 0);
    REQUIRE(StartNextRead(reads) == read);
    EndRead(reads, read, false);
  }
  CHECK(BytesPerRead(reads) == kRecordBytes);
  for (int i = 0; i < 10; ++i) {
    const uint64_t read = QueueRead(reads, 0);
    REQUIRE(StartNextRead(reads) == read);
    EndRead(reads, read, true);
  }
  CHECK(BytesPerRead(reads) == at_first);
}

TEST_CASE("a link of unknown rate bounds nothing") {
  LogReads reads = ReadsOver(0);
  for (int log = 0; log < 8; ++log) {
    QueueRead(reads, 6'000'000);
  }
  CHECK(StartAll(reads) == 8);
}

TEST_CASE("the bytes left are estimated by the records read") {
  CHECK(EstimateBytesLeft({}) == 0);
  CHECK(EstimateBytesLeft(
            {.records_read = 10, .bytes_read = 5000, .records_left = 4}) ==
        2000);
}

}  // namespace
}  // namespace celerykeel

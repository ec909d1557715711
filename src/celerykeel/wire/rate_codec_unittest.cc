#include "celerykeel/wire/rate_codec.h"

#include <doctest/doctest.h>

#include <limits>  // for std::numeric_limits

namespace celerykeel {
namespace {

TEST_CASE(
    "every kind of rate message survives encoding and decoding unchanged") {
  const RateShare share{"orchard", 1};
  const std::vector<RateGateMessage> notes = {
      RequestedLoan{share, {7, 3}, 1, 2.5},
      LoanGrant{share, 3, 2.5, std::chrono::milliseconds(20), true},
      LoanReport{share, 3, 0.5, true},
      LoanRecall{share},
      HandoverNotice{{share, 4, 1.5}, 12, true},
      ReleaseNotice{12, 2}};
  for (const RateGateMessage& note : notes) {
    const std::string bytes = EncodeRateEnvelope({7, note});
    const auto envelope = DecodeRateEnvelope(bytes);
    REQUIRE(envelope);
    CHECK(envelope->from == 7);
    CHECK(envelope->note.index() == note.index());
    CHECK(EncodeRateEnvelope(*envelope) == bytes);
  }
}

TEST_CASE("truncated messages and invalid amounts are rejected") {
  const RateShare share{"orchard", 0};
  const std::string complete =
      EncodeRateEnvelope({7, RequestedLoan{share, {7, 3}, 1, 2}});
  CHECK_FALSE(DecodeRateEnvelope(complete.substr(0, complete.size() - 1)));
  CHECK_FALSE(DecodeRateEnvelope(""));
  for (const double amount : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity()}) {
    CHECK_FALSE(DecodeRateEnvelope(
        EncodeRateEnvelope({7, LoanGrant{share, 3, amount, {}, false}})));
  }
}

}  // namespace
}  // namespace celerykeel

#include "celerykeel/core/header_names.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

TEST_CASE("header names are compared without regard to case") {
  CHECK(IsSameHeaderName("Transfer-Encoding", "transfer-ENCODING"));
  CHECK_FALSE(IsSameHeaderName("TE", "TEA"));
  CHECK_FALSE(IsSameHeaderName("", "TE"));
}

TEST_CASE("hop-by-hop headers are recognized") {
  CHECK(IsHopByHop("connection"));
  CHECK(IsHopByHop("Content-length"));
  CHECK_FALSE(IsHopByHop("Content-Type"));
}

}  // namespace
}  // namespace celerykeel

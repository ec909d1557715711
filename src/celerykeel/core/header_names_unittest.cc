#include "celerykeel/core/header_names.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

TEST_CASE("names of headers have no case") {
  CHECK(SameName("Transfer-Encoding", "transfer-ENCODING"));
  CHECK_FALSE(SameName("TE", "TEA"));
  CHECK_FALSE(SameName("", "TE"));
}

TEST_CASE("headers of one connection are known") {
  CHECK(IsHopByHop("connection"));
  CHECK(IsHopByHop("Content-length"));
  CHECK_FALSE(IsHopByHop("Content-Type"));
}

}  // namespace
}  // namespace celerykeel

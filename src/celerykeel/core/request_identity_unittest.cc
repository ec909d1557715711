#include "celerykeel/core/request_identity.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

TEST_CASE("copies of a request of a team have one identity") {
  const RequestIdentity identity = IdentityOf("orchard", "POST", "/a", "body");
  CHECK(identity == IdentityOf("orchard", "POST", "/a", "body"));
  CHECK(identity != IdentityOf("small", "POST", "/a", "body"));
  CHECK(identity != IdentityOf("orchard", "GET", "/a", "body"));
  CHECK(identity != IdentityOf("orchard", "POST", "/ab", "ody"));
  CHECK(identity != IdentityOf("orchard", "POST", "/a", "other"));
  const std::string begin(kGroupBodyBytes, 'b');
  const auto group_of = [&begin](const std::string& more) {
    return GroupOf(IdentityOf("orchard", "POST", "/a", begin + more));
  };
  CHECK(IdentityOf("orchard", "POST", "/a", begin) !=
        IdentityOf("orchard", "POST", "/a", begin + "more"));
  CHECK(group_of("") == group_of("more"));
  CHECK(group_of("") != IdentityOf("orchard", "POST", "/a", begin));
  CHECK(HashText(identity).size() == 32);
  CHECK(HashText(identity) == HashText(IdentityOf("x", "POST", "/a", "body")));
}

// Instances of two builds must agree on the identity of a request.
TEST_CASE("the identity of a request does not change between builds") {
  const RequestIdentity identity =
      IdentityOf("orchard", "POST", "/a/b?c", "body");
  CHECK(HashText(GroupOf(identity)) == "a4db6e8d5bff96e82b5e05a8f04de13c");
  CHECK(HashText(identity) == "c372e99019a7311f42e76aa05afb0c88");
}

}  // namespace
}  // namespace celerykeel

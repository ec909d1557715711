#include <doctest/doctest.h>

#include <vector>  // for std::vector

#include "celerykeel/core/endpoint_path.h"  // for EndpointPath

namespace celerykeel {
namespace {

constexpr Duration kNow = std::chrono::seconds(100);
constexpr size_t kEndpoints = 9;

TEST_CASE("an instance that fails to connect to two endpoints is cut off") {
  EndpointPath path;
  CHECK_FALSE(RecordConnectFailure(path, "e1", kEndpoints, kNow));

  SUBCASE("one endpoint that fails again and again is at fault itself") {
    CHECK_FALSE(RecordConnectFailure(path, "e1", kEndpoints, kNow));
    CHECK_FALSE(path.is_cut_off);
  }
  SUBCASE("a connection in between shows that the way is open") {
    CHECK_FALSE(RecordConnectSuccess(path, "e3", kEndpoints));
    CHECK_FALSE(RecordConnectFailure(path, "e2", kEndpoints, kNow));
  }
  SUBCASE("failures that lie far apart have other causes") {
    CHECK_FALSE(RecordConnectFailure(path, "e2", kEndpoints,
                                     kNow + 2 * kConnectFailureWindow));
  }
  SUBCASE("the only endpoint of a deployment is enough") {
    CHECK(RecordConnectFailure(path, "e1", 1, kNow));
  }
  SUBCASE("until several endpoints are reached in a row") {
    CHECK(RecordConnectFailure(path, "e2", kEndpoints, kNow));
    CHECK(path.is_cut_off);
    CHECK_FALSE(RecordConnectFailure(path, "e3", kEndpoints, kNow));
    CHECK_FALSE(RecordConnectSuccess(path, "e1", kEndpoints));
    CHECK_FALSE(RecordConnectSuccess(path, "e1", kEndpoints));
    CHECK_FALSE(RecordConnectSuccess(path, "e2", kEndpoints));
    CHECK_FALSE(RecordConnectFailure(path, "e4", kEndpoints, kNow));
    CHECK_FALSE(RecordConnectSuccess(path, "e1", kEndpoints));
    CHECK_FALSE(RecordConnectSuccess(path, "e2", kEndpoints));
    CHECK(RecordConnectSuccess(path, "e3", kEndpoints));
    CHECK_FALSE(path.is_cut_off);
    CHECK_FALSE(RecordConnectFailure(path, "e1", kEndpoints, kNow));
  }
}

TEST_CASE("tunnels of a cut-off zone are spread over the other zones") {
  std::vector<TunnelPeer> peers;
  CHECK(ChooseTunnelPeer(peers, "c") == nullptr);
  for (const char* instance : {"a", "b", "c", "d"}) {
    peers.push_back({.instance = instance, .is_in_zone = false});
  }
  for (int i = 0; i < 40; ++i) {
    const TunnelPeer* peer = ChooseTunnelPeer(peers, std::to_string(i));
    ++peers[static_cast<size_t>(peer - peers.data())].tunnels;
  }
  for (const TunnelPeer& peer : peers) {
    CHECK(peer.tunnels == 10);
  }
}

TEST_CASE("a peer in the zone is preferred unless it has many tunnels") {
  std::vector<TunnelPeer> peers{{.instance = "far", .is_in_zone = false},
                                {.instance = "near", .is_in_zone = true}};
  peers[1].tunnels = 3;
  CHECK(ChooseTunnelPeer(peers, "c")->instance == "near");
  peers[1].tunnels = 20;
  CHECK(ChooseTunnelPeer(peers, "c")->instance == "far");
}

}  // namespace
}  // namespace celerykeel

#include "celerykeel/node/turn_wait.h"

#include "celerykeel/base/clock.h"         // for Now
#include "celerykeel/node/node.h"          // for Node
#include "celerykeel/node/store_client.h"  // for AwaitStore

namespace celerykeel {

namespace {

Duration WaitForStore(const Node& node, const Call& call) {
  return WorthwhileWait(node.store.outages, TimeLeft(call), Now());
}

}  // namespace

Task<bool> AwaitCoverage(Node& node, CallPtr call, const TurnPermit& permit) {
  if (permit.grant.covered() || IsStoreAvailable(node)) {
    co_return true;
  }
  const Duration longest = WaitForStore(node, *call);
  const auto covered = co_await permit.covered->Wait(longest);
  co_return covered.value_or(false);
}

Task<bool> AwaitStoreForEnd(Node& node, CallPtr call) {
  if (!call->route->retained || IsStoreAvailable(node) ||
      CanBeRecordedInTime(node.store.outages, TimeLeft(*call), Now())) {
    co_return true;
  }
  const Duration longest = WaitForStore(node, *call);
  co_return co_await AwaitStore(node, longest);
}

}  // namespace celerykeel

#include "celerykeel/node/turn_refusal.h"

#include <algorithm>  // for std::max

#include "celerykeel/base/clock.h"       // for Now
#include "celerykeel/core/rendezvous.h"  // for FractionOfHash
#include "celerykeel/node/node.h"        // for Node

namespace celerykeel {

namespace {

constexpr int kPaymentRequired = 402;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr Duration kHolderRetry = std::chrono::milliseconds(500);
// Callers retry after at most a third of the time that they have.
constexpr int kRetryDivisor = 3;
constexpr Duration kRetryMargin = std::chrono::milliseconds(40);

}  // namespace

CallRefusal StoreUnavailable(const Node& node, const Call& call) {
  const Duration most = TimeLeft(call) / kRetryDivisor - kRetryMargin;
  const Duration left = ExpectedOutageLeft(node.store.outages, Now());
  const double spread =
      FractionOfHash(RendezvousWeight("retry", call.request.header_values.id));
  return {kUnavailable, "not run: the store is away",
          std::max(RetryAfterOutage(left, most, spread),
                   std::min(kHolderRetry, most))};
}

CallRefusal HolderNotAllowed() {
  return {kUnavailable,
          "not run: the program's holder is in a region that is not allowed",
          kHolderRetry};
}

std::optional<CallRefusal> RefusalOfVerdict(pb::TurnGrant::Verdict verdict) {
  switch (verdict) {
    case pb::TurnGrant::GRANTED:
      return std::nullopt;
    case pb::TurnGrant::BUDGET_SPENT:
      return CallRefusal{kPaymentRequired, "not run: the budget is spent", {}};
    case pb::TurnGrant::NO_SUCH_TURN:
      return CallRefusal{kNotFound, "not run: no such turn", {}};
    case pb::TurnGrant::BUDGET_HELD:
      return CallRefusal{kUnavailable,
                         "not run: turns under way may need the rest of the "
                         "budget",
                         kHolderRetry};
    default:
      return CallRefusal{kUnavailable, "not run: the program has no holder now",
                         kHolderRetry};
  }
}

}  // namespace celerykeel

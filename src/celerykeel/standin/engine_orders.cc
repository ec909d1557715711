#include "celerykeel/standin/engine_orders.h"

#include <algorithm>  // for std::max

namespace celerykeel {

tl::expected<void, StaleFence> CarryOut(EngineOrders& orders,
                                        const EngineOrder& order,
                                        Duration now) {
  if (orders.checks_fencing && order.fence < orders.highest_fence) {
    return tl::unexpected(StaleFence{orders.highest_fence});
  }
  orders.highest_fence = std::max(orders.highest_fence, order.fence);
  orders.carried_out.push_back(order);
  switch (order.kind) {
    case OrderKind::kLoad:
      // What is loaded already stays in service when the order is repeated.
      orders.served.try_emplace(order.name, now + orders.load_time);
      break;
    case OrderKind::kUnload:
      orders.served.erase(order.name);
      break;
    case OrderKind::kRole:
      orders.role = order.name;
      break;
  }
  return {};
}

bool IsServed(const EngineOrders& orders, std::string_view name, Duration now) {
  const auto found = orders.served.find(name);
  return found != orders.served.end() && found->second <= now;
}

}  // namespace celerykeel

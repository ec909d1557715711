#pragma once

#include <cstdint>      // for uint64_t
#include <map>          // for std::map
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/identity.h"  // for Fence
#include "celerykeel/core/time.h"      // for Duration

namespace celerykeel {

enum class OrderKind { kLoad, kUnload, kRole };

/// @brief An order to an engine; `name` is a model or an adapter (kLoad,
/// kUnload) or the new role.
struct EngineOrder {
  Fence fence = 0;
  OrderKind kind = OrderKind::kLoad;
  std::string name;
};

/// @brief The order comes from a holder that was replaced.
struct StaleFence {
  Fence highest = 0;
};

/// @brief What an engine was told to do, and what it serves.
struct EngineOrders {
  bool checks_fencing = false;
  Fence highest_fence = 0;
  Duration load_time{};
  std::string role;
  std::map<std::string, Duration, std::less<>> served;  // name -> ready at
  std::vector<EngineOrder> carried_out;                 // oldest first
};

/// @brief Carries out an order, unless it is refused for its fence.
tl::expected<void, StaleFence> CarryOut(EngineOrders& orders,
                                        const EngineOrder& order,
                                        Duration now);

/// @brief Whether a model or an adapter is loaded.
bool IsServed(const EngineOrders& orders, std::string_view name, Duration now);

}  // namespace celerykeel

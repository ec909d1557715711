#include <httplib.h>  // for httplib::Server

#include <chrono>    // for std::chrono::milliseconds
#include <optional>  // for std::optional
#include <string>    // for std::string

#include <nlohmann/json.hpp>  // for nlohmann::json

#include "celerykeel/base/clock.h"            // for Now
#include "celerykeel/standin/engine_state.h"  // for EngineState

namespace celerykeel {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr uint64_t kCrossingMillis = 300;

const char* NameOf(OrderKind kind) {
  switch (kind) {
    case OrderKind::kLoad:
      return "load";
    case OrderKind::kUnload:
      return "unload";
    case OrderKind::kRole:
      return "role";
  }
  return "";
}

std::optional<OrderKind> ParseOrderKind(const json& text) {
  for (const OrderKind kind :
       {OrderKind::kLoad, OrderKind::kUnload, OrderKind::kRole}) {
    if (text == NameOf(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

// {"fence":12,"order":{"kind":"load","name":"celery-7b"}}
std::optional<EngineOrder> ParseOrder(std::string_view body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("fence") ||
      !parsed["fence"].is_number_unsigned() || !parsed.contains("order") ||
      !parsed["order"].is_object()) {
    return std::nullopt;
  }
  const json& order = parsed["order"];
  const auto kind =
      order.contains("kind") ? ParseOrderKind(order["kind"]) : std::nullopt;
  if (!kind || !order.contains("name") || !order["name"].is_string()) {
    return std::nullopt;
  }
  return EngineOrder{.fence = parsed["fence"].get<Fence>(),
                     .kind = *kind,
                     .name = order["name"].get<std::string>()};
}

void TakeOrder(EngineState& state, const Request& request, Response& response) {
  const auto order = ParseOrder(request.body);
  if (!order) {
    return RefuseRequest(response, 400, "bad_request",
                         "a fence and an order with kind and name are needed");
  }
  EngineLock lock(state.mutex);
  DelayAsAsked(state, lock);
  const auto carried_out = CarryOut(state.orders, *order, Now());
  state.counts.stale_fences += carried_out ? 0 : 1;
  response.status = carried_out ? 200 : 409;
  const json answer = {{"highest_fence", state.orders.highest_fence}};
  response.set_content(answer.dump(), kJsonType);
}

json OrdersJson(const EngineOrders& orders) {
  json list = json::array();
  for (const auto& [fence, kind, name] : orders.carried_out) {
    list.push_back({{"fence", fence}, {"kind", NameOf(kind)}, {"name", name}});
  }
  return list;
}

json ServedJson(const EngineOrders& orders, Duration now) {
  json served = json::object();
  for (const auto& [name, ready_at] : orders.served) {
    served[name] = ready_at <= now ? "ready" : "loading";
  }
  return served;
}

void ShowLoad(EngineState& state, Response& response) {
  const EngineLock lock(state.mutex);
  const LoadReport& report = ReadLagged(state.load, Now());
  const json shown = {
      {"running", report.running},
      {"waiting", report.waiting},
      {"slots", state.options.limits.slots},
      {"used_tokens", report.used_tokens},
      {"capacity_tokens", state.batcher.cache.capacity * kBlockTokens},
      {"measured_ms", report.measured_ms},
      {"role", state.orders.role},
      {"served", ServedJson(state.orders, Now())}};
  response.set_content(shown.dump(), kJsonType);
}

void ShowWitness(EngineState& state, Response& response) {
  const EngineLock lock(state.mutex);
  const json witness = {{"requests", state.counts.requests},
                        {"credentials", state.counts.credentials},
                        {"cancelled", state.counts.cancelled},
                        {"answers", state.counts.answers},
                        {"stale_fences", state.counts.stale_fences},
                        {"running", state.batcher.running.size()},
                        {"waiting", state.batcher.waiting.size()},
                        {"runs", state.runs.calls},
                        {"fences", state.fences},
                        {"orders", OrdersJson(state.orders)},
                        {"holdings", HeldTokens(state.batcher.cache)}};
  response.set_content(witness.dump(), kJsonType);
}

bool SetFault(EngineFaults& faults,
              const Request& request,
              std::string_view action) {
  const uint64_t count = QueryNumber(request, "count", 1);
  if (action == "die-mid-stream") {
    faults.dying_streams = count;
    faults.die_after = QueryNumber(request, "after", 1);
    faults.forgets_request = QueryNumber(request, "forget", 0) != 0;
  } else if (action == "torn") {
    faults.torn_streams = count;
  } else if (action == "duplicate") {
    faults.duplicated_events = count;
  } else if (action == "lose-answers") {
    faults.lost_answers = count;
  } else if (action == "crossed") {
    const bool is_on = QueryNumber(request, "on", 1) != 0;
    faults.crossing = is_on ? std::chrono::milliseconds(
                                  QueryNumber(request, "ms", kCrossingMillis))
                            : Duration::zero();
  } else if (action == "slow") {
    faults.delay = std::chrono::milliseconds(QueryNumber(request, "ms", 0));
  } else {
    return false;
  }
  return true;
}

}  // namespace

void AddReportRoutes(EngineState& state, httplib::Server& server) {
  server.Get("/load", [&state](const Request&, Response& response) {
    ShowLoad(state, response);
  });
  server.Get("/witness", [&state](const Request&, Response& response) {
    ShowWitness(state, response);
  });
}

void AddControlRoutes(EngineState& state, httplib::Server& server) {
  server.Post("/orders", [&state](const Request& request, Response& response) {
    TakeOrder(state, request, response);
  });
  server.Post(R"(/control/([a-z-]+))", [&state](const Request& request,
                                                Response& response) {
    const EngineLock lock(state.mutex);
    const std::string action = request.matches[1].str();
    response.status = SetFault(state.faults, request, action) ? 200 : 400;
  });
}

}  // namespace celerykeel

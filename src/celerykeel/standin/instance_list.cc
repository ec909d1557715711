#include "celerykeel/standin/instance_list.h"

#include <nlohmann/json.hpp>  // for nlohmann::json

namespace celerykeel {

namespace {

std::string_view NameOf(InstanceState state) {
  switch (state) {
    case InstanceState::kLive:
      return "live";
    case InstanceState::kLeaving:
      return "leaving";
    case InstanceState::kGone:
      return "gone";
  }
  return "";
}

}  // namespace

std::optional<InstanceState> ParseInstanceState(std::string_view text) {
  for (const InstanceState state :
       {InstanceState::kLive, InstanceState::kLeaving, InstanceState::kGone}) {
    if (text == NameOf(state)) {
      return state;
    }
  }
  return std::nullopt;
}

std::string RenderInstanceList(const InstanceList& list) {
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [name, state] : list) {
    entries.push_back({{"instance", name}, {"state", NameOf(state)}});
  }
  return entries.dump();
}

}  // namespace celerykeel

#include "celerykeel/node/options.h"

#include <fstream>   // for std::ifstream
#include <iterator>  // for std::istreambuf_iterator

#include <nlohmann/json.hpp>  // for nlohmann::json

namespace celerykeel {

namespace {

using nlohmann::json;

// Reads the fields and collects all errors, so that an operator can correct
// them in one pass.
struct FieldReader {
  const json& settings;
  std::vector<std::string>& errors;

  std::string Text(const char* name) const {
    const auto found = this->settings.find(name);
    if (found == this->settings.end() || !found->is_string() ||
        found->get<std::string>().empty()) {
      this->errors.push_back(std::string(name) + ": a text is missing");
      return {};
    }
    return found->get<std::string>();
  }

  std::string OptionalText(const char* name) const {
    return this->settings.contains(name) ? this->Text(name) : std::string();
  }

  bool OptionalFlag(const char* name) const {
    const auto found = this->settings.find(name);
    if (found == this->settings.end()) {
      return false;
    }
    if (!found->is_boolean()) {
      this->errors.push_back(std::string(name) + ": must be true or false");
      return false;
    }
    return found->get<bool>();
  }

  double Number(const char* name, double lowest, double highest) const {
    const auto found = this->settings.find(name);
    if (found == this->settings.end() || !found->is_number()) {
      this->errors.push_back(std::string(name) + ": a number is missing");
      return lowest;
    }
    const auto value = found->get<double>();
    if (value < lowest || value > highest) {
      this->errors.push_back(std::string(name) + ": must be from " +
                             std::to_string(lowest) + " to " +
                             std::to_string(highest));
      return lowest;
    }
    return value;
  }

  Duration Seconds(const char* name) const {
    constexpr double kMaxSeconds = 24 * 3600.0;
    return Duration(
        static_cast<int64_t>(this->Number(name, 0, kMaxSeconds) * 1e9));
  }
};

}  // namespace

tl::expected<NodeOptions, OptionErrors> ParseNodeOptions(
    const std::string& text) {
  const json settings = json::parse(text, nullptr, false);
  OptionErrors invalid;
  if (!settings.is_object()) {
    invalid.errors.emplace_back("the file is not a JSON object");
    return tl::unexpected(invalid);
  }
  constexpr double kMaxPort = 65535;
  constexpr double kMaxPartitions = 1024;
  constexpr double kMaxStoreBytes = 1e9;
  const FieldReader read{settings, invalid.errors};
  NodeOptions options;
  options.instance = read.Text("instance");
  options.zone = read.Text("zone");
  options.ip = read.Text("ip");
  options.callers_address = read.Text("callers_address");
  options.readiness_address = read.Text("readiness_address");
  options.metrics_address = read.OptionalText("metrics_address");
  options.peer_port =
      static_cast<uint16_t>(read.Number("peer_port", 1, kMaxPort));
  options.store_address = read.Text("store_address");
  options.store_partitions =
      static_cast<uint32_t>(read.Number("store_partitions", 1, kMaxPartitions));
  options.store_retention = read.Seconds("store_retention_s");
  options.store_record_bytes = static_cast<size_t>(
      read.Number("store_record_bytes", 1024, kMaxStoreBytes));
  options.store_call_bytes = static_cast<size_t>(
      read.Number("store_call_bytes", 1024, kMaxStoreBytes));
  options.stop_time = read.Seconds("stop_s");
  options.sends_priority = read.OptionalFlag("sends_priority");
  if (!invalid.errors.empty()) {
    return tl::unexpected(invalid);
  }
  return options;
}

tl::expected<NodeOptions, OptionErrors> LoadNodeOptions(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return tl::unexpected(OptionErrors{{path + ": can't be read"}});
  }
  return ParseNodeOptions(std::string(std::istreambuf_iterator<char>(file),
                                      std::istreambuf_iterator<char>()));
}

}  // namespace celerykeel

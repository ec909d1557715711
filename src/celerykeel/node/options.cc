#include "celerykeel/node/options.h"

#include <fstream>   // for std::ifstream
#include <iterator>  // for std::istreambuf_iterator
#include <optional>  // for std::optional

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

  // An object of texts, which may be absent.
  ZoneRegions OptionalRegions(const char* name) const {
    ZoneRegions regions;
    const auto found = this->settings.find(name);
    if (found == this->settings.end() || found->is_null()) {
      return regions;
    }
    if (!found->is_object()) {
      this->errors.push_back(std::string(name) + ": must be an object");
      return regions;
    }
    for (const auto& [zone, region] : found->items()) {
      if (zone.empty() || !region.is_string() ||
          region.get<std::string>().empty()) {
        this->errors.push_back(std::string(name) +
                               ": each zone needs the name of its region");
        return {};
      }
      regions[zone] = region.get<std::string>();
    }
    return regions;
  }

  // @return nothing if the field is missing or null.
  std::optional<size_t> OptionalCount(const char* name,
                                      double lowest,
                                      double highest) const {
    const auto found = this->settings.find(name);
    if (found == this->settings.end() || found->is_null()) {
      return std::nullopt;
    }
    return static_cast<size_t>(this->Number(name, lowest, highest));
  }

  // @return `lowest` if the field is missing or null.
  double OptionalNumber(const char* name, double lowest, double highest) const {
    const auto found = this->settings.find(name);
    return found == this->settings.end() || found->is_null()
               ? lowest
               : this->Number(name, lowest, highest);
  }

  Duration Seconds(const char* name) const {
    constexpr double kMaxSeconds = 24 * 3600.0;
    return Duration(
        static_cast<int64_t>(this->Number(name, 0, kMaxSeconds) * 1e9));
  }
};

void ReadCallerLimits(const FieldReader& read, NodeOptions& options) {
  constexpr double kMinMemory = 32;
  constexpr double kMaxMemory = 1e6;
  constexpr double kMinDescriptors = 300;
  constexpr double kMaxDescriptors = 1e7;
  constexpr double kMaxRate = 1e8;
  constexpr double kMinFields = 50;
  constexpr double kMaxFields = 10000;
  constexpr size_t kMegabyte = 1024UL * 1024;
  if (const auto memory =
          read.OptionalCount("memory_mb", kMinMemory, kMaxMemory)) {
    options.memory_bytes = *memory * kMegabyte;
  }
  options.max_descriptors =
      read.OptionalCount("max_fds", kMinDescriptors, kMaxDescriptors)
          .value_or(options.max_descriptors);
  options.min_body_bytes_per_second =
      read.OptionalCount("min_body_bytes_per_s", 1, kMaxRate)
          .value_or(options.min_body_bytes_per_second);
  options.max_header_fields =
      read.OptionalCount("max_header_fields", kMinFields, kMaxFields)
          .value_or(options.max_header_fields);
}

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
  options.zone_regions = read.OptionalRegions("zone_regions");
  ReadCallerLimits(read, options);
  constexpr double kMaxPrice = 1e6;
  options.zone_prices = {.per_gigabyte = read.OptionalNumber(
                             "cross_zone_byte_price", 0, kMaxPrice),
                         .per_caller_second = read.OptionalNumber(
                             "caller_time_price", 0, kMaxPrice)};
  if (options.zone_prices.per_gigabyte > 0 &&
      options.zone_prices.per_caller_second <= 0) {
    invalid.errors.emplace_back(
        "cross_zone_byte_price: needs a caller_time_price above 0");
  }
  constexpr double kMaxLink = 1e6;
  options.link_mbps = read.OptionalNumber("link_mbps", 0, kMaxLink);
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

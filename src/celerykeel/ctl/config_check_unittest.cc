#include "celerykeel/ctl/config_check.h"

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

constexpr uint64_t kRecordBytes = 262144;

// A sound configuration, with `from` replaced by `to`.
std::string ConfigurationWith(const std::string& from, const std::string& to) {
  std::string text =
      R"({"version":7,"routes":[{"name":"look","host":"h",)"
      R"("path_prefix":"/look/","route_kind":"idempotent","timeout_ms":1000,)"
      R"("target_latency_ms":200,"service":"app","max_attempts":2}],)"
      R"("services":[{"name":"app","health_path":"/healthz","max_conns":20}],)"
      R"("tenants":[{"name":"orchard","api_keys":["k1"],"rate_per_s":10,)"
      R"("burst":20}]})";
  if (const size_t at = text.find(from); !from.empty()) {
    REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
  }
  return text;
}

Report Check(const std::string& text,
             const std::optional<std::string>& against = std::nullopt) {
  return CheckConfiguration(text, against, kRecordBytes);
}

TEST_CASE("a sound configuration has no finding") {
  const Report report = Check(ConfigurationWith("", ""));
  CHECK(report.exit_status == 0);
  CHECK(report.data["findings"].empty());
}

// Guards against fields that the system replaces by defaults without a word.
TEST_CASE("a field with a wrong value is named with its place") {
  struct Row {
    const char* from;
    const char* to;
    const char* place;
  };
  for (const Row& row : {
           Row{R"("timeout_ms":1000)", R"("timeout_ms":"1 s")",
               "routes[0].timeout_ms"},
           Row{R"("rate_per_s":10)", R"("rate_per_s":-1)",
               "tenants[0].rate_per_s"},
           Row{R"("api_keys":["k1"])", R"("api_keys":"k1")",
               "tenants[0].api_keys"},
           Row{R"("host":"h",)", "", "routes[0].host"},
           Row{"\"idempotent\"", "\"idempotant\"", "routes[0].route_kind"},
           Row{R"("max_conns":20)", R"("max_conns":[20])",
               "services[0].max_conns"},
       }) {
    CAPTURE(row.place);
    const Report report = Check(ConfigurationWith(row.from, row.to));
    CHECK(report.exit_status == 1);
    REQUIRE_FALSE(report.data["findings"].empty());
    CHECK(report.data["findings"][0]["place"] == row.place);
  }
}

TEST_CASE("bytes that are no configuration end with status 2") {
  const Report broken = Check(ConfigurationWith("}]}", "}]"));
  CHECK(broken.exit_status == 2);
  CHECK(broken.text.find("byte ") != std::string::npos);
  CHECK(Check("[]").exit_status == 2);
  CHECK(Check(ConfigurationWith(R"("version":7,)", "")).exit_status == 2);
  CHECK(Check(ConfigurationWith("", ""), "{").exit_status == 2);
}

TEST_CASE("differences from another version are listed, and are no findings") {
  const Report report =
      Check(ConfigurationWith(R"("version":7)", R"("version":8)"),
            ConfigurationWith(R"("timeout_ms":1000)", R"("timeout_ms":2000)"));
  CHECK(report.exit_status == 0);
  REQUIRE(report.data["changes"].size() == 1);
  CHECK(report.data["changes"][0]["text"] == "timeout: 2000 ms -> 1000 ms");
}

}  // namespace
}  // namespace celerykeel

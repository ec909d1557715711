#include "celerykeel/net/settings.h"

#include <stdlib.h>  // for setenv, unsetenv

#include <doctest/doctest.h>

namespace celerykeel {
namespace {

constexpr char kUsage[] = R"(Usage: demo [options]

Options:
  --listen=ADDRESS  Where to listen.
  --patience=MS     How long to wait.
  --open            Take all.
  -h --help         Show this.
  --version         Show the version.
)";

tl::expected<SettingsReader, SettingsExit> Parse(
    std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "demo");
  return SettingsReader::Parse(kUsage, static_cast<int>(arguments.size()),
                               arguments.data());
}

TEST_CASE("a flag wins over the environment, the environment over a default") {
  setenv("CELERYKEEL_PATIENCE", "20", 1);
  auto without_flag = Parse({});
  REQUIRE(without_flag.has_value());
  CHECK(without_flag->Millis("patience", 10, 1, 100) ==
        std::chrono::milliseconds(20));
  auto with_flag = Parse({"--patience=30"});
  REQUIRE(with_flag.has_value());
  CHECK(with_flag->Millis("patience", 10, 1, 100) ==
        std::chrono::milliseconds(30));
  unsetenv("CELERYKEEL_PATIENCE");
  CHECK(Parse({})->Millis("patience", 10, 1, 100) ==
        std::chrono::milliseconds(10));
}

TEST_CASE("all mistakes are gathered") {
  auto reader = Parse({"--listen=nowhere", "--patience=0"});
  REQUIRE(reader.has_value());
  reader->Address("listen", "");
  reader->Millis("patience", 10, 1, 100);
  REQUIRE(reader->Mistakes().size() == 2);
  CHECK(reader->Mistakes()[0].flag == "listen");
  CHECK(reader->Mistakes()[1].wanted == "a number from 1 to 100");
}

TEST_CASE("help and version end with 0, unknown flags with 2") {
  CHECK(Parse({"--help"}).error().status == kExitDone);
  CHECK(Parse({"--version"}).error().status == kExitDone);
  CHECK(Parse({"--unknown"}).error().status == kExitUsage);
}

}  // namespace
}  // namespace celerykeel

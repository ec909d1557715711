#include "celerykeel/net/log_client.h"

#include <doctest/doctest.h>

#include "celerykeel/testing/fake_log.h"  // for FakeLog

namespace celerykeel {
namespace {

constexpr uint32_t kMany = 100;

LogClient ClientOf(const std::string& address) {
  LogClientOptions options;
  options.address = address;
  options.client = "instance-1";
  return LogClient::Create(options);
}

std::vector<std::string> Payloads(std::initializer_list<std::string> list) {
  return list;
}

TEST_CASE("payloads of one append take consecutive offsets") {
  FakeLog log;
  LogClient client = ClientOf(log.Address());
  CHECK(client.Append("s", Payloads({"a", "b"})) == Offset{1});
  CHECK(client.Append("s", Payloads({"c"})) == Offset{3});
  const auto page = client.Read("s", 2, kMany, {});
  REQUIRE(page.has_value());
  CHECK(page->earliest == 1);
  CHECK(page->next == 4);
  REQUIRE(page->entries.size() == 2);
  CHECK(page->entries[0].payload == "b");
  CHECK(page->entries[1].offset == 3);
}

TEST_CASE("a failed append says whether it had no effect for certain") {
  FakeLog log;
  LogClient client = ClientOf(log.Address());

  log.down = true;
  const auto refused = client.Append("s", Payloads({"a"}));
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().kind == LogErrorKind::kRefused);
  CHECK(IsCertain(refused.error()));

  log.down = false;
  log.lose_answers = 1;
  const auto lost = client.Append("s", Payloads({"b"}));
  REQUIRE_FALSE(lost.has_value());
  CHECK(lost.error().kind == LogErrorKind::kLost);
  CHECK_FALSE(IsCertain(lost.error()));
  CHECK(log.Records("s") == Payloads({"b"}));
}

TEST_CASE("an append without a connection had no effect for certain") {
  std::string address;
  {
    FakeLog log;
    address = log.Address();
  }
  LogClient client = ClientOf(address);
  const auto result = client.Append("s", Payloads({"a"}));
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().kind == LogErrorKind::kUnreachable);
  CHECK(IsCertain(result.error()));
}

TEST_CASE("a journal's stream is named after its incarnation") {
  CHECK(JournalStream(0xAB) == "journal-00000000000000ab");
}

}  // namespace
}  // namespace celerykeel

#include "celerykeel/core/key_digest.h"

#include <doctest/doctest.h>

#include <array>  // for std::array

namespace celerykeel {
namespace {

MintedKey Mint(std::string_view id, uint8_t first) {
  std::array<uint8_t, kKeyRandomBytes> random{};
  for (uint8_t& byte : random) {
    byte = first++;
  }
  return MintKey(id, "eidfjord-coop", random);
}

TEST_CASE("a key verifies only against its own digest") {
  const MintedKey minted = Mint("coop_1", 0);
  CHECK(VerifyKey(minted.key, minted.text));
  CHECK_FALSE(VerifyKey(minted.key, minted.text + "0"));
  CHECK_FALSE(VerifyKey(minted.key, ""));
  CHECK_FALSE(VerifyKey(minted.key, Mint("coop_1", 1).text));
  CHECK_FALSE(VerifyKey(Mint("coop_1", 1).key, minted.text));
}

TEST_CASE("the digest is SHA-256 over the salt's bytes and the text") {
  // Expected value: printf 'abc' | sha256sum. The salts are empty and "ab".
  CHECK(KeyDigest("", "abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(KeyDigest("6162", "c") == KeyDigest("", "abc"));
  CHECK(KeyDigest("6", "c").empty());
  CHECK(KeyDigest("zz", "c").empty());
}

TEST_CASE("the key object for the ticket does not contain the secret") {
  const MintedKey minted = Mint("coop-1", 0);
  const std::string secret = minted.text.substr(minted.text.rfind('_') + 1);
  CHECK(secret.size() == kKeySecretBytes * 2);
  CHECK(minted.key.salt.find(secret) == std::string::npos);
  CHECK(minted.key.digest.find(secret) == std::string::npos);
  CHECK(minted.key.team == "eidfjord-coop");
}

TEST_CASE("KeyIdOf returns the id in a key's text and rejects other texts") {
  CHECK(KeyIdOf(Mint("coop_1", 0).text) == "coop_1");
  CHECK_FALSE(KeyIdOf("").has_value());
  CHECK_FALSE(KeyIdOf("ck_").has_value());
  CHECK_FALSE(KeyIdOf("ck_coop-1_short").has_value());
  CHECK_FALSE(KeyIdOf("sk" + Mint("coop", 0).text.substr(2)).has_value());
  CHECK_FALSE(KeyIdOf(Mint("", 0).text).has_value());
}

}  // namespace
}  // namespace celerykeel

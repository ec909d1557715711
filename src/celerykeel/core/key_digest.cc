#include "celerykeel/core/key_digest.h"

#include <openssl/crypto.h>  // for CRYPTO_memcmp
#include <openssl/evp.h>     // for EVP_Digest

#include <array>   // for std::array
#include <vector>  // for std::vector

namespace celerykeel {

namespace {

constexpr std::string_view kKeyPrefix = "ck_";
constexpr size_t kDigestBytes = 32;

std::string ToHex(std::span<const uint8_t> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const uint8_t byte : bytes) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xF];
  }
  return hex;
}

std::optional<uint8_t> HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return static_cast<uint8_t>(c - '0');
  }
  if (c >= 'a' && c <= 'f') {
    return static_cast<uint8_t>(c - 'a' + 10);
  }
  return std::nullopt;
}

std::optional<std::vector<uint8_t>> FromHex(std::string_view hex) {
  std::vector<uint8_t> bytes;
  bytes.reserve(hex.size() / 2);
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    const auto high = HexDigit(hex[i]);
    const auto low = HexDigit(hex[i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<uint8_t>(*high << 4 | *low));
  }
  return hex.size() % 2 == 0 ? std::optional(std::move(bytes)) : std::nullopt;
}

bool IsSecret(std::string_view text) {
  return text.size() == kKeySecretBytes * 2 &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

// One round of SHA-256 is enough, because the secret holds 256 random bits and
// cannot be guessed. A slower hash would be too expensive for a gate that
// checks thousands of keys per second.
std::string KeyDigest(std::string_view salt_hex, std::string_view text) {
  auto bytes = FromHex(salt_hex);
  if (!bytes) {
    return "";
  }
  bytes->insert(bytes->end(), text.begin(), text.end());
  std::array<uint8_t, kDigestBytes> digest{};
  unsigned int size = 0;
  if (EVP_Digest(bytes->data(), bytes->size(), digest.data(), &size,
                 EVP_sha256(), nullptr) != 1) {
    return "";
  }
  return ToHex(digest);
}

MintedKey MintKey(std::string_view id,
                  std::string_view team,
                  std::span<const uint8_t, kKeyRandomBytes> random) {
  MintedKey minted;
  minted.text = std::string(kKeyPrefix) + std::string(id) + "_" +
                ToHex(random.subspan<kKeySaltBytes>());
  minted.key.id = id;
  minted.key.team = team;
  minted.key.salt = ToHex(random.first<kKeySaltBytes>());
  minted.key.digest = KeyDigest(minted.key.salt, minted.text);
  return minted;
}

// The last '_' ends the id: an id may contain '_', a secret never does.
std::optional<std::string_view> KeyIdOf(std::string_view text) {
  const size_t last = text.rfind('_');
  if (!text.starts_with(kKeyPrefix) || last <= kKeyPrefix.size() ||
      !IsSecret(text.substr(last + 1))) {
    return std::nullopt;
  }
  return text.substr(kKeyPrefix.size(), last - kKeyPrefix.size());
}

bool VerifyKey(const Key& key, std::string_view text) {
  const std::string digest = KeyDigest(key.salt, text);
  return digest.size() == kDigestBytes * 2 &&
         key.digest.size() == digest.size() &&
         CRYPTO_memcmp(digest.data(), key.digest.data(), digest.size()) == 0;
}

}  // namespace celerykeel

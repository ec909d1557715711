#pragma once

#include <cstddef>      // for size_t
#include <cstdint>      // for uint8_t
#include <optional>     // for std::optional
#include <span>         // for std::span
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/ticket.h"  // for Key

namespace celerykeel {

inline constexpr size_t kKeySaltBytes = 16;
inline constexpr size_t kKeySecretBytes = 32;
inline constexpr size_t kKeyRandomBytes = kKeySaltBytes + kKeySecretBytes;

/// @brief A new key: the text for its caller, shown once, and the key object
/// for a ticket.
struct MintedKey {
  std::string text;  // "ck_<id>_<secret>"
  Key key;
};

/// @brief Creates a key from random bytes, which must be unpredictable.
///
///     auto minted = MintKey("coop-1", "eidfjord-coop", RandomBytes());
MintedKey MintKey(std::string_view id,
                  std::string_view team,
                  std::span<const uint8_t, kKeyRandomBytes> random);

/// @brief Returns the id in a key's text, or an empty optional if the text is
/// not a key.
///
///     KeyIdOf("ck_coop-1_9f86d0...");  // "coop-1"
std::optional<std::string_view> KeyIdOf(std::string_view text);

/// @brief Returns true if the digest of `text` equals the digest in `key`. The
/// comparison takes constant time. Does not check `key.withdrawn`.
bool VerifyKey(const Key& key, std::string_view text);

/// @brief Returns SHA-256 over the salt's bytes and the key's text, in hex.
/// Returns an empty string if the salt is not hex.
std::string KeyDigest(std::string_view salt_hex, std::string_view text);

}  // namespace celerykeel

// Makes a key and verifies it. A real key takes its bytes from the system's
// generator, as `celerykeelctl key make` does.
#include <array>   // for std::array
#include <cstdio>  // for std::printf

#include "celerykeel/core/key_digest.h"  // for MintKey, VerifyKey

int main() {
  const std::array<uint8_t, celerykeel::kKeyRandomBytes> bytes{1, 2, 3};
  const celerykeel::MintedKey minted =
      celerykeel::MintKey("coop-1", "eidfjord-coop", bytes);
  std::printf("for the caller:  %s\nfor the ticket:  %s\n", minted.text.c_str(),
              minted.key.digest.c_str());
  return VerifyKey(minted.key, minted.text) ? 0 : 1;
}

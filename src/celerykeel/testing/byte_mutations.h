#pragma once

#include <cstdint>      // for uint64_t
#include <random>       // for std::mt19937_64
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

namespace celerykeel::testing {

/// @brief Draws changed copies of a corpus of byte streams, the same ones for
/// the same seed.
class ByteMutations {
 public:
  /// @param folder of the corpus, below the root of the source tree.
  ByteMutations(std::string_view folder, uint64_t seed);

  /// @brief Returns one item of the corpus with a few changes: bytes flipped,
  /// removed, repeated or taken from another item, and words of the formats
  /// inserted.
  std::string Draw();

  /// @brief Returns a number below `limit`.
  size_t Below(size_t limit);

 private:
  void Change(std::string& bytes);

  std::mt19937_64 random;
  std::vector<std::string> corpus;
};

/// @brief Number of streams to draw: FUZZ_ROUNDS of the environment, or
/// `short_run`.
size_t FuzzRounds(size_t short_run);
/// @brief Seed of the streams: FUZZ_SEED of the environment, or 1.
uint64_t FuzzSeed();

}  // namespace celerykeel::testing

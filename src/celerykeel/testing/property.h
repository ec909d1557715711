#pragma once

#include <rapidcheck.h>  // for rc::detail::checkTestable

#include <cstdint>   // for uint64_t
#include <iostream>  // for std::cerr
#include <utility>   // for std::forward

namespace celerykeel {

inline constexpr int kPropertyRuns = 500;

/// @brief Checks `property` for inputs drawn from a fixed seed, so that each
/// run of the tests has the same result. A failure prints the smallest input
/// found.
///
///     CHECK(CheckProperty(7, [](const std::vector<int>& numbers) {
///       RC_ASSERT(Sorted(numbers).size() == numbers.size());
///     }));
template <typename Property>
bool CheckProperty(uint64_t seed,
                   Property&& property,
                   int runs = kPropertyRuns) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = runs;
  const auto result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata{}, params);
  if (result.template is<rc::detail::SuccessResult>()) {
    return true;
  }
  std::cerr << "seed " << seed << "\n";
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\n";
  return false;
}

}  // namespace celerykeel

#pragma once

#include <cstdint>  // for uint64_t
#include <string>   // for std::string
#include <vector>   // for std::vector

#include "celerykeel/core/deployment.h"  // for Deployment

namespace celerykeel {

/// @brief What is wrong with an entry of a configuration.
enum class FindingKind {
  kInvalid,        // a value that is not applied as it is written
  kNeverMatches,   // an entry that no call can use
  kContradiction,  // limits that exclude each other
};

/// @brief A finding and the entry that it is about, such as `routes[3] "pay"`.
struct DeploymentFinding {
  FindingKind kind = FindingKind::kInvalid;
  std::string place;
  std::string text;
};

/// @brief Finds entries that no call can use, and limits that contradict each
/// other. The time is linear in the size of the configuration.
/// @param record_bytes the largest record of the store.
std::vector<DeploymentFinding> CheckDeployment(const Deployment& deployment,
                                               uint64_t record_bytes);

/// @brief A difference between two versions, as callers notice it.
struct DeploymentChange {
  std::string place;
  std::string text;
};

/// @brief Lists what changes for callers from `before` to `after`.
std::vector<DeploymentChange> CompareDeployments(const Deployment& before,
                                                 const Deployment& after);

}  // namespace celerykeel

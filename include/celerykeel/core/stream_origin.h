#pragma once

#include <string>  // for std::string

namespace celerykeel {

/// @brief What began a stream. Texts of two software versions do not fit
/// together, and endpoints do not check what they continue.
struct StreamOrigin {
  std::string service;
  std::string version;  // of the endpoint's software

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

}  // namespace celerykeel

#include "celerykeel/core/identity.h"

namespace celerykeel {

std::string_view RootOf(std::string_view program_id) {
  return program_id.substr(0, program_id.find('/'));
}

std::string CanonicalProgramId(std::string_view id, std::string_view parent) {
  const std::string_view root = RootOf(parent);
  if (parent.empty() || (id != root && RootOf(id) == root)) {
    return std::string(id);
  }
  return std::string(root) + "/" + std::string(id);
}

}  // namespace celerykeel

#include "celerykeel/standin/fence_table.h"

namespace celerykeel {

bool NoteFence(FenceTable& fences, std::string_view program, Fence fence) {
  Fence& highest = fences[std::string(program)];
  if (fence < highest) {
    return false;
  }
  highest = fence;
  return true;
}

}  // namespace celerykeel

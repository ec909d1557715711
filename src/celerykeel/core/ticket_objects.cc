#include "celerykeel/core/ticket_objects.h"

namespace celerykeel {

std::string ObjectName(std::string_view kind, std::string_view id) {
  return std::string(kind) + "/" + std::string(id);
}

std::string FieldPath(std::string_view list,
                      size_t index,
                      std::string_view member) {
  std::string path(list);
  path += "[" + std::to_string(index) + "]";
  if (!member.empty()) {
    path += "." + std::string(member);
  }
  return path;
}

}  // namespace celerykeel

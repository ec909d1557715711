#include "celerykeel/core/copy_sessions.h"

namespace celerykeel {

bool MayCopy(CopySessions& sessions, std::string_view instance, Duration now) {
  std::erase_if(sessions.last_asked, [now](const auto& entry) {
    return entry.second + kCopySessionTimeout < now;
  });
  const auto found = sessions.last_asked.find(instance);
  if (found != sessions.last_asked.end()) {
    found->second = now;
    return true;
  }
  if (sessions.last_asked.size() >= kMaxCopySessions) {
    return false;
  }
  sessions.last_asked.emplace(instance, now);
  return true;
}

void EndCopy(CopySessions& sessions, std::string_view instance) {
  if (const auto found = sessions.last_asked.find(instance);
      found != sessions.last_asked.end()) {
    sessions.last_asked.erase(found);
  }
}

}  // namespace celerykeel

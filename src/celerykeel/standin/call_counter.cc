#include "celerykeel/standin/call_counter.h"

namespace celerykeel {

uint64_t CountCall(CallCounter& counter, std::string_view id) {
  return ++counter.calls[std::string(id)];
}

}  // namespace celerykeel

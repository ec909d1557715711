#include "celerykeel/standin/engine_faults.h"

#include "celerykeel/standin/fault_count.h"  // for TakeOne

namespace celerykeel {

namespace {

constexpr uint64_t kEventsBeforeTear = 1;

}  // namespace

std::optional<StreamEnd> TakeStreamEnd(EngineFaults& faults) {
  if (TakeOne(faults.dying_streams)) {
    return StreamEnd{.after = faults.die_after,
                     .is_torn = false,
                     .forgets_request = faults.forgets_request};
  }
  if (TakeOne(faults.torn_streams)) {
    return StreamEnd{
        .after = kEventsBeforeTear, .is_torn = true, .forgets_request = false};
  }
  return std::nullopt;
}

}  // namespace celerykeel

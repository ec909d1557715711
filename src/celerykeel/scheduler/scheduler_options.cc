#include "celerykeel/scheduler/scheduler_options.h"

namespace celerykeel {

namespace {

constexpr uint64_t kDayMillis = uint64_t{24} * 3600 * 1000;

}  // namespace

SchedulerOptions ReadSchedulerOptions(SettingsReader& reader) {
  SchedulerOptions options;
  options.listen = reader.Address("listen", "");
  options.feed = reader.Address("feed", "");
  options.operator_address = reader.Address("operator", "");
  options.workers = reader.Number("workers", 256, 1, 4096);
  options.waiting_calls = reader.Number("waiting-calls", 4096, 1, 1'000'000);
  options.queue_wait = reader.Millis("queue-wait-ms", 10'000, 1, kDayMillis);
  options.connect_timeout =
      reader.Millis("connect-timeout-ms", 2'000, 1, kDayMillis);
  options.read_timeout =
      reader.Millis("read-timeout-ms", 120'000, 1, kDayMillis);
  LedgerOptions& ledger = options.ledger;
  ledger.predecessor_timeout =
      reader.Millis("predecessor-wait-ms", 1'000, 1, kDayMillis);
  ledger.program_idle_timeout =
      reader.Millis("idle-end-ms", 3'600'000, 1, kDayMillis);
  ledger.rewrite_interval =
      reader.Millis("rewrite-every-ms", 21'600'000, 1, 30 * kDayMillis);
  options.adoption_wait =
      reader.Millis("adoption-wait-ms", 10'000, 1, kDayMillis);
  options.drain_serve = reader.Millis("drain-serve-ms", 2'000, 0, kDayMillis);
  options.leave_wait = reader.Millis("leave-wait-ms", 10'000, 0, kDayMillis);
  options.audit_every = reader.Millis("audit-every-ms", 5'000, 10, kDayMillis);
  return options;
}

}  // namespace celerykeel

#include "celerykeel/net/stop_signal.h"

#include <signal.h>  // for sigtimedwait, pthread_sigmask

namespace celerykeel {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

bool WaitForStopSignal(Duration timeout) {
  const sigset_t signals = StopSignals();
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  const timespec wait{.tv_sec = seconds.count(),
                      .tv_nsec = (timeout - seconds).count()};
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

}  // namespace celerykeel

#include "runtime/signals.hpp"

#include <signal.h>
#include <time.h>

namespace mosskeel {

void block_signals() {
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGTERM);
  sigaddset(&blocked, SIGINT);
  sigaddset(&blocked, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);
}

StopSignal wait_for_stop_signal(Duration timeout) {
  sigset_t awaited;
  sigemptyset(&awaited);
  sigaddset(&awaited, SIGTERM);
  sigaddset(&awaited, SIGINT);
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
  std::chrono::nanoseconds remainder = timeout - seconds;
  timespec wait{seconds.count(), remainder.count()};
  switch (sigtimedwait(&awaited, nullptr, &wait)) {
    case SIGTERM:
      return StopSignal::terminate;
    case SIGINT:
      return StopSignal::interrupt;
    default:
      return StopSignal::none;
  }
}

}  // namespace mosskeel

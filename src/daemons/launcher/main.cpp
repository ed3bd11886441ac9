// The program file of every daemon: sets up the signals, then loads the daemon itself.
//
// The kernel gives SIGHUP its default effect, the end of the process, until the program has said otherwise. The
// daemons' libraries take over ten milliseconds to load, so this program needs none but the C library.
#include <dlfcn.h>

#include <cstdio>

#include "runtime/signals.hpp"

namespace {

using DaemonMain = int (*)(int argc, const char** argv);

constexpr int kExitCannotLoad = 2;

int report_loader_error() {
  fprintf(stderr, "%s: cannot be loaded: %s\n", MOSSKEEL_DAEMON_MODULE, dlerror());
  return kExitCannotLoad;
}

}  // namespace

int main(int argc, const char** argv) {
  mosskeel::block_signals();
  // Found by this program's run path, beside its own folder.
  void* module = dlopen(MOSSKEEL_DAEMON_MODULE, RTLD_LAZY | RTLD_GLOBAL);
  if (!module)
    return report_loader_error();
  auto daemon_main = reinterpret_cast<DaemonMain>(dlsym(module, "mosskeel_daemon_main"));
  if (!daemon_main)
    return report_loader_error();
  return daemon_main(argc, argv);
}

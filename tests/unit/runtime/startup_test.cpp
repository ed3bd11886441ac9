// A daemon's start: what it waits for, what ends it, and what it needs.
#include "runtime/startup.hpp"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>

#include "net/endpoint.hpp"
#include "runtime/host.hpp"
#include "runtime/process_resources.hpp"
#include "runtime/signals.hpp"
#include "silent_machine.hpp"
#include "unit/catch.hpp"
#include "unit/storage/data_folder.hpp"

using namespace mosskeel;

namespace {

constexpr Duration kPatience = 300ms;
constexpr unsigned kHangSeconds = 20;

const Errors kHeldByAnother = {{"127.0.0.1:1", "is held by another process", ErrorCode::unavailable}};
const Errors kInvalid = {{"127.0.0.1:1", "is no address"}};

/// Runs the function in a process of its own and returns how that ended, as waitpid tells. One that hangs is killed.
template <class Function>
int wait_status_of(const Function& function) {
  auto pid = ::fork();
  if (pid == 0) {
    ::alarm(kHangSeconds);
    function();
    ::_exit(99);
  }
  int status = 0;
  ::waitpid(pid, &status, 0);
  return status;
}

}  // namespace

TEST_CASE("A start waits until another process has released what it needs") {
  Startup startup("test", kPatience);
  int attempts = 0;

  auto errors = startup.retry([&] { return ++attempts < 3 ? kHeldByAnother : Errors{}; });

  CHECK(errors.empty());
  CHECK(attempts == 3);
}

TEST_CASE("A start gives up once its patience has ended, for all that it waits for together") {
  Startup startup("test", kPatience);
  const auto began = process_now();

  CHECK(startup.retry([] { return kHeldByAnother; }) == kHeldByAnother);
  CHECK(startup.retry([] { return kHeldByAnother; }) == kHeldByAnother);

  CHECK(process_now() - began >= kPatience);
  CHECK(process_now() - began < 2 * kPatience);
}

TEST_CASE("A start does not wait for what waiting does not mend") {
  Startup startup("test", kPatience);
  int attempts = 0;

  auto errors = startup.retry([&] {
    ++attempts;
    return kInvalid;
  });

  CHECK(errors == kInvalid);
  CHECK(attempts == 1);
}

// Guards against a start that hangs and is deaf to SIGTERM.
TEST_CASE("SIGTERM ends a start in order, whatever it waits for") {
  auto status = wait_status_of([] {
    block_signals();
    Startup startup("test", 60000ms);
    ::kill(::getpid(), SIGTERM);
    startup.retry([]() -> Errors {
      ::pause();
      return {};
    });
  });

  REQUIRE(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}

// Guards against SIGHUP and SIGXFSZ ending a daemon by their default effect.
TEST_CASE("SIGHUP changes nothing, and a write beyond the limit of a file's size is an error of that write") {
  test::DataFolder folder;
  auto status = wait_status_of([&] {
    block_signals();
    ::kill(::getpid(), SIGHUP);
    rlimit limit{1000, 1000};
    ::setrlimit(RLIMIT_FSIZE, &limit);
    std::ofstream file(folder.path + "/large");
    file << std::string(2000, 'x') << std::flush;
    ::_exit(file ? 1 : 0);
  });

  REQUIRE(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}

// Guards against a daemon started beside the one that stops calling its settings wrong.
TEST_CASE("An address that another daemon listens on is unavailable, not wrong") {
  std::atomic<int> steps{0};
  auto make_machine = [&](const Recovered&, TimePoint) {
    return std::make_unique<test::SilentMachine>(steps);
  };
  auto free = listen_on("127.0.0.1:0");
  REQUIRE(free.ok());
  const Address address = bound_address(free.value().get());
  free = listen_on("127.0.0.1:0");
  Host first(nullptr, address);
  REQUIRE(first.start(make_machine).empty());

  Host second(nullptr, address);

  CHECK(is_unavailable(second.listen()));
}

// Guards against a daemon started beside the one that stops calling its data damaged.
TEST_CASE("A data folder that another process holds is unavailable, not damaged") {
  test::DataFolder folder;
  auto first = Disk::open(folder.path, 1);
  REQUIRE(first.ok());

  auto second = Disk::open(folder.path, 2);

  REQUIRE_FALSE(second.ok());
  CHECK(is_unavailable(second.errors()));
}

// Guards against a crash in nng's start where the limits of the process allow too few threads.
TEST_CASE("A process whose limits allow too few threads says so") {
  auto status = wait_status_of([] {
    constexpr rlim_t too_little = 1;
    rlimit limit{too_little, too_little};
    ::setrlimit(RLIMIT_AS, &limit);
    ::_exit(is_unavailable(check_thread_capacity()) ? 0 : 1);
  });

  REQUIRE(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("Threads have small stacks, and the soft limit of descriptors is the hard one") {
  auto status = wait_status_of([] {
    rlimit before{100, 200};
    ::setrlimit(RLIMIT_NOFILE, &before);
    prepare_process_resources();
    rlimit after{};
    ::getrlimit(RLIMIT_NOFILE, &after);
    pthread_attr_t attributes;
    ::pthread_getattr_default_np(&attributes);
    size_t stack_bytes = 0;
    ::pthread_attr_getstacksize(&attributes, &stack_bytes);
    ::_exit(after.rlim_cur == 200 && stack_bytes <= (1u << 20) ? 0 : 1);
  });

  REQUIRE(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}

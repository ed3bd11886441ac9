// Memory use of a store's start and checkpoints, and how long they block the store.
#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>

#include "unit/catch.hpp"
#include "unit/history/store_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

/// A value in kilobytes from /proc/self/status, for example of the key "VmHWM".
size_t status_kilobytes(const std::string& key) {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(key + ":"))
      return std::stoul(line.substr(key.size() + 1));
  return 0;
}

/// Memory in KB and times in milliseconds.
struct Usage {
  size_t state_kb;
  size_t peak_kb;
  size_t recovery_ms;
  size_t checkpoint_ms;
};

/// Runs `measure` in a child process, so that its peak memory use is measured separately.
Usage measure_in_child_process(const std::function<Usage()>& measure) {
  int pipe_ends[2];
  REQUIRE(::pipe(pipe_ends) == 0);
  auto child = ::fork();
  if (child == 0) {
    auto usage = measure();
    auto written = ::write(pipe_ends[1], &usage, sizeof usage);
    ::_exit(written == sizeof usage ? 0 : 1);
  }
  Usage usage{};
  auto bytes_read = ::read(pipe_ends[0], &usage, sizeof usage);
  int status = 0;
  ::waitpid(child, &status, 0);
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
  REQUIRE(bytes_read == sizeof usage);
  REQUIRE(status == 0);
  return usage;
}

size_t milliseconds_of(const std::function<void()>& work) {
  using namespace std::chrono;
  auto started_at = steady_clock::now();
  work();
  return static_cast<size_t>(duration_cast<milliseconds>(steady_clock::now() - started_at).count());
}

/// Measures a start from a checkpoint of these histories, and the encoding of the next checkpoint.
Usage start_and_checkpoint(size_t histories, size_t turns, size_t output_bytes) {
  auto disk = recovered_store(1, joining_cluster(), histories, turns, output_bytes);
  std::string checkpoint = StoreMachine(identity_of(1), std::move(disk), kStart).checkpoint();
  checkpoint.shrink_to_fit();
  malloc_trim(0);
  std::ofstream("/proc/self/clear_refs") << "5";
  auto kb_before = status_kilobytes("VmRSS") - checkpoint.size() / 1024;
  Recovered recovered{Incarnation{1}, std::move(checkpoint), {}};
  std::unique_ptr<StoreMachine> store;
  Usage usage{};
  usage.recovery_ms =
      milliseconds_of([&] { store = std::make_unique<StoreMachine>(identity_of(1), std::move(recovered), kStart); });
  size_t checkpoint_bytes = 0;
  usage.checkpoint_ms = milliseconds_of([&] { checkpoint_bytes = store->checkpoint().size(); });
  usage.state_kb = checkpoint_bytes / 1024;
  usage.peak_kb = status_kilobytes("VmHWM") - kb_before;
  return usage;
}

}  // namespace

#ifndef __SANITIZE_ADDRESS__
TEST_CASE("A start and a checkpoint take no more memory than three and a half times the histories") {
  auto usage = measure_in_child_process([] { return start_and_checkpoint(2000, 2, 2000); });

  INFO("state " << usage.state_kb << " KB, peak " << usage.peak_kb << " KB");
  CHECK(usage.state_kb > 7000);
  CHECK(usage.peak_kb < usage.state_kb * 7 / 2);
}
#endif

TEST_CASE("Measured: memory and pauses of a store by the size of its histories", "[.measure]") {
  for (size_t factor : {1, 4, 16}) {
    auto usage = measure_in_child_process([&] { return start_and_checkpoint(1000 * factor, 2, 2000); });
    WARN("histories " << usage.state_kb << " KB: peak " << usage.peak_kb << " KB, start " << usage.recovery_ms
                      << " ms, checkpoint (the longest pause) " << usage.checkpoint_ms << " ms");
  }
}

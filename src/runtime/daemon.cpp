#include "runtime/daemon.hpp"

#include <unistd.h>

#include <sstream>

#include "base/memory.hpp"
#include "runtime/constants.hpp"

namespace mosskeel {

namespace {

constexpr int kExitStoppedByItself = 1;
constexpr int kExitDamagedData = 4;
/// How often a daemon's main thread checks whether the host has stopped.
constexpr Duration kSignalPollInterval = 100ms;
/// The same while it stops: what is checked late is taken from the end of the grace period.
constexpr Duration kStoppingPollInterval = 10ms;

}  // namespace

Host& create_host(std::shared_ptr<Disk> disk, const Settings& settings, size_t max_inbox_bytes) {
  auto available_bytes = process_memory(settings.memory_limit).total;
  HostLimits limits{max_inbox_bytes, SendQueueLimits::for_memory(available_bytes)};
  return *new Host(std::move(disk), settings.listen_address, limits);
}

void end_process(int exit_code) {
  fflush(nullptr);
  ::_exit(exit_code);
}

std::variant<std::shared_ptr<Disk>, int> open_disk(Startup& startup, const std::string& folder) {
  std::shared_ptr<Disk> disk;
  auto errors = startup.retry([&]() -> Errors {
    auto opened = Disk::open(folder, random_number());
    if (!opened.ok())
      return opened.errors();
    disk = opened.value();
    return {};
  });
  bool is_held = is_unavailable(errors);
  for (const auto& error : errors)
    log_event(is_held ? Event::start_gave_up : Event::corrupt, error.location + ": " + error.message);
  if (!errors.empty())
    return is_held ? kExitUnavailable : kExitDamagedData;
  if (disk->truncated_bytes())
    log_event(Event::torn_tail, std::to_string(disk->truncated_bytes()) + " bytes in " + folder);
  return disk;
}

Errors listen(Startup& startup, Host& host) {
  return startup.retry([&] {
    auto errors = check_thread_capacity();
    return errors.empty() ? host.listen() : errors;
  });
}

Result<std::unique_ptr<HttpServer>> open_server(Startup& startup, const Address& address, HttpServer::Handler handler) {
  std::unique_ptr<HttpServer> server;
  auto errors = startup.retry([&]() -> Errors {
    auto opened = HttpServer::open(address, handler);
    if (!opened.ok())
      return opened.errors();
    server = std::move(opened).value();
    return {};
  });
  if (!errors.empty())
    return errors;
  return server;
}

std::string metrics_of(const Host& host, const char* program, const std::map<std::string, double>& more) {
  std::ostringstream out;
  // All decimal digits that a double preserves, so that counters are printed as whole numbers.
  out.precision(15);
  auto add = [&](const std::string& name, double value) {
    out << "mosskeel_" << name << "{program=\"" << program << "\"} " << value << "\n";
  };
  auto view = host.view();
  add("epoch", static_cast<double>(view->epoch.value()));
  add("revision", static_cast<double>(view->revision.value()));
  add("messages_sent", static_cast<double>(host.sent()));
  add("messages_unsent", static_cast<double>(host.dropped()));
  add("messages_queued_bytes", static_cast<double>(host.bytes_waiting_for_peers()));
  add("messages_foreign", static_cast<double>(host.foreign_messages()));
  add("syncs", static_cast<double>(host.syncs()));
  if (const auto* journal = host.journal()) {
    add("disk_full", journal->full());
    add("disk_held_bytes", static_cast<double>(journal->pending_bytes()));
    add("checkpoints_unwritten", static_cast<double>(journal->unwritten_checkpoints()));
  }
  for (const auto& [name, value] : more)
    add(name, value);
  return out.str();
}

int run_until_stopped(Startup& startup, Host& host, const char* program, const std::function<bool()>& begin_shutdown) {
  startup.finish();
  log_event(Event::started, std::string(program) + " " MOSSKEEL_VERSION);
  bool was_signalled = false;
  while (!host.stopped()) {
    auto signal = wait_for_stop_signal(was_signalled ? kStoppingPollInterval : kSignalPollInterval);
    if (signal == StopSignal::none)
      continue;
    if (was_signalled && signal == StopSignal::interrupt)
      break;
    if (std::exchange(was_signalled, true))
      continue;
    log_event(Event::stopping, program);
    if (begin_shutdown())
      break;
  }
  bool stopped_by_itself = host.stopped() && !was_signalled;
  host.stop();
  log_event(Event::stopped, program);
  return stopped_by_itself ? kExitStoppedByItself : 0;
}

int report_start_failure(const char* program, const Errors& errors) {
  bool may_work_later = is_unavailable(errors);
  auto event = may_work_later ? Event::start_gave_up : Event::bad_settings;
  for (const auto& error : errors)
    fprintf(stderr, "%s: event=%d %s: %s: %s\n", program, static_cast<int>(event), meaning(event),
            error.location.c_str(), error.message.c_str());
  return may_work_later ? kExitUnavailable : kExitBadSettings;
}

}  // namespace mosskeel

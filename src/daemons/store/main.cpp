// The storage daemon: connects a StoreMachine to its disk, the network and its HTTP endpoints.
#include "base/memory.hpp"
#include "history/constants.hpp"
#include "history/store_machine.hpp"
#include "runtime/constants.hpp"
#include "runtime/daemon.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kProgram = "store";

StoreMachine& store_of(StateMachine& machine) {
  return static_cast<StoreMachine&>(machine);
}

Identity identity_of(const Settings& settings, Incarnation incarnation) {
  Identity identity;
  identity.self = {incarnation, Role::store,           settings.zone,   settings.listen_address,
                   "",          settings.http_address, settings.machine};
  identity.seeds = settings.seeds;
  identity.core_size = 0;
  identity.random_seed = random_number();
  identity.commit_attempt_timeout = settings.commit_attempt_timeout;
  return identity;
}

/// Samples the process's load periodically on the state machine's thread and passes it to the state machine.
class LoadMonitor {
 public:
  LoadMonitor(const Host& host, size_t memory_limit) : host_(host), memory_limit_(memory_limit) {}

  void operator()(StateMachine& machine, TimePoint now) {
    if (now < next_sample_at_)
      return;
    next_sample_at_ = now + kStoreLoadInterval;
    bool journal_is_blocked = host_.journal()->pending_bytes() > kMaxBytesWaitingForDisk;
    StoreLoad load;
    load.memory_short = journal_is_blocked || process_memory(memory_limit_).exceeds(kStoreMemoryShare);
    load.disk_behind = host_.bytes_waiting_for_disk() > kMaxBytesWaitingForDisk;
    store_of(machine).set_load(load);
  }

 private:
  const Host& host_;
  const size_t memory_limit_;
  TimePoint next_sample_at_{};
};

ApiResponse metrics_response(Host& host) {
  std::map<std::string, double> metrics;
  host.ask([&](StateMachine& machine, TimePoint) {
    auto& store = store_of(machine);
    metrics["histories"] = static_cast<double>(store.history_count());
    metrics["tombstones"] = static_cast<double>(store.tombstone_count());
    metrics["incomplete_comparisons"] = store.repair().incomplete_comparisons();
    metrics["histories_repaired"] = static_cast<double>(store.repair().fetched());
    metrics["messages_shed"] = static_cast<double>(store.shed_messages());
  });
  metrics["inbox_messages_dropped"] = static_cast<double>(host.dropped_inbox_messages());
  ApiResponse response;
  response.body = metrics_of(host, kProgram, metrics);
  response.headers["Content-Type"] = "text/plain";
  return response;
}

/// A store is ready once the directory lists it as up.
ApiResponse readiness_response(const Host& host, Incarnation self) {
  auto view = host.view();
  auto* daemon = view->find(self);
  if (!daemon || daemon->state != DaemonState::up)
    return ApiResponse::error(503, "not_ready", "this store is not in the directory yet", kDefaultRetryAfter);
  ApiResponse response;
  response.body = "{\"ready\":true}\n";
  return response;
}

ApiResponse respond(Host& host, Incarnation self, const ApiRequest& request) {
  if (request.path == "/metrics")
    return metrics_response(host);
  if (request.path == "/ready")
    return readiness_response(host, self);
  return ApiResponse::error(404, "unknown_path", request.method + " " + request.path + " is nothing here");
}

int serve(Startup& startup, const Settings& settings, const std::shared_ptr<Disk>& disk) {
  auto incarnation = disk->recovered().incarnation;
  auto identity = identity_of(settings, incarnation);
  return_large_blocks_to_system();
  auto& host = create_host(disk, settings, kStoreInboxBytes);
  if (auto errors = listen(startup, host); !errors.empty())
    return report_start_failure(kProgram, errors);
  host.watch(LoadMonitor(host, settings.memory_limit));
  auto errors = host.start([&](Recovered recovered, TimePoint now) {
    return std::make_unique<StoreMachine>(identity, std::move(recovered), now);
  });
  if (!errors.empty())
    return report_start_failure(kProgram, errors);
  Result<std::unique_ptr<HttpServer>> server = std::unique_ptr<HttpServer>{};
  if (!settings.http_address.empty())
    server = open_server(startup, settings.http_address,
                         [&](const ApiRequest& request) { return respond(host, incarnation, request); });
  if (!server.ok()) {
    host.stop();
    return report_start_failure(kProgram, server.errors());
  }
  auto exit_code = run_until_stopped(startup, host, kProgram, [] { return true; });
  server.value().reset();
  return exit_code;
}

int run(int argc, const char** argv) {
  RequiredSettings required{
      kProgram, "A storage daemon: stores replicas of histories.", true, true, false, true, true, true, false};
  auto settings = read_settings(argc, argv, required);
  if (auto* exit_code = std::get_if<int>(&settings))
    return *exit_code;
  start_log(kProgram);
  Startup startup(kProgram, std::get<Settings>(settings).shutdown_grace + kStartupMargin);
  auto disk = open_disk(startup, std::get<Settings>(settings).data_directory);
  if (auto* exit_code = std::get_if<int>(&disk))
    return *exit_code;
  return serve(startup, std::get<Settings>(settings), std::get<std::shared_ptr<Disk>>(disk));
}

}  // namespace

/// Called by the launcher, which has set up the signals.
extern "C" [[gnu::visibility("default")]] int mosskeel_daemon_main(int argc, const char** argv) {
  prepare_process_resources();
  end_process(run(argc, argv));
}

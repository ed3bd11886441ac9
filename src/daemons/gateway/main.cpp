// The gateway daemon: connects its state machine to clients over HTTP, to replicas and to the other daemons.
#include <curl/curl.h>

#include "base/memory.hpp"
#include "gateway/program_api.hpp"
#include "gateway/routing_thread.hpp"
#include "net/replica_client.hpp"
#include "runtime/daemon.hpp"

using namespace mosskeel;

namespace {

/// On shutdown, the process polls this many times, at this interval, until its clients' HTTP sessions have ended.
constexpr int kSessionEndChecks = 50;
constexpr Duration kSessionEndCheckInterval = 20ms;

Identity identity_from(const Settings& settings) {
  Identity identity{};
  identity.self = {Incarnation{random_number()}, Role::gateway,         settings.zone,   settings.listen_address,
                   settings.agent_address,       settings.http_address, settings.machine};
  identity.core_size = 0;
  identity.random_seed = random_number();
  identity.commit_attempt_timeout = settings.commit_attempt_timeout;
  return identity;
}

/// Wraps a replica's message for the state machine.
Envelope envelope_from_replica(Message body) {
  Envelope envelope{};
  envelope.from = kReplicaAddressPrefix;
  envelope.body = std::move(body);
  return envelope;
}

/// What a replica's message takes in memory.
size_t memory_bytes_of(const Message& message) {
  size_t text_bytes = 0;
  if (const auto* chunk = std::get_if<ReplicaCallChunk>(&message))
    text_bytes = chunk->text.size();
  if (const auto* response = std::get_if<ReplicaCallResponse>(&message))
    text_bytes = response->body.size();
  return sizeof(Envelope) + text_bytes;
}

void post_from_replica(Host& host, Message message) {
  auto bytes = memory_bytes_of(message);
  host.post(envelope_from_replica(std::move(message)), bytes);
}

std::unique_ptr<ReplicaClient> open_replica_client(Host& host, const Settings& settings) {
  auto limits = ReplicaCallLimits::for_memory(process_memory(settings.memory_limit).total);
  return std::make_unique<ReplicaClient>([&host](Message message) { post_from_replica(host, std::move(message)); },
                                         limits, [&host] { return host.inbox_bytes(); });
}

void send_to_replica(ReplicaClient& replicas, const Message& message) {
  if (const auto* call = std::get_if<ReplicaCall>(&message))
    replicas.send(*call);
  if (const auto* cancellation = std::get_if<CancelReplicaCall>(&message))
    replicas.cancel(cancellation->attempt);
}

Errors start_routing(Host& host, const Settings& settings, std::unique_ptr<RoutingThread>& routing_thread) {
  const auto* codec = find_protocol_codec(settings.platform_protocol);
  if (!codec)
    return {{"dialect", "'" + settings.platform_protocol + "' is unknown"}};
  auto started =
      RoutingThread::start(host, *codec, {settings.http_address, settings.readiness_address, settings.memory_limit});
  if (!started.ok())
    return started.errors();
  routing_thread = std::move(started).value();
  return {};
}

void wait_for_sessions(const LocalMailboxes& mailboxes) {
  for (int check = 0; check < kSessionEndChecks && mailboxes.size(); ++check)
    std::this_thread::sleep_for(kSessionEndCheckInterval);
}

int run(int argc, const char** argv) {
  auto parsed = read_settings(argc, argv,
                              {"gateway", "A gateway: serves clients' requests, owns programs, calls replicas.", true,
                               true, true, true, false, false, false});
  if (const auto* exit_code = std::get_if<int>(&parsed))
    return *exit_code;
  auto& settings = std::get<Settings>(parsed);
  start_log("gateway");
  Startup startup("gateway", settings.shutdown_grace + kStartupMargin);
  curl_global_init(CURL_GLOBAL_DEFAULT);

  auto identity = identity_from(settings);
  auto& host = create_host(nullptr, settings);
  if (auto errors = listen(startup, host); !errors.empty())
    return report_start_failure("gateway", errors);
  LocalMailboxes mailboxes;
  auto replicas = open_replica_client(host, settings);

  // With a protocol codec configured, clients use the platform's protocol; otherwise Mosskeel's own API.
  std::unique_ptr<RoutingThread> routing_thread;
  if (!settings.platform_protocol.empty()) {
    auto errors = startup.retry([&] { return start_routing(host, settings, routing_thread); });
    if (!errors.empty())
      return report_start_failure("gateway", errors);
  }

  host.route("local", [&](const Envelope& envelope) { mailboxes.deliver(envelope); });
  host.route("replica", [&](const Envelope& envelope) { send_to_replica(*replicas, envelope.body); });
  auto make_machine = [&](const Recovered&, TimePoint now) {
    return std::make_unique<GatewayMachine>(identity, now);
  };
  if (auto errors = host.start(make_machine); !errors.empty())
    return report_start_failure("gateway", errors);

  ProgramApi program_api(host, mailboxes);
  std::unique_ptr<HttpServer> http_server;
  if (!routing_thread) {
    auto answer = [&](const ApiRequest& request) {
      return program_api.answer(request);
    };
    auto opened = open_server(startup, settings.http_address, answer);
    if (!opened.ok()) {
      host.stop();
      return report_start_failure("gateway", opened.errors());
    }
    http_server = std::move(opened).value();
  }

  auto exit_code = run_until_stopped(startup, host, "gateway", [&] {
    auto limits = ShutdownLimits::begin(process_now(), settings.shutdown_grace);
    if (routing_thread)
      routing_thread->begin_draining(limits);
    host.ask([&](StateMachine& machine, TimePoint) { static_cast<GatewayMachine&>(machine).begin_shutdown(limits); });
    return false;
  });
  mailboxes.shut_down();
  wait_for_sessions(mailboxes);
  http_server.reset();
  routing_thread.reset();
  return exit_code;
}

}  // namespace

/// Called by the launcher, which has set up the signals.
extern "C" [[gnu::visibility("default")]] int mosskeel_daemon_main(int argc, const char** argv) {
  prepare_process_resources();
  end_process(run(argc, argv));
}

#include "scale/hollow_daemons.hpp"

#include <atomic>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <thread>

#include "base/queue.hpp"
#include "net/transport.hpp"
#include "programs/constants.hpp"
#include "replication/agent_machine.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/host.hpp"

namespace mosskeel::scale {
namespace {

constexpr int kSeedControllers = 3;

/// An agent's own machine, and in place of its gateway nothing but the gateway's heartbeat.
struct HollowDaemon {
  Address address;
  Address gateway_address;
  std::string zone;
  std::unique_ptr<Transport> transport;
  /// Nothing while the daemon is stopped.
  std::unique_ptr<AgentMachine> machine;
  /// The gateway that the heartbeats come from.
  DaemonInfo gateway;
  Epoch known_epoch{};
  /// When each of the newest epochs was first known here, in the machine's clock.
  std::map<Epoch, TimePoint> known_since;
  TimePoint next_heartbeat{};
};

/// What the loop's thread waits for: a message for a daemon, or a command.
struct MessageForDaemon {
  size_t daemon;
  Envelope message;
};
struct Command {
  std::string line;
};
using Input = std::variant<MessageForDaemon, Command>;

/// Owns the daemons of this process. Everything but `add_command` and `stop` belongs to the thread that runs `run`.
class HollowDaemons {
 public:
  HollowDaemons(const FleetOptions& options, int first) {
    for (int number = 0; number < kSeedControllers; ++number)
      seeds_.push_back(controller_address(options, number));
    auto end = std::min(first + options.daemons_per_process, options.plan.daemons);
    for (int number = first; number < end; ++number) {
      auto daemon = std::make_unique<HollowDaemon>();
      daemon->address = local_address(options, kHollowPortOffset + number);
      daemon->gateway_address = local_address(options, kGatewayPortOffset + number);
      daemon->zone = std::string(1, static_cast<char>('a' + number % options.plan.zones));
      daemons_.push_back(std::move(daemon));
    }
  }

  Errors open() {
    for (size_t index = 0; index < daemons_.size(); ++index) {
      auto receive = [this, index](Envelope message, size_t) {
        inputs_.push(MessageForDaemon{index, std::move(message)});
      };
      auto transport = Transport::open(daemons_[index]->address, SendQueueLimits::for_memory(0), receive);
      if (!transport.ok())
        return transport.errors();
      daemons_[index]->transport = std::move(transport).value();
    }
    return {};
  }

  void run() {
    TimePoint next_tick{};
    while (!stop_) {
      auto now = process_now();
      if (now >= next_tick) {
        next_tick = now + kTickInterval;
        tick_all(now);
      }
      for (const auto& input : inputs_.take(std::max<Duration>(1ms, next_tick - process_now())))
        handle(input);
    }
  }

  void add_command(const std::string& line) { inputs_.push(Command{line}); }
  void stop() { stop_ = true; }

 private:
  bool is_cut(const Address& address) const { return cut_addresses_.count(address) > 0; }

  void handle(const Input& input) {
    if (auto* command = std::get_if<Command>(&input)) {
      printf("%s\n", execute(command->line).c_str());
      fflush(stdout);
      return;
    }
    auto& [index, message] = std::get<MessageForDaemon>(input);
    auto& daemon = *daemons_[index];
    if (daemon.machine && !is_cut(message.from))
      perform(daemon, daemon.machine->step(message, process_now()));
  }

  void start(size_t index) {
    auto& daemon = *daemons_[index];
    if (daemon.machine)
      return;
    Identity identity;
    identity.self = {.incarnation = Incarnation{random_()},
                     .role = Role::gateway,
                     .zone = daemon.zone,
                     .address = daemon.address,
                     .agent_address = daemon.gateway_address,
                     .http_address = "",
                     .machine = ""};
    identity.seeds = seeds_;
    identity.core_size = 0;
    identity.random_seed = random_();
    daemon.gateway = {.incarnation = Incarnation{random_()},
                      .role = Role::gateway,
                      .zone = daemon.zone,
                      .address = daemon.gateway_address,
                      .agent_address = daemon.address,
                      .http_address = daemon.gateway_address,
                      .machine = "hollow-" + std::to_string(index)};
    daemon.machine = std::make_unique<AgentMachine>(identity, process_now());
    daemon.known_epoch = {};
    daemon.known_since.clear();
  }

  void tick_all(TimePoint now) {
    for (auto& daemon : daemons_) {
      if (!daemon->machine)
        continue;
      if (now >= daemon->next_heartbeat) {
        daemon->next_heartbeat = now + kAgentHeartbeatInterval;
        perform(*daemon, daemon->machine->step(gateway_heartbeat(*daemon, now), now));
      }
      perform(*daemon, daemon->machine->tick(now));
    }
  }

  Envelope gateway_heartbeat(const HollowDaemon& daemon, TimePoint now) {
    auto view = daemon.machine->view();
    Envelope message{};
    message.cluster = view->cluster;
    message.epoch = view->epoch;
    message.from = daemon.gateway_address;
    message.from_incarnation = daemon.gateway.incarnation;
    message.to = daemon.address;
    message.body = Heartbeat{.self = daemon.gateway,
                             .known = view->epoch,
                             .load = 0,
                             .streamed = Epoch{},
                             .running = 0,
                             .sent = to_milliseconds(now),
                             .leaving = false,
                             .incomplete_comparisons = 0};
    return message;
  }

  void perform(HollowDaemon& daemon, const Actions& actions) {
    auto view = daemon.machine->view();
    if (view->epoch < daemon.known_epoch)
      ++epoch_regressions_;
    if (view->epoch != daemon.known_epoch) {
      daemon.known_epoch = view->epoch;
      daemon.known_since[view->epoch] = machine_now();
    }
    if (daemon.known_since.size() > kLogEntriesKept)
      daemon.known_since.erase(daemon.known_since.begin());
    for (auto* messages : {&actions.now, &actions.synced}) {
      for (const auto& message : *messages) {
        if (message.to != daemon.gateway_address && !is_cut(message.to))
          daemon.transport->send(message);
      }
    }
  }

  std::string execute(const std::string& line) {
    std::istringstream arguments(line);
    std::string command;
    arguments >> command;
    if (command == "start" || command == "stop")
      return start_or_stop(arguments, command == "start");
    if (command == "cut")
      return cut(arguments);
    if (command == "known")
      return known(arguments);
    if (command == "values")
      return values();
    if (command == "state")
      return state();
    return "";
  }

  std::string start_or_stop(std::istream& indices, bool is_start) {
    for (size_t index = 0; indices >> index;) {
      if (index >= daemons_.size())
        continue;
      if (is_start)
        start(index);
      else
        daemons_[index]->machine.reset();
    }
    return "ok";
  }

  std::string cut(std::istream& addresses) {
    cut_addresses_.clear();
    for (Address address; addresses >> address;)
      cut_addresses_.insert(address);
    return "ok";
  }

  std::string known(std::istream& arguments) const {
    uint64_t epoch = 0;
    arguments >> epoch;
    std::ostringstream answer;
    for (const auto& daemon : daemons_) {
      if (!daemon->machine)
        continue;
      auto since = daemon->known_since.lower_bound(Epoch{epoch});
      answer << (since == daemon->known_since.end() ? -1 : to_milliseconds(since->second)) << " ";
    }
    return answer.str();
  }

  std::string values() const {
    std::ostringstream answer;
    for (const auto& daemon : daemons_) {
      if (daemon->machine)
        answer << daemon->known_epoch.value() << ":" << fingerprint(*daemon->machine->view()) << " ";
    }
    return answer.str();
  }

  std::string state() const {
    uint64_t sent = 0;
    uint64_t dropped = 0;
    for (const auto& daemon : daemons_) {
      sent += daemon->transport->sent();
      dropped += daemon->transport->dropped();
    }
    std::ostringstream answer;
    answer << sent << " " << dropped << " " << epoch_regressions_;
    return answer.str();
  }

  Addresses seeds_;
  std::vector<std::unique_ptr<HollowDaemon>> daemons_;
  Queue<Input> inputs_;
  std::set<Address> cut_addresses_;
  std::mt19937_64 random_{std::random_device{}()};
  std::atomic<bool> stop_{false};
  uint64_t epoch_regressions_ = 0;
};

}  // namespace

int run_hollow_daemons(const FleetOptions& options, int first) {
  HollowDaemons daemons(options, first);
  if (auto errors = daemons.open(); !errors.empty()) {
    fprintf(stderr, "hollow: %s\n", to_string(errors).c_str());
    return 2;
  }
  std::thread thread([&] { daemons.run(); });
  for (std::string line; std::getline(std::cin, line) && line != "quit";)
    daemons.add_command(line);
  daemons.stop();
  thread.join();
  return 0;
}

}  // namespace mosskeel::scale

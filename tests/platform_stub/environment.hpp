#pragma once
// What all parts of the stub share.
#include <random>
#include <unordered_map>

#include "net/event_loop.hpp"
#include "net/upstream_client.hpp"
#include "platform_stub/fleet_addresses.hpp"
#include "platform_stub/invariant_checker.hpp"
#include "platform_stub/served_counts.hpp"

namespace mosskeel::platform_stub {

/// What became of one HTTP exchange.
struct HttpOutcome {
  /// 0 where no head was received.
  uint32_t status = 0;
  HeaderFields fields;
  std::string body;
  /// The response ended by its own framing.
  bool is_complete = false;
  /// Not one byte of the request can have reached its receiver.
  bool was_not_sent = false;
};

/// The event loop of the stub, its HTTP client, its random numbers and its checks. Everything in the stub happens on
/// the thread that runs the loop.
class Environment {
 public:
  using OnOutcome = std::function<void(HttpOutcome&& outcome)>;

  /// @param calm only planned work happens: replicas make no faults, and no response that was begun may be lost.
  Environment(const FleetAddresses& fleet_addresses, bool calm);

  /// Sends a request on a connection of its own and gives it up after `timeout`. The callback is called once, never
  /// from within.
  void send(UpstreamClient::Request request, Duration timeout, OnOutcome on_outcome);
  uint64_t random_below(uint64_t bound) { return random_() % bound; }
  /// 16 random hexadecimal digits.
  std::string random_name() { return hex(random_()); }

  const FleetAddresses addresses;
  const bool is_calm;
  EventLoop loop;
  InvariantChecker checker;
  ServedCounts served;

 private:
  struct Exchange {
    HttpOutcome outcome;
    OnOutcome on_outcome;
    uint64_t timer = 0;
  };
  UpstreamClient::Callbacks client_callbacks();
  void finish(uint64_t request, bool is_complete, bool was_not_sent);

  std::mt19937_64 random_;
  std::unordered_map<uint64_t, Exchange> exchanges_;
  UpstreamClient client_;
};

}  // namespace mosskeel::platform_stub

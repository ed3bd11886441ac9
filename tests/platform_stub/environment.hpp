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

/// The same for every run that names no seed, so that runs differ in timing alone.
inline constexpr uint64_t kDefaultSeed = 20261202;

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

/// One attempt of a caller, once it is over.
struct AttemptReport {
  std::string attempt;
  std::string route;
  Address gateway;
  MonotonicTime sent_at{};
  MonotonicTime ended_at{};
  /// 0 where no head was received.
  uint32_t status = 0;
  bool is_complete = false;
  bool was_executed = false;
};

/// How a request is sent.
enum class ConnectionUse {
  /// On a connection of its own.
  fresh,
  /// On a connection that was kept after an earlier response, where there is one.
  kept
};

/// The event loop of the stub, its HTTP client, its random numbers and its checks. Everything in the stub happens on
/// the thread that runs the loop.
class Environment {
 public:
  using OnOutcome = std::function<void(HttpOutcome&& outcome)>;
  /// Whether a request to this gateway, sent then, may lose its response now though a replica has executed it.
  using MayLoseResponse = std::function<bool(const Address& gateway, MonotonicTime sent_at)>;

  /// @param calm only planned work happens: replicas make no faults, and no response that was begun may be lost.
  /// @param seed of everything that is drawn at random.
  Environment(const FleetAddresses& fleet_addresses, bool calm, uint64_t seed = kDefaultSeed);

  /// Sends a request and gives it up after `timeout`. The callback is called once, never from within.
  void send(UpstreamClient::Request request, Duration timeout, OnOutcome on_outcome,
            ConnectionUse use = ConnectionUse::fresh);
  /// Calls the function now and at random intervals around `interval`, until `end`.
  void repeat(Duration interval, MonotonicTime end, const std::function<void()>& function);
  uint64_t random_below(uint64_t bound) { return random_() % bound; }
  /// 16 random hexadecimal digits.
  std::string random_name() { return hex(random_()); }

  const FleetAddresses addresses;
  const bool is_calm;
  /// In calm runs no response may be lost, in others any; a run with troubles of its own knows better.
  MayLoseResponse may_lose_response;
  /// Hears of each attempt that is over; may be empty.
  std::function<void(const AttemptReport& report)> on_attempt_over;
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

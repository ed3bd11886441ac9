#pragma once
// A world of the daemons' own machines on virtual time that counts every message and the processor time of each step.
#include <unordered_map>

#include "history/store_machine.hpp"
#include "programs/gateway_machine.hpp"
#include "runtime/constants.hpp"
#include "scale/plan.hpp"

namespace mosskeel::scale {

/// Times of the virtual fleet, in ms; they stand in for a cluster's network and its disks.
constexpr Millis near_delay = 1, zone_delay = 2, region_delay = 30, sync_time = 2;

/// Of one kind of message; `loop` is what stays on its machine (an agent and its gateway, a controller and itself).
struct Tally {
  uint64_t count = 0, bytes = 0;
  Tally& operator+=(const Tally& o) { return count += o.count, bytes += o.bytes, *this; }
};
using Kinds = std::map<std::string, Tally>;

struct Tallies {
  Kinds out, in, loop;
  int64_t nanos = 0;
  uint64_t journal = 0, syncs = 0, checkpoints = 0, checkpoint_bytes = 0;
};

struct Station {
  Seat seat;
  std::unique_ptr<Machine> machine;
  uint64_t life = 0;
  Epoch seen{};
  std::optional<std::string> checkpoint;
  std::vector<std::string> synced;
  struct Batch {
    std::vector<std::string> journal;
    std::optional<std::string> checkpoint;
    std::vector<Envelope> sends;
  };
  std::deque<Batch> waiting;
  size_t in_flight = 0;
  Tallies t;
};

class Field {
 public:
  /// The fleet of the plan, founded, joined and at rest; each store holds these histories already.
  Field(const Plan& p, uint64_t seed, const StoredPartitions& histories = {});
  void run(Millis ms) {
    until(ms, [] { return false; });
  }
  bool until(Millis ms, const std::function<bool()>& ok);
  void at(Millis when, std::function<void()> f);
  Millis now() const { return now_; }
  std::vector<Station>& stations() { return stations_; }
  Station& of(Part p, size_t n);
  std::vector<size_t> all(Part p) const;
  void start(size_t i, bool fresh = false);
  void stop(size_t i);
  /// Puts a message from inside the process before its machine.
  void post(size_t i, Envelope e);
  void forget();
  /// Sums over all stations of a part, and the largest single one by bytes out and in over the wire.
  Tallies sum(Part p) const;
  uint64_t most(Part p, bool out) const;
  /// Fronts whose gateway knows the epoch, and whether every process that runs does.
  size_t fronts_at(Epoch e) const;
  bool fronts_in_touch();
  std::function<void(Station&, const Envelope&)> local, replica;
  /// Told when a gateway takes a new value.
  std::function<void(Station&, Epoch)> took;
  std::function<bool(const Station&, const Station&)> cut;
  std::vector<std::string> failures;

 private:
  struct Event {
    int to;
    uint64_t life;
    std::shared_ptr<const Envelope> e;
    std::function<void()> f;
  };
  void deliver(const Event& e);
  void act(Station& s, Actions a);
  void send(Station& s, Envelope e);
  void tick(size_t i, uint64_t life);
  void begin_sync(Station& s);
  void flush(Station& s);
  size_t size_of(const Envelope& e);
  template <class F>
  Actions timed(Station& s, F f);
  size_t index(const Station& s) const { return static_cast<size_t>(&s - stations_.data()); }
  std::mt19937_64 dice_;
  Millis now_ = kProcessClockStart;
  uint64_t lives_ = 0;
  std::map<Millis, std::vector<Event>> items_;
  std::vector<Station> stations_;
  std::unordered_map<Address, size_t> by_addr_;
  std::unordered_map<uint64_t, size_t> sizes_;
  std::map<Epoch, uint64_t> truth_;
};

}  // namespace mosskeel::scale

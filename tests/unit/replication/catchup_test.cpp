// Members that come back, or come new, after many changes while further ones go on: how soon and for how many bytes.
#include "base/codec.hpp"
#include "messages/constants.hpp"
#include "simulation/world.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using sim::Kind;

namespace {

/// Between changes, as in a storm of an operator's.
constexpr Duration kChangeInterval = 120ms;
/// For one change, elections included.
constexpr Duration kChangeTimeout = 10000ms;
/// A heartbeat, a lost request and the reply.
constexpr Duration kMaxCatchUpTime = 1500ms;
/// Discovery and registration come before.
constexpr Duration kMaxNewMemberCatchUpTime = 4000ms;
/// Changes that go on while a member catches up.
constexpr int kChangesMeanwhile = 8;
/// Changes after which a member that has not caught up is given up.
constexpr int kMaxChangesMeanwhile = 60;

enum class Absence { killed, frozen, wiped, cut_off, not_there_yet };

/// What it took a member to catch up.
struct CatchUpCost {
  /// From its return; unset while it has not caught up.
  std::optional<Duration> time;
  /// Bytes of all entries and snapshots that were sent to it.
  size_t bytes = 0;
  /// Bytes of one entry and of one snapshot at the end.
  size_t entry_bytes = 0;
  size_t snapshot_bytes = 0;
};

class Fleet {
 public:
  explicit Fleet(size_t paths) : world_(1, {3, 3, 2}) {
    world_.local = [this](sim::Node&, const Envelope& e) {
      if (auto* r = std::get_if<CommitReply>(&e.body); r && r->id == commit_id_)
        outcome_ = r->outcome;
    };
    configuration_.cells = {{"cell", 1000, 1000, 60000, {}}};
    configuration_.services = {{"service", "/health", 4, 0, 1.0, 0, 0, 0}};
    for (size_t i = 0; i < paths; ++i)
      configuration_.paths.push_back({"path " + std::to_string(i),
                                      "host",
                                      "/prefix/" + std::to_string(i) + "/",
                                      "safe",
                                      1000,
                                      500,
                                      0,
                                      2,
                                      false,
                                      0,
                                      false,
                                      false,
                                      0,
                                      {{"service", 1}}});
    REQUIRE(world_.until(10000ms, [this] { return world_.ready("gateway1") && world_.ready("gateway2"); }));
    world_.run(3000ms);
  }

  sim::World& world() { return world_; }
  MetadataSnapshot newest() {
    MetadataSnapshot best = std::make_shared<Metadata>();
    for (auto kind : {Kind::controller, Kind::store, Kind::agent})
      for (auto& name : world_.names(kind))
        if (auto* machine = world_.node(name).machine.get(); machine && machine->view()->epoch > best->epoch)
          best = machine->view();
    return best;
  }

  /// One acknowledged change, asked of the controllers in turn as an operator does.
  void commit_change() {
    configuration_.cells[0].budget += 1;
    commit_id_ = "change-" + std::to_string(configuration_.cells[0].budget);
    auto base = newest()->revision;
    outcome_.reset();
    auto controllers = world_.names(Kind::controller);
    for (size_t i = 0; i < controllers.size() * 4 && outcome_ != CommitOutcome::committed; ++i) {
      auto& controller = controllers[i % controllers.size()];
      if (!world_.alive(controller) || absent_ == controller)
        continue;
      Envelope envelope{kProtocolRevision, 0, {}, world_.next_random(), "local:operator", {}, controller, {}, {}};
      envelope.body = Commit{commit_id_, ApplyConfiguration{base, configuration_, {}}, {}};
      outcome_.reset();
      world_.post(controller, std::move(envelope));
      world_.until(kChangeTimeout, [this] { return outcome_.has_value(); });
    }
    REQUIRE(outcome_ == CommitOutcome::committed);
  }

  void commit_changes(int count) {
    for (int i = 0; i < count; ++i) {
      auto next_change_at = world_.now() + kChangeInterval;
      commit_change();
      if (world_.now() < next_change_at)
        world_.run(next_change_at - world_.now());
    }
  }

  /// Takes a member away, makes that many changes, brings it back and follows it while further changes go on.
  CatchUpCost measure_absence(const std::string& name, Absence how, int missed_changes) {
    begin_absence(name, how);
    commit_changes(missed_changes);
    CatchUpCost cost;
    world_.arriving = [&](const Envelope& e) {
      if (e.to == name && !cost.time)
        cost.bytes += payload(e.body);
    };
    auto since = world_.now();
    auto goal = newest()->epoch;
    end_absence(name, how);
    for (int i = 0; i < kChangesMeanwhile || (!cost.time && i < kMaxChangesMeanwhile); ++i) {
      auto has_caught_up = [&] {
        return world_.node(name).machine->view()->epoch >= goal;
      };
      if (!cost.time && world_.until(kChangeInterval, has_caught_up))
        cost.time = world_.now() - since;
      commit_change();
    }
    world_.arriving = nullptr;
    cost.entry_bytes = codec::encode(Entry{goal, commit_id_, ApplyConfiguration{{}, configuration_, {}}}).size();
    cost.snapshot_bytes = codec::encode(*newest()).size();
    CHECK(world_.until(kMaxCatchUpTime, [&] { return world_.node(name).machine->view()->epoch == newest()->epoch; }));
    for (auto& failure : world_.failures)
      FAIL_CHECK(failure);
    return cost;
  }

 private:
  /// Bytes of entries and whole values in a message.
  static size_t payload(const Message& m) {
    auto payload_of = [](auto& x) {
      return codec::encode(x.entries).size() + (x.checkpoint ? codec::encode(*x.checkpoint).size() : 0);
    };
    if (auto* x = std::get_if<CatchupReply>(&m))
      return payload_of(*x);
    if (auto* x = std::get_if<HeartbeatReply>(&m))
      return payload_of(*x);
    if (auto* x = std::get_if<CommitReply>(&m))
      return payload_of(*x);
    if (auto* x = std::get_if<Decided>(&m))
      return codec::encode(*x).size();
    return 0;
  }
  void begin_absence(const std::string& name, Absence how) {
    absent_ = name;
    if (how == Absence::killed)
      world_.kill(name);
    if (how == Absence::frozen)
      world_.freeze(name);
    if (how == Absence::wiped)
      world_.wipe(name);
    if (how == Absence::cut_off)
      world_.isolate(name);
  }
  void end_absence(const std::string& name, Absence how) {
    absent_.clear();
    if (how == Absence::not_there_yet)
      world_.add(name, kind_of(name), "a", "");
    if (how == Absence::killed || how == Absence::wiped)
      world_.start(name);
    if (how == Absence::frozen)
      world_.wake(name);
    if (how == Absence::cut_off)
      world_.heal();
  }
  static Kind kind_of(const std::string& name) {
    return name.starts_with("controller") ? Kind::controller : Kind::store;
  }

  sim::World world_;
  Configuration configuration_;
  std::string commit_id_;
  /// The member that is away, or empty.
  std::string absent_;
  std::optional<CommitOutcome> outcome_;
};

void check_catch_up(size_t paths, const std::string& name, Absence how, int missed_changes) {
  INFO(name << ", absence " << static_cast<int>(how) << ", " << missed_changes << " changes, " << paths << " paths");
  Fleet fleet(paths);
  auto cost = fleet.measure_absence(name, how, missed_changes);
  bool is_new = how == Absence::wiped || how == Absence::not_there_yet;
  REQUIRE(cost.time);
  REQUIRE(*cost.time >= 0ms);
  CHECK(*cost.time <= (is_new ? kMaxNewMemberCatchUpTime : kMaxCatchUpTime));
  // Whoever answers it may send what it lacks once each; the changes that go on meanwhile come besides.
  constexpr size_t kMaxAnswers = 4;
  auto lack = std::min(cost.entry_bytes * static_cast<size_t>(missed_changes), cost.snapshot_bytes);
  auto meanwhile = cost.entry_bytes * static_cast<size_t>(*cost.time / kChangeInterval + 3) * 2;
  WARN(name << " absence " << static_cast<int>(how) << " after " << missed_changes << " changes of " << paths
            << " paths: " << cost.time->count() << " ms, " << cost.bytes << " bytes; entry " << cost.entry_bytes
            << ", snapshot " << cost.snapshot_bytes);
  CHECK(cost.bytes <= kMaxAnswers * std::max(lack, cost.entry_bytes) + meanwhile);
}

}  // namespace

TEST_CASE("Members of each role come back after 10, 300 and 1,000 changes while changes go on") {
  for (int missed_changes : {10, 300, 1000}) {
    check_catch_up(20, "controller2", Absence::killed, missed_changes);
    check_catch_up(20, "store2", Absence::frozen, missed_changes);
    check_catch_up(20, "agent2", Absence::cut_off, missed_changes);
  }
  for (auto how : {Absence::frozen, Absence::wiped, Absence::cut_off, Absence::not_there_yet}) {
    check_catch_up(20, how == Absence::not_there_yet ? "controller9" : "controller2", how, 10);
    check_catch_up(20, how == Absence::not_there_yet ? "store9" : "store2", how, 300);
  }
  check_catch_up(20, "gateway2", Absence::killed, 300);
}

TEST_CASE("Members come back after changes of a large configuration") {
  for (auto* name : {"controller2", "store2", "agent2"})
    check_catch_up(2000, name, Absence::cut_off, 20);
}

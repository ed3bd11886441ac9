// Members that come back, or come new, after many changes while further ones go on: how soon and for how many bytes.
#include <catch2/catch.hpp>

#include "base/codec.hpp"
#include "messages/constants.hpp"
#include "simulation/world.hpp"

using namespace mosskeel;
using sim::Kind;

namespace {

constexpr Millis change_pace = 120;        // ms; as many changes as an operator makes in a storm of them
constexpr Millis change_patience = 10000;  // ms; elections included
constexpr Millis catchup_bound = 1500;     // ms; a heartbeat, a lost ask and the answer
constexpr Millis new_member_bound = 4000;  // ms; discovery and registration come before
constexpr int reference_changes = 8;       // count; changes that go on while a member catches up

enum class Absence { killed, frozen, wiped, cut_off, not_there_yet };

struct Catchup {
  Millis time = -1;
  /// Of all messages that brought entries or a value, and of one entry and one value at the end.
  size_t bytes = 0, entry = 0, snapshot = 0;
};

class Fleet {
 public:
  explicit Fleet(size_t paths) : world_(1, {3, 3, 2}) {
    world_.local = [this](sim::Node&, const Envelope& e) {
      if (auto* r = std::get_if<CommitReply>(&e.body); r && r->id == commit_)
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
    REQUIRE(world_.until(10000, [this] { return world_.ready("gateway1") && world_.ready("gateway2"); }));
    world_.run(3000);
  }

  sim::World& world() { return world_; }
  View newest() {
    View best = std::make_shared<Metadata>();
    for (auto k : {Kind::controller, Kind::store, Kind::agent})
      for (auto& s : world_.names(k))
        if (auto* m = world_.node(s).machine.get(); m && m->view()->epoch > best->epoch)
          best = m->view();
    return best;
  }

  /// One acknowledged change, asked of the controllers in turn as an operator does.
  void change() {
    configuration_.cells[0].budget += 1;
    commit_ = "change-" + std::to_string(configuration_.cells[0].budget);
    auto base = newest()->revision;
    outcome_.reset();
    auto controllers = world_.names(Kind::controller);
    for (size_t i = 0; i < controllers.size() * 4 && outcome_ != CommitOutcome::committed; ++i) {
      auto& s = controllers[i % controllers.size()];
      if (!world_.alive(s) || away_ == s)
        continue;
      Envelope e{kProtocolRevision, 0, {}, world_.roll(), "local:operator", {}, s, {}, {}};
      e.body = Commit{commit_, ApplyConfiguration{base, configuration_, {}}, {}};
      outcome_.reset();
      world_.post(s, std::move(e));
      world_.until(change_patience, [this] { return outcome_.has_value(); });
    }
    REQUIRE(outcome_ == CommitOutcome::committed);
  }

  void changes(int n) {
    for (int i = 0; i < n; ++i) {
      auto next = world_.now() + change_pace;
      change();
      if (world_.now() < next)
        world_.run(next - world_.now());
    }
  }

  /// Takes a member away, makes that many changes, brings it back and follows it while further changes go on.
  Catchup absent(const std::string& name, Absence how, int lacking) {
    leave(name, how);
    changes(lacking);
    Catchup c;
    world_.arriving = [&](const Envelope& e) {
      if (e.to == name && c.time < 0)
        c.bytes += payload(e.body);
    };
    auto since = world_.now();
    auto goal = newest()->epoch;
    come_back(name, how);
    for (int i = 0; i < reference_changes || (c.time < 0 && i < 60); ++i) {
      auto has = [&] {
        return world_.node(name).machine->view()->epoch >= goal;
      };
      if (c.time < 0 && world_.until(change_pace, has))
        c.time = world_.now() - since;
      change();
    }
    world_.arriving = nullptr;
    c.entry = codec::pack(Entry{goal, commit_, ApplyConfiguration{{}, configuration_, {}}}).size();
    c.snapshot = codec::pack(*newest()).size();
    CHECK(world_.until(catchup_bound, [&] { return world_.node(name).machine->view()->epoch == newest()->epoch; }));
    for (auto& f : world_.failures)
      FAIL_CHECK(f);
    return c;
  }

 private:
  /// Bytes of entries and whole values in a message.
  static size_t payload(const Message& m) {
    auto both = [](auto& x) {
      return codec::pack(x.entries).size() + (x.checkpoint ? codec::pack(*x.checkpoint).size() : 0);
    };
    if (auto* x = std::get_if<CatchupReply>(&m))
      return both(*x);
    if (auto* x = std::get_if<HeartbeatReply>(&m))
      return both(*x);
    if (auto* x = std::get_if<CommitReply>(&m))
      return both(*x);
    if (auto* x = std::get_if<Decided>(&m))
      return codec::pack(*x).size();
    return 0;
  }
  void leave(const std::string& name, Absence how) {
    away_ = name;
    if (how == Absence::killed)
      world_.kill(name);
    if (how == Absence::frozen)
      world_.freeze(name);
    if (how == Absence::wiped)
      world_.wipe(name);
    if (how == Absence::cut_off)
      world_.isolate(name);
  }
  void come_back(const std::string& name, Absence how) {
    away_.clear();
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
  std::string commit_, away_;
  std::optional<CommitOutcome> outcome_;
};

void check(size_t paths, const std::string& name, Absence how, int lacking) {
  INFO(name << ", absence " << static_cast<int>(how) << ", " << lacking << " changes, " << paths << " paths");
  Fleet fleet(paths);
  auto c = fleet.absent(name, how, lacking);
  bool fresh = how == Absence::wiped || how == Absence::not_there_yet;
  REQUIRE(c.time >= 0);
  CHECK(c.time <= (fresh ? new_member_bound : catchup_bound));
  // Whoever answers it may send what it lacks once each; the changes that go on meanwhile come besides.
  constexpr size_t answers = 4;
  auto lack = std::min(c.entry * static_cast<size_t>(lacking), c.snapshot);
  auto meanwhile = c.entry * static_cast<size_t>(c.time / change_pace + 3) * 2;
  WARN(name << " absence " << static_cast<int>(how) << " after " << lacking << " changes of " << paths << " paths: "
            << c.time << " ms, " << c.bytes << " bytes; entry " << c.entry << ", snapshot " << c.snapshot);
  CHECK(c.bytes <= answers * std::max(lack, c.entry) + meanwhile);
}

}  // namespace

TEST_CASE("members of each role come back after 10, 300 and 1,000 changes while changes go on") {
  for (int lacking : {10, 300, 1000}) {
    check(20, "controller2", Absence::killed, lacking);
    check(20, "store2", Absence::frozen, lacking);
    check(20, "agent2", Absence::cut_off, lacking);
  }
  for (auto how : {Absence::frozen, Absence::wiped, Absence::cut_off, Absence::not_there_yet}) {
    check(20, how == Absence::not_there_yet ? "controller9" : "controller2", how, 10);
    check(20, how == Absence::not_there_yet ? "store9" : "store2", how, 300);
  }
  check(20, "gateway2", Absence::killed, 300);
}

TEST_CASE("members come back after changes of a large configuration") {
  for (auto* name : {"controller2", "store2", "agent2"})
    check(2000, name, Absence::cut_off, 20);
}

// Retention expires, is shortened and extended, and cells are removed and added again, while turns are retained.
#include <algorithm>

#include "metadata/constants.hpp"
#include "simulation/scenario_functions.hpp"

namespace mosskeel::sim {
namespace {

constexpr Duration kShortRetention = 20000ms;
constexpr Duration kMiddleRetention = 3 * kShortRetention;
constexpr Duration kLongRetention = 4 * kShortRetention;
/// The value to which the long retention is shortened.
constexpr Duration kCutRetention = 1000ms;
/// Status for a program whose retention has expired, and for a temporarily unavailable fleet.
constexpr uint32_t kStatusGone = 410;
constexpr uint32_t kStatusNotNow = 503;
/// Expiry may lag this much behind the retention, since clocks differ and one store's clock runs 30 times as fast.
constexpr Duration kShortRetentionEnd = kShortRetention + 100000ms;
constexpr Duration kLongRetentionEnd = kLongRetention + 110000ms;
/// Rate of a store's fast clock, which must not make histories expire early.
constexpr double kFastClock = 30;

/// A program with one acknowledged turn and the retention guaranteed for it.
struct KeptProgram {
  std::string cell, program, key;
  TimePoint acknowledged{};
  Duration promised{};
};

/// Starts turns of programs in several cells and tracks until when each must be retained.
class RetentionChecker {
 public:
  explicit RetentionChecker(ScenarioRun& run) : run_(run) {}

  const std::vector<KeptProgram>& programs() const { return programs_; }

  ProgramResponse turn(const std::string& cell, const std::string& program, const std::string& key) {
    ProgramRequest request{};
    request.kind = "model";
    request.route = "chat";
    request.thread = "main";
    request.cell = cell;
    request.program = program;
    request.key = key;
    request.body = "say " + key;
    return retry_until_answered(request);
  }

  /// Runs one turn of a new program, which must be retained for this long.
  void add(const std::string& cell, Duration promised) {
    auto number = std::to_string(++last_number_);
    auto program = "r" + number;
    auto key = "key" + number;
    if (turn(cell, program, key).status == kStatusOk)
      programs_.push_back({cell, program, key, run_.world.now(), promised});
    else
      run_.world.fail("a turn of cell " + cell + " failed");
  }

  /// Applies a configuration of the first cell and these cells.
  void apply_cells(const std::vector<Cell>& cells) {
    auto metadata = latest(run_.world);
    auto configuration = metadata->configuration;
    configuration.cells.resize(1);
    configuration.cells.insert(configuration.cells.end(), cells.begin(), cells.end());
    auto committed = std::make_shared<bool>(false);
    run_.callers.commit(ApplyConfiguration{metadata->revision, configuration}, [committed](const CommitReply& reply) {
      *committed = reply.outcome == CommitOutcome::committed;
    });
    if (!run_.world.until(10000ms, [committed] { return *committed; }))
      run_.world.fail("the configuration was not acknowledged");
    run_.world.run(300ms);
  }

  /// Checks that reading the program back gives this status.
  void expect(const KeptProgram& kept, uint32_t status, const char* when) {
    ProgramRequest request{};
    request.kind = "history";
    request.cell = kept.cell;
    request.program = kept.program;
    auto response = retry_until_answered(request);
    if (response.status == status)
      return;
    auto age = run_.world.now() - kept.acknowledged;
    run_.world.fail(kept.program + " of cell " + kept.cell + " gave " + std::to_string(response.status) + " (" +
                    response.reason + ") " + when + ", " + std::to_string(age.count()) + " ms after its turn");
  }

  /// Lets time pass until this long after the first turn.
  void run_until_age(Duration age) {
    auto moment = programs_.front().acknowledged + age;
    run_.world.run(std::max(Duration::zero(), moment - run_.world.now()));
  }

  bool is_promised(const KeptProgram& kept) const { return run_.world.now() < kept.acknowledged + kept.promised; }

 private:
  ProgramResponse retry_until_answered(const ProgramRequest& request) {
    constexpr int max_tries = 20;
    for (int i = 0; i < max_tries; ++i) {
      auto response = send_request(run_, request, run_.any(Kind::gateway));
      if (response.status && response.status != kStatusNotNow)
        return response;
      run_.world.run(300ms);
    }
    return {};
  }

  ScenarioRun& run_;
  std::vector<KeptProgram> programs_;
  int last_number_ = 0;
};

Cell cell_with(const std::string& name, Duration retention) {
  return {name, 400, 10, retention.count(), {{"chat", "model", {}}, {"app", "app", {}}}};
}

void restart_a_store(ScenarioRun& run, Duration pause) {
  auto store = run.any(Kind::store);
  run.world.kill(store);
  run.world.run(pause);
  run.world.start(store);
}

/// Programs in three cells: retention is extended in one and shortened in another, and the third cell is removed and
/// added again.
void keep_turns(ScenarioRun& run, RetentionChecker& checker) {
  checker.apply_cells(
      {cell_with("plain", kShortRetention), cell_with("cut", kLongRetention), cell_with("gone", kShortRetention)});
  for (int i = 0; i < 4; ++i)
    for (const std::string cell : {"plain", "cut", "gone"})
      checker.add(cell, cell == "cut" ? kLongRetention : kShortRetention);
  checker.apply_cells({cell_with("plain", kMiddleRetention), cell_with("cut", kCutRetention)});
  checker.add("plain", kMiddleRetention);
  restart_a_store(run, 1000ms);
  checker.apply_cells(
      {cell_with("plain", kShortRetention), cell_with("cut", kCutRetention), cell_with("gone", kShortRetention)});
  for (const auto& kept : checker.programs())
    if (kept.cell == "cut" && checker.turn(kept.cell, kept.program, kept.key + "-short").status != kStatusOk)
      run.world.fail("a second turn failed");
}

/// Checks that an expired program is reported as such, and that neither its old turn nor a new one runs.
void must_be_expired(ScenarioRun& run, RetentionChecker& checker, const KeptProgram& kept) {
  checker.expect(kept, kStatusGone, "after its retention");
  auto new_key = kept.key + "-new";
  auto runs_before = run.callers.runs(kept.program, kept.key);
  for (const auto& key : {kept.key, new_key}) {
    auto response = checker.turn(kept.cell, kept.program, key);
    if (response.status != kStatusGone)
      run.world.fail("an expired program accepted a turn: " + std::to_string(response.status) + " " + response.reason);
  }
  bool old_ran = run.callers.runs(kept.program, kept.key) != runs_before;
  if (old_ran || run.callers.runs(kept.program, new_key))
    run.world.fail("a turn of an expired program ran");
}

/// Checks that stores hold histories of the callers' cell only.
void must_keep_nothing_else(World& world) {
  for (const auto& name : world.names(Kind::store)) {
    const auto& store = static_cast<StoreMachine&>(*world.node(name).machine);
    for (const auto& [id, partition] : store.partitions())
      for (const auto& [history, copy] : partition.histories)
        if (history.cell != "news")
          world.fail(name + " still keeps " + history.cell + "/" + history.program);
  }
}

StoreMachine& store_machine(World& world, const std::string& name) {
  return static_cast<StoreMachine&>(*world.node(name).machine);
}

/// Whether all stores are up and repair reports no incomplete comparison.
bool is_repaired(World& world) {
  auto metadata = latest(world);
  if (!metadata || !metadata->sequences.empty())
    return false;
  for (const auto& name : world.names(Kind::store)) {
    if (!world.node(name).machine)
      return false;
    const auto& store = store_machine(world, name);
    const auto* daemon = store.view()->find(world.node(name).id.self.incarnation);
    if (!daemon || daemon->state != DaemonState::up || store.repair().incomplete_comparisons())
      return false;
  }
  return true;
}

/// The histories of a partition on one store.
std::map<HistoryName, Records> histories_on(World& world, const std::string& store, PartitionId id) {
  std::map<HistoryName, Records> found;
  const auto& partitions = store_machine(world, store).partitions();
  auto partition = partitions.find(id);
  if (partition == partitions.end())
    return found;
  for (const auto& [name, history] : partition->second.histories)
    found[name] = history.records;
  return found;
}

/// Checks that each partition's histories are the same on all stores.
void must_hold_the_same(World& world) {
  constexpr size_t min_histories = 50;
  auto stores = world.names(Kind::store);
  size_t histories = 0;
  for (uint32_t i = 0; i < kPartitionCount; ++i) {
    auto first = histories_on(world, stores.front(), PartitionId{i});
    histories += first.size();
    for (const auto& store : stores)
      if (histories_on(world, store, PartitionId{i}) != first)
        return world.fail(store + " holds other histories of partition " + std::to_string(i) + " than " +
                          stores.front());
  }
  if (histories < min_histories)
    world.fail("too few histories to compare: " + std::to_string(histories));
}

void must_be_repaired(World& world, const char* otherwise) {
  if (world.until(30000ms, [&] { return is_repaired(world); }))
    must_hold_the_same(world);
  else
    world.fail(otherwise);
}

/// Erases the disk of a random store other than the spared one.
void lose_a_disk(ScenarioRun& run, const std::string& spared) {
  auto& world = run.world;
  auto lost = run.any_store_except(spared);
  world.wipe(lost);
  world.run(500ms);
  world.start(lost);
  world.run(8000ms);
}

}  // namespace

/// A program is retained for as long as was guaranteed when its turn was acknowledged, also by a store whose clock runs
/// fast, and expires some time later on all stores.
void retention(ScenarioRun& run) {
  auto& world = run.world;
  RetentionChecker checker(run);
  run.callers.traffic(150ms, world.now() + 20000ms);
  keep_turns(run, checker);
  world.node(run.any(Kind::store)).rate = kFastClock;
  checker.run_until_age(kShortRetention - 500ms);
  for (const auto& kept : checker.programs())
    if (checker.is_promised(kept))
      checker.expect(kept, kStatusOk, "inside its retention");
  restart_a_store(run, 200ms);
  restart_gateways(world);
  checker.run_until_age(kLongRetention - 1500ms);
  for (const auto& kept : checker.programs())
    if (kept.promised == kLongRetention && checker.is_promised(kept))
      checker.expect(kept, kStatusOk, "after its cell's retention was shortened");
  checker.run_until_age(kShortRetentionEnd);
  for (const auto& kept : checker.programs())
    if (kept.promised <= kShortRetention)
      must_be_expired(run, checker, kept);
  checker.run_until_age(kLongRetentionEnd);
  for (const auto& kept : checker.programs())
    checker.expect(kept, kStatusGone, "at the end");
  must_keep_nothing_else(world);
}

/// A store is down or frozen while histories are written. Once repair reports completion, all stores must hold the same
/// histories, and again after a disk was lost.
void idle_histories(ScenarioRun& run) {
  constexpr size_t min_fetched = 10;
  auto& world = run.world;
  auto away = run.any(Kind::store);
  run.callers.traffic(80ms, world.now() + 8000ms);
  world.run(500ms + world.below(1500ms));
  bool frozen = world.chance(0.4);
  if (frozen)
    world.freeze(away);
  else
    world.power_off(away);
  world.run(12000ms);
  if (frozen)
    world.wake(away);
  else
    world.start(away);
  world.run(1000ms);
  must_be_repaired(world, "repair did not come to its end");
  auto fetched = store_machine(world, away).repair().fetched();
  if (!frozen && fetched < min_fetched)
    world.fail("the store that was down fetched too few records: " + std::to_string(fetched));
  restart_gateways(world);
  lose_a_disk(run, away);
  must_be_repaired(world, "the copies of the lost disk were not restored");
  for (const auto& gateway : world.names(Kind::gateway))
    world.until(8000ms, [&] { return world.ready(gateway); });
}

}  // namespace mosskeel::sim

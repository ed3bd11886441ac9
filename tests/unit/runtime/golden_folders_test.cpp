// Recovery of daemons from data directories written by earlier versions of the code (tests/data/README.md).
#include "unit/runtime/golden_folders.hpp"
#include "unit/messages/golden_fields.hpp"
#include "unit/messages/golden_files.hpp"
#include "unit/storage/data_folder.hpp"

using namespace mosskeel;

namespace {

constexpr TimePoint kStart = kProcessClockStart;
constexpr auto kRecoveredControllerFile = "recovered/controller-checkpoint.hex";
constexpr auto kRecoveredStoreFile = "recovered/store-checkpoint.hex";

/// A copy of a golden directory, because a starting daemon may write to its directory.
struct GoldenFolder {
  test::DataFolder copy;

  explicit GoldenFolder(const std::string& name) { std::filesystem::copy(golden::data_directory() / name, copy.path); }

  size_t segments() const {
    size_t count = 0;
    for (const auto& file : std::filesystem::directory_iterator(copy.path))
      count += file.path().filename().string().starts_with("log-");
    return count;
  }
};

/// A daemon started on a copy of its golden directory, as its `main` does.
template <class DaemonMachine>
struct Started {
  GoldenFolder folder;
  size_t segments = folder.segments();
  std::shared_ptr<Disk> disk = folder.copy.open();
  Recovered recovered = disk->recovered();
  DaemonMachine machine;

  Started(const std::string& folder_name, const Identity& identity)
      : folder(folder_name), machine(identity, recovered, kStart) {}
};

struct StartedController : Started<ControllerMachine> {
  StartedController() : Started(golden::kControllerFolder, golden::controller_identity()) {}
};

struct StartedStore : Started<StoreMachine> {
  StartedStore() : Started(golden::kStoreFolder, golden::store_identity()) {}
};

/// Counts the records of each kind in a journal.
template <class JournalRecord>
std::vector<size_t> count_kinds(const std::vector<std::string>& journal) {
  std::vector<size_t> counts(std::variant_size_v<JournalRecord>);
  for (const auto& bytes : journal) {
    auto record = codec::decode<JournalRecord>(bytes);
    REQUIRE(record);
    ++counts[record->index()];
  }
  return counts;
}

template <class Checkpoint>
void check_recovered(const std::string& file, const std::string& actual) {
  auto expected = golden::read_golden_bytes(file);
  auto actual_value = codec::decode<Checkpoint>(actual);
  auto expected_value = codec::decode<Checkpoint>(expected);
  REQUIRE(actual_value);
  REQUIRE(expected_value);
  golden::check_fields(golden::fields_of(*actual_value), golden::fields_of(*expected_value));
  CHECK(actual == expected);
}

std::map<DaemonId, DaemonState> states_of(const Metadata& metadata) {
  std::map<DaemonId, DaemonState> states;
  for (const auto& [id, daemon] : metadata.directory)
    states[id] = daemon.state;
  return states;
}

/// Checks the metadata at the last epoch, which is the same in both directories.
void check_metadata(const Metadata& metadata) {
  CHECK(metadata.epoch == Epoch{79});
  CHECK(metadata.cluster == 2965977919983927404u);
  CHECK(metadata.former_clusters == std::vector<uint64_t>{7});
  CHECK(metadata.generation == 2);
  CHECK(metadata.core_size == 4);
  CHECK(metadata.max_core_size == 5);
  CHECK(metadata.configured_replication_factor == 3);
  CHECK(metadata.members == std::vector<DaemonId>{DaemonId{1}, DaemonId{14}});
  CHECK(metadata.next_id == 17);
  CHECK(metadata.evacuated == std::set<std::string>{"b"});
  CHECK(metadata.quorum_change_epoch == Epoch{40});
  CHECK(metadata.quorum_members.size() == 10);
  CHECK(metadata.incoming_quorum_members.empty());
  CHECK(metadata.partitions.size() == 64);
  CHECK(metadata.locks.size() == 38);
  CHECK(metadata.epoch_of_commit("commit-69") == Epoch{69});
}

void check_configuration(const Metadata& metadata) {
  CHECK(metadata.revision == Revision{9});
  REQUIRE(metadata.configuration.cells.size() == 1);
  CHECK(metadata.configuration.cells[0].name == "news");
  CHECK(metadata.configuration.cells[0].budget == 5000);
  CHECK(metadata.configuration.cells[0].turn_limit == 500);
  REQUIRE(metadata.configuration.paths.size() == 1);
  CHECK(metadata.configuration.paths[0].host == "host.example");
  CHECK(metadata.configuration.paths[0].prefix == "/turns/");
  CHECK(metadata.configuration.document == "the second document");
  REQUIRE(metadata.applied_configurations.size() == 2);
  CHECK(metadata.applied_configurations[0].base == Revision{0});
  CHECK(metadata.applied_configurations[0].epoch == Epoch{37});
  CHECK(metadata.applied_configurations[1].base == Revision{1});
  CHECK(metadata.applied_configurations[1].epoch == Epoch{69});
  REQUIRE(metadata.replicas.size() == 1);
  CHECK(metadata.replicas.at("model2").service == "model-service");
  CHECK(metadata.replicas.at("model2").since == Epoch{39});
}

void check_directory(const Metadata& metadata) {
  std::map<DaemonId, DaemonState> expected{
      {DaemonId{1}, DaemonState::up},         {DaemonId{2}, DaemonState::left}, {DaemonId{3}, DaemonState::left},
      {DaemonId{4}, DaemonState::up},         {DaemonId{5}, DaemonState::up},   {DaemonId{6}, DaemonState::up},
      {DaemonId{7}, DaemonState::up},         {DaemonId{8}, DaemonState::up},   {DaemonId{9}, DaemonState::left},
      {DaemonId{10}, DaemonState::left},      {DaemonId{11}, DaemonState::up},  {DaemonId{12}, DaemonState::left},
      {DaemonId{13}, DaemonState::left},      {DaemonId{14}, DaemonState::up},  {DaemonId{15}, DaemonState::registered},
      {DaemonId{16}, DaemonState::registered}};
  CHECK(states_of(metadata) == expected);
  REQUIRE(metadata.sequences.size() == 1);
  auto& join = metadata.sequences.at(DaemonId{16});
  CHECK(join.kind == SequenceKind::join);
  CHECK(join.next_step == SequenceStep::mid);
  CHECK(join.started_epoch == Epoch{77});
  CHECK(join.last_step_epoch == Epoch{78});
}

}  // namespace

TEST_CASE(
    "A golden controller folder is recovered completely: identity, checkpoint, segments and records of each kind") {
  StartedController controller;
  CHECK(controller.segments == 4);
  CHECK(controller.disk->truncated_bytes() == 0);
  CHECK(controller.recovered.incarnation == golden::kControllerIncarnation);
  CHECK(controller.recovered.checkpoint.has_value());
  CHECK(count_kinds<ControllerRecord>(controller.recovered.journal) == std::vector<size_t>{2, 1, 35, 1, 0});
}

TEST_CASE("A controller started on its golden folder has the metadata of its last epoch") {
  StartedController controller;
  auto& metadata = *controller.machine.view();
  check_metadata(metadata);
  check_configuration(metadata);
  check_directory(metadata);
}

TEST_CASE("A controller started on its golden folder has its promise and its accepted proposal") {
  StartedController controller;

  auto state = codec::decode<ControllerCheckpoint>(controller.machine.checkpoint());

  REQUIRE(state);
  CHECK(state->open == Epoch{80});
  CHECK(state->promised == Ballot{.round = 6, .proposer = 106});

  REQUIRE(state->accepted);
  CHECK(state->accepted->ballot == Ballot{.round = 5, .proposer = 105});
  CHECK(state->accepted->entry.epoch == Epoch{80});
  CHECK(state->accepted->entry.commit_id == "open-commit");
  CHECK(state->accepted->entry.change == Transformation{RestoreZone{.zone = "b"}});
}

TEST_CASE("A controller started on its golden folder has the whole state that earlier versions recovered from it") {
  StartedController controller;

  check_recovered<ControllerCheckpoint>(kRecoveredControllerFile, controller.machine.checkpoint());
}

TEST_CASE("A controller started on its golden folder appends an entry and recovers it after a restart") {
  StartedController controller;
  Entry entry{.epoch = Epoch{80}, .commit_id = "next-commit", .change = RestoreZone{.zone = "b"}};
  Envelope decided{.protocol = 2, .cluster = 0, .epoch = Epoch{80}, .from = "controller6", .body = Decided{entry}};
  auto actions = controller.machine.step(decided, kStart);
  REQUIRE(controller.disk->append(actions.journal));
  REQUIRE(controller.disk->sync());
  controller.disk.reset();
  auto reopened = controller.folder.copy.open();
  ControllerMachine restarted(golden::controller_identity(), reopened->recovered(), kStart);

  CHECK(restarted.view()->epoch == Epoch{80});
  CHECK(restarted.view()->evacuated.empty());
}

TEST_CASE("A golden folder of a controller outside a cluster has a promise, an accepted proposal and the founders") {
  Started<ControllerMachine> controller(golden::kUnfoundedControllerFolder, golden::controller_identity());

  CHECK(count_kinds<ControllerRecord>(controller.recovered.journal) == std::vector<size_t>{1, 1, 0, 0, 1});
}

TEST_CASE("A controller outside a cluster, started on its golden folder, reports the founding that it accepted") {
  Started<ControllerMachine> controller(golden::kUnfoundedControllerFolder, golden::controller_identity());
  Envelope prepare{.protocol = 2,
                   .from = "controller3",
                   .body = Prepare{.epoch = Epoch{1}, .ballot = {.round = 4, .proposer = 103}}};

  auto actions = controller.machine.step(prepare, kStart);

  REQUIRE(actions.synced.size() == 1);
  auto& promise = std::get<Promise>(actions.synced[0].body);

  CHECK(promise.granted);

  REQUIRE(promise.accepted);
  CHECK(promise.accepted->ballot == Ballot{.round = 3, .proposer = 102});

  auto& founding = std::get<FoundCluster>(promise.accepted->entry.change);
  CHECK(founding.cluster == 7);
  CHECK(founding.core_size == 3);
  CHECK(founding.max_core_size == 5);

  REQUIRE(founding.members.size() == 3);
  CHECK(founding.members[2].address == "controller3");
}

TEST_CASE("A golden store folder is recovered completely: identity, checkpoint, segments and records of each kind") {
  StartedStore store;
  CHECK(store.segments == 3);
  CHECK(store.disk->truncated_bytes() == 0);
  CHECK(store.recovered.incarnation == golden::kStoreIncarnation);
  CHECK(store.recovered.checkpoint.has_value());
  CHECK(count_kinds<StoreRecord>(store.recovered.journal) == std::vector<size_t>{1, 67, 48, 1, 35, 1, 45, 38});
}

TEST_CASE("A store started on its golden folder has the metadata of its last epoch") {
  StartedStore store;
  auto& metadata = *store.machine.view();
  check_metadata(metadata);
  check_configuration(metadata);
  check_directory(metadata);
}

TEST_CASE("A store started on its golden folder has its histories, record by record") {
  StartedStore store;
  CHECK(store.machine.history_count() == 88);

  auto& histories = store.machine.partitions().at(PartitionId{48}).histories;
  auto& history = histories.at({.cell = "news", .program = "program17"});

  CHECK(history.term == Epoch{67});

  Record reservation{.kind = RecordKind::reservation,
                     .key = "key-program17-1",
                     .thread = "thread-program17-1",
                     .body_digest = 4001,
                     .tokens = 21,
                     .turn = 1,
                     .status = 200,
                     .runner = DaemonId{4},
                     .retention_ms = 60000,
                     .input = "input-program17-1",
                     .output = "",
                     .parent = "parent-program17-1"};
  auto outcome = reservation;
  outcome.kind = RecordKind::outcome;
  outcome.output = "output-program17-1";

  CHECK(history.records == Records{reservation, outcome});
}

TEST_CASE("A store started on its golden folder has its fences and tombstones") {
  StartedStore store;
  auto& partitions = store.machine.partitions();

  CHECK(store.machine.tombstone_count() == 55);
  CHECK(partitions.at(PartitionId{38}).fence == Epoch{79});
  CHECK(partitions.at(PartitionId{48}).fence == Epoch{67});
  CHECK(partitions.at(PartitionId{48}).tombstones.has(tombstone_of({.cell = "news", .program = "program120"})));
}

TEST_CASE("A store started on its golden folder has the partitions that were streamed to it") {
  StartedStore store;

  auto& streamed = store.machine.partitions().at(PartitionId{40});

  CHECK(streamed.fence == Epoch{31});
  CHECK(streamed.tombstones.has(5040));

  auto& history = streamed.histories.at({.cell = "streamed", .program = "program40"});
  CHECK(history.term == Epoch{30});

  REQUIRE(history.records.size() == 1);
  CHECK(history.records[0].output == "output-streamed40-2");
}

TEST_CASE("A store started on its golden folder has no histories of partitions that it dropped, but their tombstones") {
  StartedStore store;

  auto& dropped = store.machine.partitions().at(PartitionId{0});

  CHECK(dropped.histories.empty());
  CHECK(dropped.fence == Epoch{31});
  CHECK(dropped.tombstones.has(5000));
}

TEST_CASE("A store started on its golden folder has the whole state that earlier versions recovered from it") {
  StartedStore store;
  check_recovered<StoreCheckpoint>(kRecoveredStoreFile, store.machine.checkpoint());
}

// Run explicitly by its tag. An existing directory is never rewritten.
TEST_CASE("Write the golden folders that do not exist yet", "[.write-golden-folders]") {
  auto write_once = [](const std::string& name, auto write) {
    auto folder = golden::data_directory() / name;
    if (!std::filesystem::exists(folder))
      write(folder);
  };
  write_once(golden::kControllerFolder, golden::write_controller_folder);
  write_once(golden::kUnfoundedControllerFolder, golden::write_unfounded_controller_folder);
  write_once(golden::kStoreFolder, golden::write_store_folder);
  golden::write_golden_bytes_once(kRecoveredControllerFile, StartedController().machine.checkpoint());
  golden::write_golden_bytes_once(kRecoveredStoreFile, StartedStore().machine.checkpoint());
}

#include "unit/runtime/golden_folders.hpp"

#include <algorithm>

#include "history/constants.hpp"
#include "storage/journal_writer.hpp"
#include "unit/storage/data_folder.hpp"

namespace mosskeel::golden {
namespace {

constexpr TimePoint kStart = kProcessClockStart;
constexpr int kHistories = 200;

DaemonInfo controller(uint64_t number, const std::string& zone) {
  auto address = "controller" + std::to_string(number);
  return {.incarnation = Incarnation{100 + number},
          .role = Role::controller,
          .zone = zone,
          .address = address,
          .agent_address = "",
          .http_address = "http-" + address,
          .machine = "machine-" + address};
}

DaemonInfo gateway(uint64_t number, const std::string& zone) {
  auto address = "gateway" + std::to_string(number);
  return {.incarnation = Incarnation{200 + number},
          .role = Role::gateway,
          .zone = zone,
          .address = address,
          .agent_address = "agent" + std::to_string(number),
          .http_address = "http-" + address,
          .machine = "machine-" + address};
}

DaemonInfo store(uint64_t number, const std::string& zone) {
  auto address = "store" + std::to_string(number);
  return {.incarnation = Incarnation{300 + number},
          .role = Role::store,
          .zone = zone,
          .address = address,
          .agent_address = "",
          .http_address = "http-" + address,
          .machine = "machine-" + address};
}

DaemonInfo replacement_controller() {
  auto replacement = controller(2, "b");
  replacement.incarnation = Incarnation{105};
  return replacement;
}

/// Builds the metadata log of both directories entry by entry.
class LogScript {
 public:
  const Metadata& metadata() const { return metadata_; }

  Entry append(Transformation change) {
    auto epoch = next(metadata_.epoch);
    Entry entry{.epoch = epoch, .commit_id = "commit-" + std::to_string(epoch.value()), .change = std::move(change)};
    auto applied = apply(metadata_, entry);
    INFO("epoch " << epoch.value() << ", " << describe(entry.change));
    INFO((applied.ok() ? "" : to_string(applied.errors())));
    REQUIRE(applied.ok());
    metadata_ = applied.value();
    return entry;
  }

  Entries append_all(const std::vector<Transformation>& changes) {
    Entries entries;
    for (const auto& change : changes)
      entries.push_back(append(change));
    return entries;
  }

 private:
  Metadata metadata_{};
};

void append_join(std::vector<Transformation>& changes, DaemonId node) {
  changes.push_back(PrepareJoin{.node = node});
  for (auto step : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
    changes.push_back(AdvanceSequence{.node = node, .step = step});
}

/// Core members 1 to 3, gateways 4 and 5, stores 6 to 10.
std::vector<Transformation> founding() {
  std::vector<Transformation> changes{
      FoundCluster{.cluster = 7,
                   .core_size = 3,
                   .members = {controller(1, "a"), controller(2, "b"), controller(3, "c")},
                   .max_core_size = 5,
                   .replication_factor = 3},
      Register{.self = gateway(1, "a")},
      Register{.self = gateway(2, "b")},
      Register{.self = store(1, "a")},
      Register{.self = store(2, "b")},
      Register{.self = store(3, "c")},
      Register{.self = store(4, "a")},
      Register{.self = store(5, "b")}};
  for (uint64_t node : {6, 7, 8, 9, 10, 4, 5})
    append_join(changes, DaemonId{node});
  return changes;
}

Configuration first_configuration() {
  return {.cells = {{.name = "news",
                     .budget = 4000,
                     .turn_limit = 500,
                     .retention_ms = 60000,
                     .routes = {{.name = "chat", .kind = "model", .replicas = {"model1"}}}}},
          .paths = {{.name = "turns",
                     .host = "host.example",
                     .prefix = "/turns/",
                     .kind = "streaming",
                     .timeout_ms = 9000,
                     .target_ms = 700,
                     .rank = 1,
                     .attempts = 2,
                     .kept = true,
                     .retention_ms = 50000,
                     .sticky = false,
                     .resumable = true,
                     .gap_ms = 300,
                     .shares = {{.service = "model-service", .weight = 3}}}},
          .services = {{.name = "model-service",
                        .health_path = "/health",
                        .sessions = 4,
                        .cold_ms = 8000,
                        .cold_per_s = 1.5,
                        .slots = 16,
                        .cache_tokens = 65536,
                        .event_tokens = 2}},
          .callers = {.head_bytes = 8192, .body_bytes = 65536, .head_ms = 5000, .idle_ms = 30000},
          .document = "the first document"};
}

Configuration second_configuration() {
  auto configuration = first_configuration();
  configuration.cells[0].budget = 5000;
  configuration.document = "the second document";
  return configuration;
}

Replica replica(const std::string& name, const std::string& service) {
  return {.name = name,
          .kind = "model",
          .zone = "a",
          .url = "http://" + name + ":80",
          .health = ReplicaHealth::ready,
          .since = {},
          .capacity = 12,
          .service = service,
          .warm_up_ms = 0};
}

/// The first configuration, replicas, a change of the quorum members, an evacuation that is reverted.
std::vector<Transformation> operation(Epoch quorum_change_epoch) {
  return {ApplyConfiguration{.base = Revision{0}, .configuration = first_configuration(), .revision = {}},
          SetReplica{.replica = replica("model1", "")},
          UpdateReplicas{.updated = {replica("model2", "model-service"), replica("model3", "model-service")},
                         .removed = {}},
          BeginQuorumChange{},
          FinishQuorumChange{.since = quorum_change_epoch},
          EvacuateZone{.zone = "c"},
          RestoreZone{.zone = "c"},
          UpdateReplicas{.updated = {}, .removed = {"model3"}}};
}

/// Store 10 is drained up to the step at which its partitions begin to move.
std::vector<Transformation> drain_begun() {
  return {PrepareDrain{.node = DaemonId{10}}, AdvanceSequence{.node = DaemonId{10}, .step = SequenceStep::start}};
}

std::vector<Transformation> drain_finished() {
  return {AdvanceSequence{.node = DaemonId{10}, .step = SequenceStep::mid},
          AdvanceSequence{.node = DaemonId{10}, .step = SequenceStep::finish}};
}

/// Store 9 is lost, and its partitions begin to move to other stores.
std::vector<Transformation> repair_begun() {
  return {MarkDown{.node = DaemonId{9}}, PrepareRepair{.node = DaemonId{9}},
          AdvanceSequence{.node = DaemonId{9}, .step = SequenceStep::start}};
}

/// Store 9 is removed from the directory; store 11 joins and takes over partitions from the golden store, which is in
/// the same zone.
std::vector<Transformation> repair_finished_and_join() {
  std::vector<Transformation> changes{AdvanceSequence{.node = DaemonId{9}, .step = SequenceStep::mid},
                                      AdvanceSequence{.node = DaemonId{9}, .step = SequenceStep::finish},
                                      ForgetStore{.node = DaemonId{9}}, Register{.self = store(6, "a")}};
  append_join(changes, DaemonId{11});
  return changes;
}

/// Controller 12 is added to the core, 3 leaves it, then 2 and 12 are lost and the core is refounded with 13.
std::vector<Transformation> refounding() {
  return {MarkDown{.node = DaemonId{2}},
          MarkUp{.node = DaemonId{2}},
          RemoveReplica{.name = "model1"},
          Register{.self = controller(4, "a")},
          AddCoreMember{.node = DaemonId{12}},
          MarkDown{.node = DaemonId{3}},
          RemoveCoreMember{.node = DaemonId{3}},
          MoveAllPartitions{.from = DaemonId{4}, .to = DaemonId{5}},
          RefoundCluster{.generation = 1, .lost = {DaemonId{2}, DaemonId{12}}, .fresh = {replacement_controller()}}};
}

/// A second configuration, a core member replaced, a join cancelled, a join in progress, zone b evacuated.
std::vector<Transformation> after_refounding() {
  return {ApplyConfiguration{.base = Revision{1}, .configuration = second_configuration(), .revision = Revision{9}},
          Register{.self = controller(6, "c")},
          MarkDown{.node = DaemonId{13}},
          ReplaceCoreMember{.removed = DaemonId{13}, .added = DaemonId{14}},
          Register{.self = gateway(3, "c")},
          PrepareJoin{.node = DaemonId{15}},
          CancelSequence{.node = DaemonId{15}, .reason = "cancelled by the operator"},
          Register{.self = store(7, "a")},
          PrepareJoin{.node = DaemonId{16}},
          AdvanceSequence{.node = DaemonId{16}, .step = SequenceStep::start},
          EvacuateZone{.zone = "b"}};
}

/// A daemon with a data directory, to which its state machine's journal is written as `Host` does.
template <class DaemonMachine>
class DaemonWithFolder {
 public:
  DaemonWithFolder(std::string folder, Identity identity) : folder_(std::move(folder)), identity_(std::move(identity)) {
    start();
  }

  DaemonMachine& machine() { return *machine_; }

  void restart() {
    machine_.reset();
    journal_.reset();
    disk_.reset();
    start();
  }

  Actions receive(const DaemonInfo& sender, Message body) {
    Envelope envelope{.protocol = kProtocolRevision,
                      .cluster = 0,
                      .epoch = machine_->view()->epoch,
                      .id = 1,
                      .from = sender.address,
                      .from_incarnation = sender.incarnation,
                      .to = identity_.self.address,
                      .to_incarnation = identity_.self.incarnation,
                      .body = std::move(body)};
    return write_journal(machine_->step(envelope, now_));
  }

  void receive_decided(const Entries& entries) {
    for (const auto& entry : entries)
      receive(controller(2, "b"), Decided{.entry = entry});
  }

  Actions advance_time(Duration duration) {
    now_ += duration;
    return write_journal(machine_->tick(now_));
  }

  void checkpoint() { REQUIRE(disk_->checkpoint(machine_->checkpoint())); }

  /// Writes a checkpoint whose final rename fails, so that the journal continues in another segment.
  void fail_checkpoint() {
    disk_is_full_ = true;
    CHECK(disk_->checkpoint(machine_->checkpoint()).kind == DiskResult::full);
    disk_is_full_ = false;
  }

 private:
  void start() {
    auto calls = DiskCalls::real();
    calls.free_bytes = [](const std::string&) {
      return uint64_t{0};
    };
    calls.rename = [this, rename = calls.rename](const char* from, const char* to) {
      errno = ENOSPC;
      return disk_is_full_ ? -1 : rename(from, to);
    };
    auto opened = Disk::open(folder_, identity_.self.incarnation.value(), calls);
    REQUIRE(opened.ok());
    disk_ = opened.value();
    journal_ = std::make_unique<JournalWriter>(*disk_);
    machine_ = std::make_unique<DaemonMachine>(identity_, disk_->take_recovered(), now_);
  }

  Actions write_journal(Actions actions) {
    std::deque<Batch> batches;
    batches.push_back({.journal = actions.journal, .checkpoint = actions.checkpoint, .sends = {}});
    REQUIRE(journal_->write(std::move(batches)).result);
    return actions;
  }

  std::string folder_;
  Identity identity_;
  bool disk_is_full_ = false;
  TimePoint now_ = kStart;
  std::shared_ptr<Disk> disk_;
  std::unique_ptr<JournalWriter> journal_;
  std::unique_ptr<DaemonMachine> machine_;
};

/// Copies identity, checkpoint and log, but not the lock file.
void copy_folder(const test::DataFolder& written, const std::filesystem::path& target) {
  std::filesystem::create_directories(target);
  for (const auto& file : std::filesystem::directory_iterator(written.path))
    if (file.path().filename() != "lock")
      std::filesystem::copy(file.path(), target / file.path().filename());
}

Record history_record(const std::string& program, RecordKind kind, uint32_t turn) {
  auto suffix = program + "-" + std::to_string(turn);
  return {.kind = kind,
          .key = "key-" + suffix,
          .thread = "thread-" + suffix,
          .body_digest = 4000 + turn,
          .tokens = 20 + turn,
          .turn = turn,
          .status = 200,
          .runner = DaemonId{4},
          .retention_ms = 60000,
          .input = "input-" + suffix,
          .output = kind == RecordKind::outcome ? "output-" + suffix : "",
          .parent = "parent-" + suffix};
}

using Store = DaemonWithFolder<StoreMachine>;

const Daemon& owner_of(Store& daemon, PartitionId partition) {
  auto& metadata = *daemon.machine().view();
  return *metadata.find(metadata.partitions[partition.value()].owner);
}

bool keeps_partition(Store& daemon, PartitionId partition) {
  auto& metadata = *daemon.machine().view();
  auto& stores = metadata.partitions[partition.value()].stores;
  return std::count(stores.begin(), stores.end(), metadata.find(kStoreIncarnation)->id) > 0;
}

/// Replaces the whole history on behalf of the partition's owner, under its current term.
void replace_history(Store& daemon, const HistoryName& name, const Records& records) {
  auto partition = partition_of(name.cell, name.program);
  auto term = daemon.machine().view()->partitions[partition.value()].term;
  AppendHistory write{
      .history = name, .partition = partition, .term = term, .replace = true, .from = 0, .records = records};
  daemon.receive(owner_of(daemon, partition).self, write);
}

void append_record(Store& daemon, const HistoryName& name, uint64_t length, const Record& record) {
  auto partition = partition_of(name.cell, name.program);
  auto term = daemon.machine().view()->partitions[partition.value()].term;
  AppendHistory write{
      .history = name, .partition = partition, .term = term, .replace = false, .from = length, .records = {record}};
  daemon.receive(owner_of(daemon, partition).self, write);
}

void delete_history(Store& daemon, const HistoryName& name) {
  auto partition = partition_of(name.cell, name.program);
  auto term = daemon.machine().view()->partitions[partition.value()].term;
  daemon.receive(owner_of(daemon, partition).self,
                 WriteTombstone{.history = name, .partition = partition, .term = term});
}

/// Writes histories of two records each to every partition on the store and deletes every tenth history.
void write_histories(Store& daemon) {
  for (int number = 0; number < kHistories; ++number) {
    HistoryName name{.cell = "news", .program = "program" + std::to_string(number)};
    if (!keeps_partition(daemon, partition_of(name.cell, name.program)))
      continue;
    replace_history(daemon, name, {history_record(name.program, RecordKind::reservation, 1)});
    append_record(daemon, name, 1, history_record(name.program, RecordKind::outcome, 1));
    if (number % 10 == 0)
      delete_history(daemon, name);
  }
}

/// Replaces each history on the store by the same records, on behalf of its current owner.
void replace_all_histories(Store& daemon) {
  std::vector<std::pair<HistoryName, Records>> present;
  for (const auto& [id, partition] : daemon.machine().partitions())
    for (const auto& [name, history] : partition.histories)
      present.emplace_back(name, history.records);
  for (const auto& [name, records] : present)
    replace_history(daemon, name, records);
}

HistoryName first_history(Store& daemon) {
  for (const auto& [id, partition] : daemon.machine().partitions())
    if (keeps_partition(daemon, id) && !partition.histories.empty())
      return partition.histories.begin()->first;
  FAIL("no history is on the store");
  return {};
}

StreamPartitionReply stream_reply(const StreamPartition& request) {
  auto partition_number = std::to_string(request.partition.value());
  HistoryCopy history{.history = {.cell = "streamed", .program = "program" + partition_number},
                      .history_term = Epoch{30},
                      .records = {history_record("streamed" + partition_number, RecordKind::outcome, 2)}};
  return {.partition = request.partition,
          .sequence = request.sequence,
          .after = request.after,
          .after_tombstone = request.after_tombstone,
          .fence = Epoch{31},
          .histories = {history},
          .tombstones = {5000 + request.partition.value()},
          .more = false};
}

/// Answers the store's requests to stream incoming partitions, each with a history, a tombstone and a fence.
void answer_stream_requests(Store& daemon, Actions actions) {
  while (true) {
    std::vector<Envelope> requests;
    for (const auto& envelope : actions.now)
      if (std::holds_alternative<StreamPartition>(envelope.body))
        requests.push_back(envelope);
    if (requests.empty())
      return;
    actions = {};
    for (const auto& request : requests) {
      auto* source = daemon.machine().view()->find_at(request.to);
      auto further = daemon.receive(source->self, stream_reply(std::get<StreamPartition>(request.body)));
      actions.now.insert(actions.now.end(), further.now.begin(), further.now.end());
    }
  }
}

}  // namespace

Identity controller_identity() {
  Identity identity;
  identity.self = controller(1, "a");
  identity.seeds = {"controller1", "controller2", "controller3"};
  return identity;
}

Identity store_identity() {
  Identity identity;
  identity.self = store(1, "a");
  identity.seeds = {"controller1", "controller2", "controller3"};
  return identity;
}

void write_controller_folder(const std::filesystem::path& folder) {
  test::DataFolder written;
  {
    LogScript log;
    DaemonWithFolder<ControllerMachine> daemon(written.path, controller_identity());
    auto proposer = controller(2, "b");
    daemon.receive_decided(log.append_all(founding()));
    daemon.checkpoint();
    daemon.receive_decided(log.append_all(operation(Epoch{log.metadata().epoch.value() + 4})));
    daemon.fail_checkpoint();
    daemon.receive_decided(log.append_all(repair_begun()));
    daemon.restart();
    log.append_all(repair_finished_and_join());
    daemon.receive(proposer, CatchupReply{.epoch = log.metadata().epoch, .checkpoint = log.metadata(), .entries = {}});
    daemon.fail_checkpoint();
    daemon.receive_decided(log.append_all(drain_begun()));
    daemon.restart();
    daemon.receive_decided(log.append_all(drain_finished()));
    daemon.receive_decided(log.append_all(refounding()));
    daemon.fail_checkpoint();
    daemon.receive_decided(log.append_all(after_refounding()));
    daemon.restart();
    auto open = next(log.metadata().epoch);
    Entry accepted{.epoch = open, .commit_id = "open-commit", .change = RestoreZone{.zone = "b"}};
    daemon.receive(proposer, Prepare{.epoch = open, .ballot = {.round = 5, .proposer = 105}});
    daemon.receive(proposer, Accept{.ballot = {.round = 5, .proposer = 105}, .entry = accepted});
    daemon.receive(proposer, Prepare{.epoch = open, .ballot = {.round = 6, .proposer = 106}});
  }
  copy_folder(written, folder);
}

void write_unfounded_controller_folder(const std::filesystem::path& folder) {
  test::DataFolder written;
  {
    DaemonWithFolder<ControllerMachine> daemon(written.path, controller_identity());
    auto proposer = controller(2, "b");
    Entry founding_entry{.epoch = Epoch{1}, .commit_id = "", .change = founding().front()};
    daemon.receive(proposer, Prepare{.epoch = Epoch{1}, .ballot = {.round = 3, .proposer = 102}});
    daemon.receive(proposer, Accept{.ballot = {.round = 3, .proposer = 102}, .entry = founding_entry});
  }
  copy_folder(written, folder);
}

void write_store_folder(const std::filesystem::path& folder) {
  test::DataFolder written;
  {
    LogScript log;
    Store daemon(written.path, store_identity());
    daemon.receive_decided(log.append_all(founding()));
    write_histories(daemon);
    daemon.advance_time(kTickInterval);
    daemon.checkpoint();
    daemon.receive_decided(log.append_all(operation(Epoch{log.metadata().epoch.value() + 4})));
    daemon.receive_decided(log.append_all(repair_begun()));
    answer_stream_requests(daemon, daemon.advance_time(kStreamPageTimeout));
    daemon.fail_checkpoint();
    log.append_all(repair_finished_and_join());
    daemon.receive(controller(2, "b"),
                   CatchupReply{.epoch = log.metadata().epoch, .checkpoint = log.metadata(), .entries = {}});
    daemon.advance_time(kMovedPartitionScanInterval);
    daemon.advance_time(kMovedPartitionKeepTime);
    daemon.restart();
    daemon.receive_decided(log.append_all(drain_begun()));
    daemon.fail_checkpoint();
    daemon.receive_decided(log.append_all(drain_finished()));
    daemon.receive_decided(log.append_all(refounding()));
    replace_all_histories(daemon);
    write_histories(daemon);
    daemon.receive_decided(log.append_all(after_refounding()));
    auto read_name = first_history(daemon);
    auto read_partition = partition_of(read_name.cell, read_name.program);
    ReadHistory read{.history = read_name, .partition = read_partition, .term = log.metadata().epoch};
    daemon.receive(owner_of(daemon, read_partition).self, read);
  }
  copy_folder(written, folder);
}

}  // namespace mosskeel::golden

// Compatibility of the formats on the wire and on disk with bytes written by earlier versions (tests/data/README.md).
#include <algorithm>
#include <iomanip>

#include "net/wire.hpp"
#include "unit/messages/golden_examples.hpp"
#include "unit/messages/golden_fields.hpp"
#include "unit/messages/golden_files.hpp"

using namespace mosskeel;
using golden::Example;
using golden::Field;
using golden::Fields;
using golden::FieldType;

namespace {

constexpr auto kMessageDirectory = "messages";
constexpr auto kEntryDirectory = "entries";
constexpr auto kControllerRecordDirectory = "controller-records";
constexpr auto kStoreRecordDirectory = "store-records";

template <class Value>
std::string encoded(const Value& value) {
  return codec::encode(value);
}
std::string encoded(const Envelope& envelope) {
  return encode(envelope);
}

template <class Value>
std::optional<Value> decoded(const std::string& bytes) {
  if constexpr (std::is_same_v<Value, Envelope>)
    return decode(bytes);
  else
    return codec::decode<Value>(bytes);
}

size_t kind_of(const Envelope& envelope) {
  return envelope.body.index();
}
size_t kind_of(const Entry& entry) {
  return entry.change.index();
}
size_t kind_of(const ControllerRecord& record) {
  return record.index();
}
size_t kind_of(const StoreRecord& record) {
  return record.index();
}

template <class Value>
std::string file_name(const Example<Value>& example) {
  std::ostringstream name;
  name << std::setw(2) << std::setfill('0') << example.kind << "-" << example.name << ".hex";
  return name.str();
}

/// Checks that the golden bytes decode to the expected value, and that it is encoded as these bytes.
template <class Value>
void check_golden(const std::string& file, const Value& expected) {
  INFO("golden file " << file);
  auto bytes = golden::read_golden_bytes(file);
  auto actual = decoded<Value>(bytes);
  CHECK(actual.has_value());
  if (actual)
    golden::check_fields(golden::fields_of(*actual), golden::fields_of(expected));
  CHECK(golden::to_hex_lines(encoded(expected)) == golden::to_hex_lines(bytes));
}

/// Checks that each kind of a variant has an example, each example a file, and each file an example.
template <class Value>
void check_complete(const std::string& directory, const std::vector<Example<Value>>& examples, size_t kinds) {
  std::set<std::string> expected_files;
  std::set<std::string> actual_files;
  std::set<size_t> kinds_with_example;
  for (const auto& example : examples) {
    expected_files.insert(file_name(example));
    kinds_with_example.insert(example.kind);
  }
  for (const auto& file : std::filesystem::directory_iterator(golden::data_directory() / directory))
    actual_files.insert(file.path().filename().string());
  CHECK(actual_files == expected_files);
  CHECK(expected_files.size() == examples.size());
  for (size_t kind = 0; kind < kinds; ++kind) {
    INFO("kind " << kind << " in " << directory << " needs an example");
    CHECK(kinds_with_example.count(kind) == 1);
  }
}

template <class Value>
void check_examples(const std::string& directory, const std::vector<Example<Value>>& examples, size_t kinds) {
  check_complete(directory, examples, kinds);
  for (const auto& example : examples) {
    INFO("example " << example.name);
    CHECK(kind_of(example.value) == example.kind);
    check_golden(directory + "/" + file_name(example), example.value);
  }
}

template <class Value>
void write_examples_once(const std::string& directory, const std::vector<Example<Value>>& examples) {
  for (const auto& example : examples)
    golden::write_golden_bytes_once(directory + "/" + file_name(example), encoded(example.value));
}

/// Checks that no two numbers and no two texts of one example are equal, so that swapped fields are detected.
void check_distinct_values(const Fields& fields) {
  std::map<std::pair<FieldType, std::string>, std::string> path_of_value;
  for (const auto& field : fields) {
    if (field.type != FieldType::number && field.type != FieldType::text)
      continue;
    INFO(field.path << " is " << field.value);
    CHECK(field.value != "0");
    CHECK(field.value != "");
    auto [found, is_new] = path_of_value.emplace(std::make_pair(field.type, field.value), field.path);
    INFO("which is also the value of " << found->second);
    CHECK(is_new);
  }
}

std::string without_indices(const std::string& path) {
  std::string plain;
  bool inside_brackets = false;
  for (char character : path) {
    if (character == '[')
      inside_brackets = true;
    if (!inside_brackets)
      plain += character;
    if (character == ']')
      inside_brackets = false;
  }
  return plain;
}

/// The path of the struct that a field belongs to.
std::string parent_of(const std::string& path) {
  return path.substr(0, path.rfind('.') + 1);
}

/// Checks that any two flags of a struct differ in at least one example of its kind.
void check_distinct_flags(const std::vector<Fields>& examples) {
  std::map<std::string, std::string> values_of_flag;
  for (const auto& fields : examples)
    for (const auto& field : fields)
      if (field.type == FieldType::flag)
        values_of_flag[without_indices(field.path)] += field.value + " ";
  for (const auto& [path, values] : values_of_flag) {
    for (const auto& [other_path, other_values] : values_of_flag) {
      if (path == other_path || parent_of(path) != parent_of(other_path))
        continue;
      INFO(path << " and " << other_path);
      CHECK(values != other_values);
    }
  }
}

template <class Value>
void check_distinct(const std::vector<Example<Value>>& examples) {
  std::map<size_t, std::vector<Fields>> by_kind;
  for (const auto& example : examples) {
    INFO("example " << example.name);
    by_kind[example.kind].push_back(golden::fields_of(example.value));
    check_distinct_values(by_kind[example.kind].back());
  }
  for (const auto& [kind, fields] : by_kind) {
    INFO("kind " << kind);
    check_distinct_flags(fields);
  }
}

template <class Enumeration>
struct EnumerationExample {
  std::string file;
  std::vector<Enumeration> enumerators;
};

const EnumerationExample<Role> kRoles{"enumerations/role.hex", {Role::controller, Role::gateway, Role::store}};
const EnumerationExample<DaemonState> kDaemonStates{
    "enumerations/daemon-state.hex",
    {DaemonState::registered, DaemonState::up, DaemonState::draining, DaemonState::down, DaemonState::left}};
const EnumerationExample<ReplicaHealth> kReplicaHealths{
    "enumerations/replica-health.hex", {ReplicaHealth::warming_up, ReplicaHealth::ready, ReplicaHealth::draining}};
const EnumerationExample<SequenceKind> kSequenceKinds{"enumerations/sequence-kind.hex",
                                                      {SequenceKind::join, SequenceKind::drain, SequenceKind::repair}};
const EnumerationExample<SequenceStep> kSequenceSteps{"enumerations/sequence-step.hex",
                                                      {SequenceStep::start, SequenceStep::mid, SequenceStep::finish}};
const EnumerationExample<Outcome> kOutcomes{"enumerations/outcome.hex", {Outcome::yes, Outcome::no, Outcome::unknown}};
/// The same enumeration as `Outcome` when the golden data was written, so its numbers are in the same file.
const EnumerationExample<CommitOutcome> kCommitOutcomes{
    "enumerations/outcome.hex", {CommitOutcome::committed, CommitOutcome::rejected, CommitOutcome::unknown}};
const EnumerationExample<RecordKind> kRecordKinds{"enumerations/record-kind.hex",
                                                  {RecordKind::reservation, RecordKind::outcome, RecordKind::ended}};
const EnumerationExample<Rejection> kRejections{
    "enumerations/rejection.hex",
    {Rejection::none, Rejection::revision_conflict, Rejection::forgotten, Rejection::invalid,
     Rejection::already_in_effect, Rejection::unknown_target, Rejection::refused, Rejection::busy}};

template <class Action>
void for_each_enumeration(Action action) {
  action(kRoles);
  action(kDaemonStates);
  action(kReplicaHealths);
  action(kSequenceKinds);
  action(kSequenceSteps);
  action(kOutcomes);
  action(kCommitOutcomes);
  action(kRecordKinds);
  action(kRejections);
}

constexpr auto kMetadataFile = "values/metadata.hex";
constexpr auto kControllerCheckpointFile = "values/controller-checkpoint.hex";
constexpr auto kStoreCheckpointFile = "values/store-checkpoint.hex";
constexpr auto kSyncMarkFile = "values/sync-mark.hex";
constexpr auto kLogFrameFile = "values/log-frame.hex";
constexpr auto kDerivedValuesFile = "values/derived-values.hex";

const std::string kFramedRecord = "a record in a log segment";

/// Numbers that are computed from names, and stored on disk or compared between daemons of different versions.
std::vector<uint64_t> derived_values() {
  return {partition_of("cell-name", "program-name").value(),
          partition_of("other-cell", "other-program").value(),
          tombstone_of({.cell = "cell-name", .program = "program-name"}),
          next_cluster_id(301, 302),
          digest("digested text"),
          digest("digested text", 303)};
}

}  // namespace

TEST_CASE("Every field of a golden example has a value of its own") {
  check_distinct(golden::message_examples());
  check_distinct(golden::entry_examples());
  check_distinct(golden::controller_record_examples());
  check_distinct(golden::store_record_examples());
  check_distinct_values(golden::fields_of(golden::metadata_example()));
  check_distinct_values(golden::fields_of(golden::controller_checkpoint_example()));
  check_distinct_values(golden::fields_of(golden::store_checkpoint_example()));
  check_distinct_values(golden::fields_of(golden::sync_mark_example()));
}

TEST_CASE("Golden messages of every kind are read field by field and written as the same bytes") {
  check_examples(kMessageDirectory, golden::message_examples(), std::variant_size_v<Message>);
}

TEST_CASE("Golden log entries of every kind are read field by field and written as the same bytes") {
  check_examples(kEntryDirectory, golden::entry_examples(), std::variant_size_v<Transformation>);
}

TEST_CASE("Golden journal records of every kind are read field by field and written as the same bytes") {
  check_examples(kControllerRecordDirectory, golden::controller_record_examples(),
                 std::variant_size_v<ControllerRecord>);
  check_examples(kStoreRecordDirectory, golden::store_record_examples(), std::variant_size_v<StoreRecord>);
}

TEST_CASE("Golden metadata and checkpoints are read field by field and written as the same bytes") {
  check_golden(kMetadataFile, golden::metadata_example());
  check_golden(kControllerCheckpointFile, golden::controller_checkpoint_example());
  check_golden(kStoreCheckpointFile, golden::store_checkpoint_example());
}

TEST_CASE("A golden sync mark is read field by field and written as the same bytes") {
  auto mark = golden::sync_mark_example();

  check_golden(kSyncMarkFile, mark);
  CHECK(SyncMark::kMagic == mark.magic);
  CHECK(decode_sync_mark(golden::read_golden_bytes(kSyncMarkFile), mark.incarnation, mark.sequence).has_value());
}

TEST_CASE("A golden log frame is read and written as the same bytes") {
  auto bytes = golden::read_golden_bytes(kLogFrameFile);
  CHECK(golden::to_hex_lines(frame(kFramedRecord)) == golden::to_hex_lines(bytes));

  codec::Reader reader{bytes};

  CHECK(unframe(reader) == kFramedRecord);
  CHECK(reader.remaining.empty());
}

TEST_CASE("Enumerators keep their golden numbers") {
  for_each_enumeration([](const auto& example) { check_golden(example.file, example.enumerators); });
}

TEST_CASE("Partitions, tombstones, cluster ids and digests are computed as in the golden data") {
  check_golden(kDerivedValuesFile, derived_values());
}

// Run by name after adding an example of a new kind. Existing files are never overwritten.
TEST_CASE("Write the golden files that do not exist yet", "[.write-golden-data]") {
  write_examples_once(kMessageDirectory, golden::message_examples());
  write_examples_once(kEntryDirectory, golden::entry_examples());
  write_examples_once(kControllerRecordDirectory, golden::controller_record_examples());
  write_examples_once(kStoreRecordDirectory, golden::store_record_examples());
  golden::write_golden_bytes_once(kMetadataFile, encoded(golden::metadata_example()));
  golden::write_golden_bytes_once(kControllerCheckpointFile, encoded(golden::controller_checkpoint_example()));
  golden::write_golden_bytes_once(kStoreCheckpointFile, encoded(golden::store_checkpoint_example()));
  golden::write_golden_bytes_once(kSyncMarkFile, encoded(golden::sync_mark_example()));
  golden::write_golden_bytes_once(kLogFrameFile, frame(kFramedRecord));
  golden::write_golden_bytes_once(kDerivedValuesFile, encoded(derived_values()));
  for_each_enumeration(
      [](const auto& example) { golden::write_golden_bytes_once(example.file, encoded(example.enumerators)); });
}

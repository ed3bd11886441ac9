// How many stores keep a partition, which ones, and what quorums follow from that.
#include <catch2/catch.hpp>

#include <algorithm>

#include "consensus/constants.hpp"
#include "consensus/sequence_barrier.hpp"
#include "history/constants.hpp"
#include "metadata/constants.hpp"
#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;

namespace {

Candidate candidate(uint64_t incarnation, Role role, const std::string& zone) {
  auto address = std::string(name(role)) + std::to_string(incarnation);
  return {Incarnation{incarnation}, role, zone, address, "", "", ""};
}

/// A fleet with this many stores in turn over the zones a, b and c, which bears the loss of two machines.
struct Fleet {
  Metadata metadata{};
  explicit Fleet(uint64_t stores, uint32_t copies = replication_factor_for(2, 1)) {
    must(FoundCluster{7, 3, {candidate(1, Role::controller, "a")}, 0, copies});
    must(Register{candidate(2, Role::front, "a")});
    run(PrepareJoin{id("front2")}, "front2");
    for (uint64_t n = 11; n < 11 + stores; ++n)
      add(n);
  }
  void must(const Transformation& change) {
    auto result = apply(metadata, {next(metadata.epoch), "", change});
    INFO(describe(change) << (result.ok() ? "" : ": " + to_string(result.errors())));
    REQUIRE(result.ok());
    metadata = result.value();
  }
  bool refused(const Transformation& change) { return !apply(metadata, {next(metadata.epoch), "", change}).ok(); }
  void run(const Transformation& prepare, const std::string& address) {
    must(prepare);
    for (auto step : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
      must(AdvanceSequence{id(address), step});
  }
  void add(uint64_t n) {
    must(Register{candidate(n, Role::store, std::string(1, static_cast<char>('a' + n % 3)))});
    auto address = "store" + std::to_string(n);
    run(PrepareJoin{id(address)}, address);
  }
  DaemonId id(const std::string& address) const { return metadata.find_at(address)->id; }
  const Daemon& daemon(const std::string& address) const { return *metadata.find_at(address); }
};

/// The most copies of one partition that a zone holds.
long most_in_one_zone(const Metadata& metadata, const Partition& partition) {
  std::map<std::string, long> zones;
  for (auto id : partition.stores)
    ++zones[metadata.find(id)->self.zone];
  return std::max_element(zones.begin(), zones.end(), [](auto& a, auto& b) { return a.second < b.second; })->second;
}

}  // namespace

TEST_CASE("quorums meet, and a record that counts outlives what may be lost") {
  for (uint32_t tolerated = 0; tolerated <= 3; ++tolerated) {
    Metadata metadata{};
    metadata.configured_replication_factor = replication_factor_for(tolerated, 1);
    for (size_t set = metadata.write_quorum(0); set <= metadata.configured_replication_factor + 1; ++set) {
      CHECK(metadata.write_quorum(set) + metadata.read_quorum(set) > set);
      CHECK(metadata.write_quorum(set) > tolerated);
    }
    auto full = metadata.replication_factor();
    CHECK(metadata.write_quorum(full) <= full - tolerated);
    CHECK(metadata.read_quorum(full) <= full - tolerated);
  }
}

TEST_CASE("fewer stores than a record needs keep none, and a founding without a number keeps three") {
  Fleet fleet(2, 0);
  CHECK(fleet.metadata.replication_factor() == kDefaultHistoryReplicas);
  CHECK(fleet.metadata.write_quorum(1) == 2);
  CHECK(fleet.metadata.write_quorum(2) == 2);
  Fleet wide(2);
  CHECK(wide.metadata.write_quorum(2) == 3);
}

TEST_CASE("the founding's number of stores keeps each partition, and no zone holds more than may be lost") {
  Fleet fleet(8);
  std::map<DaemonId, int> kept;
  for (auto& partition : fleet.metadata.partitions) {
    CHECK(partition.stores.size() == 5);
    CHECK(most_in_one_zone(fleet.metadata, partition) <= 2);
    for (auto id : partition.stores)
      ++kept[id];
  }
  for (auto& [id, copies] : kept)
    CHECK(copies >= static_cast<int>(kPartitionCount) * 5 / 8 / 2);
}

TEST_CASE("the places of two lost stores go to others beside each other") {
  Fleet fleet(8);
  auto first = fleet.id("store11"), second = fleet.id("store12");
  CHECK(fleet.refused(PrepareRepair{first}));
  fleet.must(MarkDown{first});
  fleet.must(MarkDown{second});
  fleet.must(PrepareRepair{first});
  fleet.must(PrepareRepair{second});
  CHECK(fleet.metadata.sequences.size() == 2);
  for (auto address : {"store11", "store12"})
    for (auto step : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
      fleet.must(AdvanceSequence{fleet.id(address), step});
  for (auto& partition : fleet.metadata.partitions) {
    CHECK(partition.stores.size() == 5);
    CHECK(most_in_one_zone(fleet.metadata, partition) <= 3);
    CHECK(std::count(partition.stores.begin(), partition.stores.end(), first) == 0);
    CHECK(std::count(partition.stores.begin(), partition.stores.end(), second) == 0);
  }
  CHECK(fleet.daemon("store11").state == DaemonState::down);
  fleet.must(MarkUp{first});
  CHECK(fleet.daemon("store11").state == DaemonState::registered);
  fleet.run(PrepareJoin{first}, "store11");
  CHECK(fleet.metadata.holds_partitions(first));
  fleet.must(ForgetStore{second});
  CHECK(fleet.metadata.find(second)->state == DaemonState::left);
}

TEST_CASE("a store that holds places is not forgotten, nor one that is up") {
  Fleet fleet(8);
  auto store = fleet.id("store11");
  CHECK(fleet.refused(ForgetStore{store}));
  fleet.must(MarkDown{store});
  CHECK(fleet.refused(ForgetStore{store}));
  fleet.must(MarkUp{store});
  CHECK(fleet.daemon("store11").state == DaemonState::up);
}

TEST_CASE("a store's drain that is given up stays ordered") {
  Fleet fleet(8);
  auto store = fleet.id("store11");
  fleet.must(PrepareDrain{store});
  fleet.must(AdvanceSequence{store, SequenceStep::start});
  fleet.must(CancelSequence{store, "a store that was to take places is lost"});
  CHECK(fleet.daemon("store11").state == DaemonState::draining);
  CHECK(fleet.metadata.holds_partitions(store));
  fleet.run(PrepareDrain{store}, "store11");
  CHECK(fleet.metadata.find(store)->state == DaemonState::left);
}

TEST_CASE("a step that moves places needs the newcomers' late word of its own start") {
  Fleet fleet(8);
  FailureDetector detector(1000);
  Millis now = 1000;
  auto leaver = fleet.id("store11");
  fleet.must(PrepareDrain{leaver});
  fleet.must(AdvanceSequence{leaver, SequenceStep::start});
  auto begun = fleet.metadata.epoch;
  auto sequence = [&] {
    return fleet.metadata.sequences.at(leaver);
  };
  auto fresh = sequence_barrier::newcomers(fleet.metadata, sequence());
  REQUIRE(fresh.size() > 1);
  CHECK(fresh.count(leaver) == 0);
  auto say = [&](DaemonId id, Epoch streamed) {
    Heartbeat beat{};
    beat.self = fleet.metadata.find(id)->self;
    beat.known = fleet.metadata.epoch;
    beat.streamed = streamed;
    detector.record(beat, now);
  };
  auto proven = [&] {
    return sequence_barrier::is_streamed(fleet.metadata, sequence(), detector, now);
  };
  for (auto id : fresh)
    say(id, Epoch{begun.value() - 1});
  CHECK_FALSE(proven());
  for (auto id : fresh)
    say(id, begun);
  CHECK(proven());
  now += kHeartbeatTimeout + 1;
  CHECK_FALSE(proven());
  for (auto id : fresh)
    say(id, begun);
  fleet.must(AdvanceSequence{leaver, SequenceStep::mid});
  CHECK(proven());
  fleet.must(MarkDown{*fresh.begin()});
  CHECK_FALSE(proven());
  CHECK(sequence_barrier::has_lost_target(fleet.metadata, sequence()));
}

TEST_CASE("what a store read before it knew its set does not count for that set") {
  test::Owner owner;
  auto history = turn_history_name("p");
  auto metadata = *owner.metadata_log.view();
  metadata.directory[DaemonId{14}] = {DaemonId{14}, test::candidate(14, Role::store, "z14"), DaemonState::up, Epoch{2}};
  for (auto& partition : metadata.partitions)
    partition.pending_stores = {DaemonId{11}, DaemonId{12}, DaemonId{14}};
  metadata.epoch = Epoch{6};
  owner.metadata_log.install_snapshot(metadata);
  REQUIRE(owner.history_writer.open(history, owner.now) == HistoryWriter::State::opening);
  auto answer = [&](uint64_t who, Epoch epoch, Records records) {
    auto envelope = test::Owner::from(
        who, ReadHistoryReply{history, owner.history_writer.term(history), true, Epoch{4}, false, std::move(records)});
    envelope.epoch = epoch;
    owner.history_writer.handle(envelope, owner.now);
  };
  answer(11, Epoch{6}, {});
  answer(14, Epoch{6}, {});
  for (auto& partition : metadata.partitions)
    partition.stores = std::exchange(partition.pending_stores, {}), partition.stores_epoch = Epoch{7};
  metadata.epoch = Epoch{7};
  owner.metadata_log.install_snapshot(metadata);
  owner.history_writer.tick(owner.now += kStoreRetryInterval + 1);
  CHECK(owner.history_writer.open(history, owner.now) == HistoryWriter::State::opening);
  Record kept{};
  kept.key = "acknowledged";
  answer(11, Epoch{7}, {});
  answer(14, Epoch{7}, {kept});
  CHECK(owner.history_writer.records(history).size() == 1);
}

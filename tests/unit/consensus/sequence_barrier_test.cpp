// When the steps of a sequence may be taken, given the reports of the new stores.
#include "consensus/sequence_barrier.hpp"
#include "unit/catch.hpp"

#include "consensus/constants.hpp"
#include "unit/metadata/metadata_fixture.hpp"

using namespace mosskeel;
using mosskeel::test::StoreFleet;

namespace {

/// A fleet of eight stores in which "store11" is being drained; the sequence has taken its first step.
struct DrainingStore {
  StoreFleet fleet{8};
  TimePoint now{1000ms};
  FailureDetector detector{now};
  DaemonId draining = fleet.id("store11");
  Epoch started_epoch;
  /// The stores that take over the partitions.
  std::set<DaemonId> new_stores;

  DrainingStore() {
    fleet.commit(PrepareDrain{draining});
    fleet.commit(AdvanceSequence{draining, SequenceStep::start});
    started_epoch = fleet.metadata.epoch;
    new_stores = sequence_barrier::new_stores(fleet.metadata, sequence());
    REQUIRE(new_stores.size() > 1);
    CHECK(new_stores.count(draining) == 0);
  }

  const Sequence& sequence() const { return fleet.metadata.sequences.at(draining); }

  /// Receives a heartbeat from each new store, which has streamed all histories up to this epoch.
  void receive_heartbeats(Epoch streamed) {
    for (DaemonId id : new_stores) {
      Heartbeat heartbeat{};
      heartbeat.self = fleet.metadata.find(id)->self;
      heartbeat.known = fleet.metadata.epoch;
      heartbeat.streamed = streamed;
      detector.record(heartbeat, now);
    }
  }

  bool is_streamed() const {
    return sequence_barrier::histories_are_streamed(fleet.metadata, sequence(), detector, now);
  }
};

}  // namespace

TEST_CASE("A step that moves partitions needs a recent report from each new store that its streaming is complete") {
  DrainingStore drain;

  drain.receive_heartbeats(Epoch{drain.started_epoch.value() - 1});
  CHECK_FALSE(drain.is_streamed());

  drain.receive_heartbeats(drain.started_epoch);
  CHECK(drain.is_streamed());

  drain.now += kHeartbeatTimeout + 1ms;
  CHECK_FALSE(drain.is_streamed());
}

TEST_CASE("The last step of a sequence requires all new stores to be up") {
  DrainingStore drain;
  drain.receive_heartbeats(drain.started_epoch);
  drain.fleet.commit(AdvanceSequence{drain.draining, SequenceStep::mid});

  CHECK(drain.is_streamed());

  drain.fleet.commit(MarkDown{*drain.new_stores.begin()});

  CHECK_FALSE(drain.is_streamed());
  CHECK(sequence_barrier::has_lost_target(drain.fleet.metadata, drain.sequence()));
}

#include "consensus/sequence_barrier.hpp"
#include "unit/catch.hpp"

#include "consensus/constants.hpp"
#include "unit/metadata/metadata_fixture.hpp"

using namespace mosskeel;
using mosskeel::test::StoreFleet;

TEST_CASE("A step that moves partitions needs a recent heartbeat of each new store that has streamed this sequence") {
  StoreFleet fleet(8);
  TimePoint now{1000ms};
  FailureDetector detector(now);
  auto leaver = fleet.id("store11");
  fleet.commit(PrepareDrain{leaver});
  fleet.commit(AdvanceSequence{leaver, SequenceStep::start});
  auto started_epoch = fleet.metadata.epoch;
  auto sequence = [&] {
    return fleet.metadata.sequences.at(leaver);
  };
  auto new_stores = sequence_barrier::newcomers(fleet.metadata, sequence());
  REQUIRE(new_stores.size() > 1);
  CHECK(new_stores.count(leaver) == 0);
  auto all_report = [&](Epoch streamed) {
    for (auto id : new_stores) {
      Heartbeat heartbeat{};
      heartbeat.self = fleet.metadata.find(id)->self;
      heartbeat.known = fleet.metadata.epoch;
      heartbeat.streamed = streamed;
      detector.record(heartbeat, now);
    }
  };
  auto is_streamed = [&] {
    return sequence_barrier::is_streamed(fleet.metadata, sequence(), detector, now);
  };

  all_report(Epoch{started_epoch.value() - 1});
  CHECK_FALSE(is_streamed());
  all_report(started_epoch);
  CHECK(is_streamed());
  now += kHeartbeatTimeout + 1ms;
  CHECK_FALSE(is_streamed());
  all_report(started_epoch);
  fleet.commit(AdvanceSequence{leaver, SequenceStep::mid});
  CHECK(is_streamed());
  fleet.commit(MarkDown{*new_stores.begin()});
  CHECK_FALSE(is_streamed());
  CHECK(sequence_barrier::has_lost_target(fleet.metadata, sequence()));
}

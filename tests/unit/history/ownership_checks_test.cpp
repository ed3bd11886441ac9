// Confirmation of ownership by the stores, which an owner of programs needs before it answers from memory.
#include "history/ownership_checks.hpp"

#include "history/constants.hpp"
#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;

namespace {

using State = OwnershipChecks::State;

/// Gateway 1 checking its ownership of program p at stores 11, 12 and 13.
struct CheckingOwner : test::Owner {
  HistoryName name = turn_history_name("p");

  State check(const std::string& request = "a") { return history_writer.check_ownership(name, request, now); }
  /// The requests sent to stores since the last call, with the store's address.
  std::vector<std::pair<Address, ReadHistory>> take_requests() { return test::take_sent<ReadHistory>(outbox); }
  void answer(uint64_t store, const ReadHistory& request, bool granted) {
    history_writer.handle(from(store, ReadHistoryReply{request.history, request.term, granted, {}, false, {}}), now);
  }
};

}  // namespace

TEST_CASE("Ownership is confirmed once a write quorum of stores grants the term, and not before") {
  CheckingOwner owner;

  CHECK(owner.check() == State::checking);

  auto requests = owner.take_requests();
  REQUIRE(requests.size() == 3);
  owner.answer(11, requests[0].second, true);

  CHECK(owner.check() == State::checking);

  owner.answer(13, requests[0].second, true);

  CHECK(owner.history_writer.take_changed() == std::set{owner.name});
  CHECK(owner.check() == State::confirmed);
}

TEST_CASE("Ownership is refuted at once where no write quorum can grant the term any more") {
  CheckingOwner owner;
  owner.check();
  auto requests = owner.take_requests();

  owner.answer(11, requests[0].second, false);

  CHECK(owner.check() == State::checking);

  owner.answer(12, requests[0].second, false);

  CHECK(owner.check() == State::refuted);
}

TEST_CASE("An ownership check retries stores that have not answered, and ends after the quorum time-out") {
  CheckingOwner owner;
  owner.check();
  auto requests = owner.take_requests();
  owner.answer(11, requests[0].second, true);

  owner.now += kStoreRetryInterval;
  owner.history_writer.tick(owner.now);

  CHECK(owner.take_requests().size() == 2);

  owner.now += kHistoryQuorumTimeout;
  owner.history_writer.tick(owner.now);

  CHECK(owner.history_writer.take_changed() == std::set{owner.name});
  CHECK(owner.check() == State::refuted);
}

TEST_CASE("A grant from before a request does not confirm the ownership for it") {
  CheckingOwner owner;
  owner.check("earlier");
  auto earlier = owner.take_requests();

  owner.check("later");
  auto later = owner.take_requests();
  for (uint64_t store : {11, 12})
    owner.answer(store, earlier[0].second, true);

  CHECK(owner.check("later") == State::checking);
  CHECK(owner.check("earlier") == State::confirmed);
  REQUIRE(later.size() == 3);
  CHECK(later[0].second.history != earlier[0].second.history);
}

TEST_CASE("Ownership is refuted if the partition has moved in the meantime") {
  CheckingOwner owner;
  owner.check();
  auto requests = owner.take_requests();
  for (uint64_t store : {11, 12})
    owner.answer(store, requests[0].second, true);

  auto metadata = *owner.metadata_log.view();
  for (auto& partition : metadata.partitions)
    partition.owner = DaemonId{2};
  metadata.epoch = next(metadata.epoch);
  owner.metadata_log.install_snapshot(metadata);

  CHECK(owner.check() == State::refuted);
}

// The Paxos acceptor in isolation: promises, acceptances and recovery.
#include "consensus/acceptor.hpp"
#include "unit/catch.hpp"
#include "unit/consensus/controllers_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

Entry registration(Epoch epoch, uint64_t number) {
  return {epoch, "register-" + std::to_string(number), Register{controller(number)}};
}

/// The acceptor of controller 1 in a founded core of three; the instance of epoch 2 is open.
struct FoundedAcceptor {
  Outbox outbox{Identity{controller(1), {}}};
  MetadataLog metadata_log;
  Acceptor acceptor{outbox, metadata_log};
  /// An envelope from controller 2, the proposer.
  Envelope proposer;

  FoundedAcceptor() {
    FoundCluster founding{7, 3, three_controllers(), 3, 0};
    REQUIRE(metadata_log.add({Epoch{1}, "found", founding}).size() == 1);
    proposer.from = "controller2";
    proposer.from_incarnation = Incarnation{2};
  }

  /// The reply to a prepare or accept request, which must be sent only after the journal is synced.
  template <class Reply, class Request>
  Reply reply_to(const Request& request) {
    acceptor.handle(proposer, request);
    Actions actions = outbox.take();
    journal.insert(journal.end(), actions.journal.begin(), actions.journal.end());
    CHECK(actions.now.empty());
    REQUIRE(actions.synced.size() == 1);
    return std::get<Reply>(actions.synced.front().body);
  }

  /// The journal records of all requests.
  std::vector<std::string> journal;
};

/// Epoch of the open instance.
constexpr Epoch kOpenEpoch{2};

}  // namespace

TEST_CASE("Acceptor promises a ballot and rejects lower ones afterwards") {
  FoundedAcceptor founded;

  Promise promise = founded.reply_to<Promise>(Prepare{kOpenEpoch, {5, 2}});
  CHECK(promise.granted);
  CHECK(promise.promised == Ballot{5, 2});
  CHECK_FALSE(promise.accepted);

  CHECK_FALSE(founded.reply_to<Promise>(Prepare{kOpenEpoch, {4, 3}}).granted);
  CHECK_FALSE(founded.reply_to<Accepted>(Accept{{4, 3}, registration(kOpenEpoch, 4)}).granted);
  CHECK_FALSE(founded.acceptor.has_accepted());
}

TEST_CASE("Acceptor reports its accepted proposal to a higher ballot") {
  FoundedAcceptor founded;
  Entry entry = registration(kOpenEpoch, 4);

  CHECK(founded.reply_to<Accepted>(Accept{{5, 2}, entry}).granted);

  Promise promise = founded.reply_to<Promise>(Prepare{kOpenEpoch, {6, 3}});

  CHECK(promise.granted);

  REQUIRE(promise.accepted);
  CHECK(promise.accepted->ballot == Ballot{5, 2});
  CHECK(promise.accepted->entry == entry);
}

TEST_CASE("Acceptor recovers its promise and its accepted proposal from the journal") {
  FoundedAcceptor founded;
  founded.reply_to<Accepted>(Accept{{5, 2}, registration(kOpenEpoch, 4)});
  founded.reply_to<Promise>(Prepare{kOpenEpoch, {6, 3}});

  FoundedAcceptor restarted;
  for (const std::string& bytes : founded.journal) {
    auto record = codec::decode<ControllerRecord>(bytes);
    REQUIRE(record);
    if (const auto* promise = std::get_if<PromiseRecord>(&*record))
      restarted.acceptor.recover(*promise);
    else
      restarted.acceptor.recover(std::get<AcceptRecord>(*record));
  }

  CHECK(restarted.acceptor.promised() == Ballot{6, 3});
  CHECK(restarted.acceptor.has_accepted());
  CHECK_FALSE(restarted.reply_to<Promise>(Prepare{kOpenEpoch, {5, 9}}).granted);
}

TEST_CASE("Acceptor sends the missing entries to a proposer of a decided instance, and promises nothing") {
  FoundedAcceptor founded;

  founded.acceptor.handle(founded.proposer, Prepare{Epoch{1}, {5, 2}});

  Actions actions = founded.outbox.take();
  CHECK(actions.synced.empty());

  REQUIRE(actions.now.size() == 1);
  CHECK(std::get<CatchupReply>(actions.now.front().body).entries.size() == 1);
  CHECK(founded.acceptor.promised() == Ballot{});
}

TEST_CASE("Acceptor requests the missing entries from a proposer that is ahead, and promises nothing") {
  FoundedAcceptor founded;

  founded.acceptor.handle(founded.proposer, Prepare{Epoch{3}, {5, 2}});

  Actions actions = founded.outbox.take();
  CHECK(actions.synced.empty());

  REQUIRE(actions.now.size() == 1);
  CHECK(std::get<Catchup>(actions.now.front().body).known == Epoch{1});
  CHECK(founded.acceptor.promised() == Ballot{});
}

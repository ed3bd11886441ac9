// Which replies confirm a quorum read.
#include "consensus/quorum_reader.hpp"
#include "consensus/constants.hpp"
#include "runtime/constants.hpp"
#include "unit/catch.hpp"
#include "unit/consensus/controllers_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

constexpr TimePoint kStart = kProcessClockStart;
constexpr uint64_t kLastTicket = 5;
/// A controller outside the core.
constexpr uint64_t kNoMember = 9;

/// A quorum read of three members that is in progress at epoch 1.
struct ReadInProgress {
  Outbox outbox{Identity{controller(1), {}}};
  MetadataLog metadata_log;
  QuorumReader reader{outbox, metadata_log};
  /// The id in the read's requests.
  uint64_t read_id{};

  ReadInProgress() {
    std::vector<DaemonInfo> members = three_controllers();
    metadata_log.add({Epoch{1}, "found", FoundCluster{7, 3, members}});
    std::map<Incarnation, Address> addresses;
    for (const DaemonInfo& member : members)
      addresses[member.incarnation] = member.address;
    reader.begin(addresses, kLastTicket, kStart);
    auto requests = outbox.take().now;
    REQUIRE(requests.size() == 3);
    read_id = std::get<QuorumRead>(requests.front().body).id;
  }

  std::optional<QuorumReader::Result> reply(uint64_t member, Epoch epoch, bool instance_open = false) {
    Envelope envelope{};
    envelope.from = "controller" + std::to_string(member);
    envelope.from_incarnation = Incarnation{member};
    return reader.handle(envelope, QuorumReadReply{read_id, epoch, instance_open});
  }
};

}  // namespace

TEST_CASE("QuorumReader is confirmed by a majority of the members, each counted once") {
  ReadInProgress read;
  CHECK_FALSE(read.reply(2, Epoch{1}));
  CHECK_FALSE(read.reply(2, Epoch{1}));
  CHECK_FALSE(read.reply(kNoMember, Epoch{1}));

  auto result = read.reply(3, Epoch{1});

  REQUIRE(result);
  CHECK(result->epoch == Epoch{1});
  CHECK(result->last_ticket == kLastTicket);
  CHECK_FALSE(result->instance_open);
  CHECK_FALSE(read.reader.in_progress());
}

TEST_CASE("QuorumReader reports an open instance if one member has accepted a proposal") {
  ReadInProgress read;
  CHECK_FALSE(read.reply(2, Epoch{1}, true));

  auto result = read.reply(3, Epoch{1});

  REQUIRE(result);
  CHECK(result->instance_open);
}

TEST_CASE("QuorumReader does not count a member with a later epoch, but requests the missing entries from it") {
  ReadInProgress read;

  CHECK_FALSE(read.reply(2, Epoch{2}));

  auto messages = read.outbox.take().now;
  REQUIRE(messages.size() == 1);

  CHECK(std::get<Catchup>(messages.front().body).known == Epoch{1});
  CHECK_FALSE(read.reply(1, Epoch{1}));
  CHECK(read.reader.in_progress());
}

TEST_CASE("QuorumReader times out after the proposal timeout") {
  ReadInProgress read;
  CHECK_FALSE(read.reader.is_timed_out(kStart + kProposalTimeout - 1ms));
  CHECK(read.reader.is_timed_out(kStart + kProposalTimeout));
}

TEST_CASE("QuorumReader is outdated once the log has a later epoch") {
  ReadInProgress read;
  CHECK_FALSE(read.reader.is_outdated());

  read.metadata_log.add({Epoch{2}, "a", ApplyConfiguration{Revision{0}, {}, Revision{1}}});

  CHECK(read.reader.is_outdated());
}

TEST_CASE("QuorumReader that was abandoned neither times out nor accepts replies") {
  ReadInProgress read;

  read.reader.abandon();

  CHECK_FALSE(read.reader.is_timed_out(kStart + kProposalTimeout));
  CHECK_FALSE(read.reply(2, Epoch{1}));
}

// Tests how the owner of a program responds to a request under a key that was used before.
#include "programs/turn_owner.hpp"

#include "history/constants.hpp"
#include "programs/program_request.hpp"
#include "unit/routing/turn_owner_fixture.hpp"

using namespace mosskeel;

namespace {

constexpr const char* kKey = "key";
constexpr const char* kOutput = "output";

/// Gateway 1 with the open history of one program.
struct OwningGateway {
  GatewayContext context{Identity{test::candidate(1, Role::gateway, "z1"), {}}};
  OpenRequests requests;
  RecentResponses recent_responses;
  ReplicaSelector replica_selector;
  RequestResponder responder{context, requests, recent_responses, replica_selector};
  HistoryWriter history_writer{context.outbox, context.metadata_log};
  TurnClient turn_client{context.outbox, context.metadata_log};
  TurnRunners turn_runners{context, requests, turn_client};
  OutcomeSender outcome_sender{context, requests, responder};
  TurnOwner turn_owner{context, history_writer, requests, replica_selector, responder, turn_runners, outcome_sender};
  HistoryName history{turn_history_name("p")};
  TimePoint now{1000ms};

  OwningGateway() {
    auto metadata = test::small_cluster();
    Cell cell{};
    cell.name = "lab";
    cell.budget = 1000;
    metadata.configuration.cells = {cell};
    context.metadata_log.install_snapshot(metadata);
    history_writer.open(history, now);
    for (uint64_t store : {11, 12})
      receive(store, ReadHistoryReply{history, history_writer.term(history), true, {}, false, {}});
    acknowledge(0);
    REQUIRE(history_writer.open(history, now) == HistoryWriter::State::open);
  }

  void receive(uint64_t store, Message reply) {
    history_writer.handle(test::Owner::from(store, std::move(reply)), now);
  }
  /// Lets a majority of the stores acknowledge the history up to this length.
  void acknowledge(uint64_t length) {
    for (uint64_t store : {11, 12})
      receive(store, AppendHistoryReply{history, history_writer.term(history), true, false, length});
  }
  /// Appends a record of the turn, which is not committed yet. Returns the history's new length.
  uint64_t append(RecordKind kind, uint32_t status) {
    Record record{};
    record.kind = kind;
    record.key = kKey;
    record.body_digest = body_digest(request());
    record.turn = 1;
    record.runner = DaemonId{1};
    record.status = status;
    record.output = kOutput;
    return history_writer.append(history, record, now);
  }
  static ProgramRequest request() {
    ProgramRequest request{};
    request.attempt = "second attempt";
    request.cell = "lab";
    request.program = "p";
    request.kind = kModelRequest;
    request.key = kKey;
    request.body = "input";
    return request;
  }
  /// Lets two stores answer the reads in flight; they grant them if they still consider this gateway the owner.
  void answer_reads(bool granted) {
    for (auto& [receiver, read] : test::take_sent<ReadHistory>(context.outbox))
      for (uint64_t store : {11, 12})
        if (receiver == test::address_of(store))
          receive(store, ReadHistoryReply{read.history, read.term, granted, {}, false, {}});
  }
  /// Sends a second request under the key. Checks that it is answered only after the stores have confirmed or denied
  /// the ownership.
  ProgramResponse repeat(bool stores_confirm_ownership = true) {
    OpenRequest repeated;
    repeated.request = request();
    repeated.reply_to = "local:1";
    repeated.history = history;
    auto& open = requests.add(std::move(repeated));
    test::take_sent<ReadHistory>(context.outbox);
    CHECK_FALSE(turn_owner.admit(open, now));
    CHECK(test::take_sent<ProgramResponse>(context.outbox).empty());
    CHECK(open.stage == RequestStage::opening_history);
    answer_reads(stores_confirm_ownership);
    CHECK_FALSE(turn_owner.admit(open, now));
    auto sent = test::take_sent<ProgramResponse>(context.outbox);
    REQUIRE(sent.size() == 1);
    return sent[0].second;
  }
};

}  // namespace

TEST_CASE("TurnOwner returns a recorded response only once a majority of the stores has it") {
  OwningGateway gateway;
  gateway.acknowledge(gateway.append(RecordKind::reservation, 0));
  auto length = gateway.append(RecordKind::outcome, 200);

  auto before = gateway.repeat();
  gateway.acknowledge(length);
  auto after = gateway.repeat();

  CHECK(before.status == 409);
  CHECK(before.body.empty());
  CHECK(before.retry_ms > 0);
  CHECK(after.status == 200);
  CHECK(after.body == kOutput);
}

TEST_CASE("TurnOwner does not run a turn again after its outcome was lost with the memory of its gateway") {
  OwningGateway gateway;
  gateway.acknowledge(gateway.append(RecordKind::reservation, 0));

  auto response = gateway.repeat();

  CHECK(response.status == 502);
  CHECK(response.executed == Outcome::unknown);
}

// Guards against a former owner that responds definitively from a history that a newer owner has changed.
TEST_CASE("TurnOwner does not respond from its in-memory history once the stores follow a newer owner") {
  OwningGateway gateway;
  gateway.acknowledge(gateway.append(RecordKind::reservation, 0));

  SECTION("for a turn without an outcome") {
    auto response = gateway.repeat(false);

    CHECK(response.status == 503);
    CHECK(response.retry_ms > 0);
  }
  SECTION("for a turn with an outcome") {
    gateway.acknowledge(gateway.append(RecordKind::outcome, 200));

    auto response = gateway.repeat(false);

    CHECK(response.status == 503);
    CHECK(response.body.empty());
  }
}

TEST_CASE("TurnOwner rejects a turn that would make the history too large, before it runs") {
  OwningGateway gateway;
  Record large{};
  large.kind = RecordKind::outcome;
  large.key = "earlier";
  large.output = std::string(kMaxHistoryBytes, 'x');
  gateway.acknowledge(gateway.history_writer.append(gateway.history, large, gateway.now));

  auto response = gateway.repeat();

  CHECK(response.status == 413);
  CHECK(response.executed == Outcome::no);
}

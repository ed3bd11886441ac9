// Tests what is sent to the caller, the replica and the owner of a turn, by the stage at which the turn ends.
#include "routing/constants.hpp"
#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

enum class Stage { reserving, waiting, sent, streaming, committing };

/// Tokens of the events that `bring_to` streams: four events of four tokens each.
constexpr uint64_t kStreamedTokens = 16;

/// Brings a turn with kept history to a stage; from `streaming` on, four events were forwarded. Returns what was sent
/// to the replica, if anything.
SendToReplica bring_to(RouterFixture& fixture, Stage stage) {
  if (stage == Stage::waiting)
    fixture.metadata.replicas.clear();
  fixture.publish();
  auto attempt_id = fixture.receive("turn");
  if (stage == Stage::reserving)
    return {};
  fixture.reply_to_reservation(attempt_id, 200, "before;");
  if (stage == Stage::waiting)
    return {};
  auto sent = fixture.one<SendToReplica>();
  if (stage == Stage::sent)
    return sent;
  fixture.respond_with_stream(sent);
  fixture.stream_events(sent, 0, 4);
  if (stage == Stage::committing)
    fixture.handle(ResponseCompleted{sent.attempt});
  return sent;
}

/// Advances the time to the turn's deadline, and checks that nothing happens before.
void reach_deadline(RouterFixture& fixture) {
  fixture.advance(kPathTimeout - 1ms);
  CHECK(fixture.actions.empty());
  fixture.advance(1ms);
}

void check_rejected_before_dispatch(RouterFixture& fixture) {
  CHECK(fixture.one<SendResponse>().status == 503);
  CHECK_FALSE(fixture.retry_after().empty());
  CHECK(fixture.outcome().status == 0);
  CHECK(fixture.router.active_requests() == 0);
}

/// Checks that the turn has ended without a response, and that a disconnect of its caller has no further effect.
void check_ended_without_response(RouterFixture& fixture) {
  CHECK(fixture.none<SendResponse>());
  CHECK(fixture.router.active_requests() == 0);
  fixture.handle(CallerDisconnected{fixture.last_request_id});
  CHECK(fixture.actions.empty());
}

}  // namespace

TEST_CASE("A stream with kept history ends only once its outcome is committed") {
  RouterFixture fixture;
  auto attempt_id = fixture.receive("turn");
  auto reservation = std::get<ReserveTurn>(fixture.one<SendToOwner>().message);

  CHECK(reservation.budget == 1000);
  CHECK(reservation.max_tokens == 40);
  CHECK(reservation.input == "new;");

  fixture.reply_to_reservation(attempt_id, 200, "in:x;out\n");
  auto sent = fixture.one<SendToReplica>();

  CHECK(sent.body == "in:x;out\nnew;");

  fixture.respond_with_stream(sent);
  fixture.stream_events(sent, 0, 3);
  fixture.handle(ResponseCompleted{sent.attempt});

  CHECK(fixture.none<EndResponse>());

  auto outcome = fixture.outcome();
  CHECK(outcome.status == 200);
  CHECK(outcome.keep_output);
  CHECK(outcome.tokens == 12);
  CHECK(outcome.output == "w0\nw1\nw2\n");

  SECTION("committed") {
    fixture.handle(CommitTurnReply{attempt_id, true});
    fixture.one<EndResponse>();

    CHECK(fixture.none<ResetResponse>());
  }
  SECTION("not committed") {
    fixture.handle(CommitTurnReply{attempt_id, false});
    fixture.one<ResetResponse>();

    CHECK(fixture.none<EndResponse>());
  }

  CHECK(fixture.router.active_requests() == 0);

  fixture.handle(CommitTurnReply{attempt_id, true});
  CHECK(fixture.actions.empty());
}

/// Streams data without a line feed until the router does anything but forward it. Returns the bytes streamed.
size_t stream_until_cut_off(RouterFixture& fixture, const SendToReplica& sent, size_t max_bytes) {
  const std::string piece(16 << 10, 'x');
  size_t streamed = 0;
  while (streamed < max_bytes) {
    fixture.handle(ResponseDataReceived{sent.attempt, piece});
    streamed += piece.size();
    if (!fixture.none<ResetResponse>())
      break;
  }
  return streamed;
}

// Guards against gateways that ended for their memory: a replica chose how much of a turn they kept.
TEST_CASE("A turn whose output has no end is cut off, which took all of a gateway's memory, and does not run again") {
  RouterFixture fixture;
  auto limits = ResponseLimits::for_memory(0);
  auto sent = fixture.receive_and_send("turn");
  fixture.respond_with_stream(sent);

  auto streamed = stream_until_cut_off(fixture, sent, 10 * limits.turn_output_bytes);

  CHECK(streamed <= limits.turn_output_bytes + (16 << 10));
  fixture.one<ResetResponse>();
  CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
  CHECK(fixture.none<SendToReplica>());
  CHECK(fixture.outcome().status == 502);
  CHECK_FALSE(fixture.outcome().keep_output);
  CHECK(fixture.router.active_requests() == 0);
  CHECK(fixture.router.held_bytes().turn_outputs == 0);
}

TEST_CASE("A turn with a large output that ends is kept whole") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("turn");
  fixture.respond_with_stream(sent);
  const std::string data(3 << 20, 'x');

  fixture.handle(ResponseDataReceived{sent.attempt, "data: " + data + "\n\n"});
  fixture.handle(ResponseCompleted{sent.attempt});

  CHECK(fixture.outcome().output == data + "\n");
}

// Guards against the same with many turns at once, each within a bound of its own.
TEST_CASE("Many turns with outputs without end are held within one limit, the largest of them cut off first") {
  RouterFixture fixture;
  for (auto& [name, replica] : fixture.metadata.replicas)
    replica.capacity = 1000;
  fixture.metadata.epoch = Epoch{6};
  fixture.publish();
  auto limits = ResponseLimits::for_memory(0);
  std::vector<SendToReplica> turns;
  for (int turn = 0; turn < 20; ++turn) {
    turns.push_back(fixture.receive_and_send("turn"));
    fixture.respond_with_stream(turns.back());
  }
  fixture.handle(ResponseDataReceived{turns[0].attempt, "data: small\n\n"});

  const std::string piece(1 << 20, 'x');
  size_t most_held = 0;
  for (int round = 0; round < 4; ++round) {
    for (size_t turn = 1; turn < turns.size(); ++turn) {
      fixture.handle(ResponseDataReceived{turns[turn].attempt, piece});
      most_held = std::max(most_held, fixture.router.held_bytes().turn_outputs);
    }
  }

  CHECK(most_held <= limits.total_bytes);
  CHECK(fixture.router.active_requests() < turns.size());
  fixture.handle(ResponseCompleted{turns[0].attempt});
  CHECK(fixture.outcome().output == "small\n");
}

TEST_CASE("A turn that puts out far more events than its caller allows is cut off") {
  for (std::string path : {"turn", "brief"}) {
    RouterFixture fixture;
    auto sent = fixture.receive_and_send(path);
    fixture.respond_with_stream(sent);
    // 40 tokens in events of 4.
    fixture.stream_events(sent, 0, 20);
    CHECK(fixture.none<ResetResponse>());

    fixture.handle(ResponseDataReceived{sent.attempt, std::string(10000, 'x') + "\n\n"});
    CHECK(fixture.none<ResetResponse>());
    std::string events;
    for (int event = 0; event < 100; ++event)
      events += "data: x\n\n";
    fixture.handle(ResponseDataReceived{sent.attempt, events});

    fixture.one<ResetResponse>();
    fixture.one<CancelAttempt>();
    CHECK(fixture.outcome().status == 502);
  }
}

TEST_CASE("A turn without kept history ends at once and reports its tokens") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("brief");
  fixture.respond_with_stream(sent);
  fixture.stream_events(sent, 0, 3);
  fixture.handle(ResponseCompleted{sent.attempt});
  fixture.one<EndResponse>();

  CHECK(fixture.outcome().tokens == 12);
  CHECK_FALSE(fixture.outcome().keep_output);
  CHECK(fixture.outcome().output.empty());
}

TEST_CASE("A turn whose caller disconnects before its dispatch is committed as not executed") {
  for (auto stage : {Stage::reserving, Stage::waiting}) {
    INFO("stage " << static_cast<int>(stage));
    RouterFixture fixture;
    bring_to(fixture, stage);

    fixture.handle(CallerDisconnected{fixture.last_request_id});

    CHECK(fixture.outcome().status == 0);
    CHECK(fixture.outcome().tokens == 0);
    CHECK(fixture.none<CancelAttempt>());

    check_ended_without_response(fixture);
  }
}

TEST_CASE("A turn whose caller disconnects after its dispatch is cancelled and committed as failed") {
  for (auto stage : {Stage::sent, Stage::streaming}) {
    INFO("stage " << static_cast<int>(stage));
    RouterFixture fixture;
    bring_to(fixture, stage);

    fixture.handle(CallerDisconnected{fixture.last_request_id});

    CHECK(fixture.outcome().status == 502);
    CHECK(fixture.outcome().tokens == (stage == Stage::streaming ? kStreamedTokens : 0));
    CHECK(fixture.all<CancelAttempt>().size() == 1);

    check_ended_without_response(fixture);
  }
}

TEST_CASE("A turn whose caller disconnects while its outcome is being committed keeps that outcome") {
  RouterFixture fixture;
  bring_to(fixture, Stage::committing);

  fixture.handle(CallerDisconnected{fixture.last_request_id});

  CHECK(fixture.actions.empty());

  check_ended_without_response(fixture);
}

TEST_CASE("A turn that reaches its deadline before its reservation is rejected and committed as not executed") {
  RouterFixture fixture;
  bring_to(fixture, Stage::reserving);

  reach_deadline(fixture);

  check_rejected_before_dispatch(fixture);
}

TEST_CASE("A turn that waits too long for a replica is rejected and committed as not executed") {
  RouterFixture fixture;
  bring_to(fixture, Stage::waiting);

  fixture.advance(kMaxPathWait + 1ms);

  check_rejected_before_dispatch(fixture);
}

TEST_CASE("A turn that reaches its deadline after its dispatch gets 504, and is cancelled and committed as failed") {
  RouterFixture fixture;
  auto sent = bring_to(fixture, Stage::sent);

  reach_deadline(fixture);

  CHECK(fixture.one<SendResponse>().status == 504);
  CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
  CHECK(fixture.outcome().status == 502);
  CHECK(fixture.router.active_requests() == 0);
}

TEST_CASE("A stream that reaches its deadline is reset, cancelled and committed as failed with the tokens so far") {
  RouterFixture fixture;
  auto sent = bring_to(fixture, Stage::streaming);

  reach_deadline(fixture);

  fixture.one<ResetResponse>();
  CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
  CHECK(fixture.outcome().status == 502);
  CHECK(fixture.outcome().tokens == kStreamedTokens);
  CHECK(fixture.router.active_requests() == 0);
}

TEST_CASE("A turn whose outcome is not committed at its deadline is reset after a grace period") {
  RouterFixture fixture;
  bring_to(fixture, Stage::committing);

  reach_deadline(fixture);

  CHECK(fixture.actions.empty());

  fixture.advance(kTurnCommitGrace);

  fixture.one<ResetResponse>();
  CHECK(fixture.none<EndResponse>());
  CHECK(fixture.router.active_requests() == 0);
}

TEST_CASE("An owner's rejection of a turn is forwarded, and nothing is sent to a replica") {
  for (auto [status, retry_after_ms, expected_status] :
       {std::tuple{402u, 0u, 402u}, {404u, 0u, 404u}, {503u, 500u, 503u}, {409u, 0u, 502u}}) {
    RouterFixture fixture;
    auto attempt_id = fixture.receive("turn");
    fixture.reply_to_reservation(attempt_id, status, "", retry_after_ms);

    CHECK(fixture.one<SendResponse>().status == expected_status);
    CHECK(fixture.retry_after() == (retry_after_ms ? "0.500" : ""));
    CHECK(fixture.none<SendToReplica>());
    CHECK(fixture.none<SendToOwner>());

    fixture.reply_to_reservation(attempt_id);
    CHECK(fixture.actions.empty());
  }
}

TEST_CASE("An attempt that is in progress is not started twice") {
  RouterFixture fixture;
  fixture.receive("turn", {}, "same");
  fixture.receive("turn", {}, "same");

  CHECK(fixture.one<SendResponse>().status == 502);
  CHECK(fixture.none<SendToOwner>());

  fixture.reply_to_reservation("same");
  CHECK(fixture.all<SendToReplica>().size() == 1);
}

TEST_CASE("A duplicate of a request that is not idempotent gets an unknown outcome") {
  RouterFixture fixture;
  fixture.receive("unsafe", {}, "same");
  auto sent = fixture.one<SendToReplica>();
  fixture.receive("unsafe", {}, "same");

  CHECK(fixture.one<SendResponse>().status == 502);
  CHECK(fixture.none<SendToReplica>());

  SECTION("while a replica processes the first one") {
    fixture.respond(sent, 200);
  }
  SECTION("after the first one's response") {
    fixture.respond(sent, 200);
    fixture.handle(ResponseCompleted{sent.attempt});
  }
  SECTION("after the first one's response was lost") {
    fixture.handle(AttemptFailed{sent.attempt, true, "reset"});
    CHECK(fixture.one<SendResponse>().status == 502);
  }
  SECTION("after its caller has disconnected") {
    fixture.handle(CallerDisconnected{1});
  }
  fixture.receive("unsafe", {}, "same");
  CHECK(fixture.one<SendResponse>().status == 502);
  CHECK(fixture.none<SendToReplica>());
}

TEST_CASE("An attempt that is known not to have been executed may be sent again") {
  RouterFixture fixture;
  fixture.receive("unsafe", {}, "same");
  for (int attempt = 0; attempt < 2; ++attempt)
    fixture.respond(fixture.one<SendToReplica>(), 503, {{"Mosskeel-Not-Run", "1"}}, false);

  CHECK(fixture.one<SendResponse>().status == 503);

  fixture.advance(2000ms);
  fixture.receive("unsafe", {}, "same");

  CHECK(fixture.all<SendToReplica>().size() == 1);
}

TEST_CASE("A turn is dispatched by the configuration in force then, not by that of its reservation") {
  RouterFixture fixture;
  auto attempt_id = fixture.receive("turn");
  fixture.metadata.revision = Revision{2};
  SECTION("to another service") {
    fixture.metadata.configuration.paths[4].shares = {{"spare", 1}};
    fixture.publish();
    fixture.reply_to_reservation(attempt_id);

    CHECK(fixture.one<SendToReplica>().to.starts_with("spare"));
  }
  SECTION("to no path at all") {
    fixture.metadata.configuration.paths.erase(fixture.metadata.configuration.paths.begin() + 4);
    fixture.publish();
    fixture.reply_to_reservation(attempt_id);

    CHECK(fixture.one<SendResponse>().status == 404);
    CHECK(fixture.outcome().status == 0);
  }
  SECTION("to a path of another kind, on which the caller may retry") {
    fixture.metadata.configuration.paths[4].kept = false;
    fixture.publish();
    fixture.reply_to_reservation(attempt_id);

    CHECK(fixture.one<SendResponse>().status == 503);
    CHECK_FALSE(fixture.retry_after().empty());
    CHECK(fixture.outcome().status == 0);
  }
}

namespace {

/// The only replica of `app` runs one request. Three others are queued, 10 ms apart: an unsafe one, a safe one of lower
/// priority, and another unsafe one.
struct QueuedRequests : RouterFixture {
  SendToReplica running;
  RequestId oldest = 0;

  QueuedRequests() {
    metadata.configuration.paths[0].rank = 2;
    for (auto* name : {"app2", "app3"})
      metadata.replicas.erase(name);
    metadata.replicas["app1"].capacity = 1;
    metadata.revision = Revision{2};
    publish();
    running = receive_and_send("unsafe");
    while (!actions.empty())
      receive("unsafe");
    oldest = last_request_id;
    now += 10ms;
    receive("safe");
    now += 10ms;
    receive("unsafe");
  }

  /// Completes a request. Returns the attempt id of the request that is dispatched next.
  std::string complete(const SendToReplica& sent) {
    respond(sent, 200);
    handle(ResponseCompleted{sent.attempt});
    return std::string(header_value(one<SendToReplica>().fields, "Mosskeel-Attempt-Id"));
  }
};

}  // namespace

TEST_CASE("Queued requests are dispatched by priority, then by age") {
  QueuedRequests queued;

  CHECK(queued.complete(queued.running) == "a" + std::to_string(queued.oldest));

  auto next = queued.one<SendToReplica>();
  CHECK(queued.complete(next) == "a" + std::to_string(queued.last_request_id));
}

TEST_CASE("A queued request is rejected after its maximum wait") {
  QueuedRequests queued;
  queued.complete(queued.running);
  queued.complete(queued.one<SendToReplica>());

  // The request of lower priority has waited for 10 ms so far.
  queued.advance(kMaxPathWait - 11ms);
  CHECK(queued.actions.empty());

  queued.advance(1ms);
  CHECK(queued.one<SendResponse>().request_id == queued.oldest + 1);
  CHECK(queued.one<SendResponse>().status == 503);
  CHECK_FALSE(queued.retry_after().empty());
}

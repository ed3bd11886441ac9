// What the caller, the replica and the owner of a turn are told, by the stage at which the turn ends.
#include "routing/constants.hpp"
#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

enum class Stage { reserving, waiting, sent, streaming, committing };

const Stage kStages[] = {Stage::reserving, Stage::waiting, Stage::sent, Stage::streaming, Stage::committing};

/// Brings a turn with kept history to a stage; from `streaming` on, four events of four tokens each were passed on.
/// Returns what was sent to the replica, if anything.
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

TEST_CASE("A turn whose caller disconnects was not executed before its dispatch, and may have been from then on") {
  for (auto stage : kStages) {
    INFO("stage " << static_cast<int>(stage));
    RouterFixture fixture;
    auto sent = bring_to(fixture, stage);
    fixture.handle(CallerDisconnected{fixture.last_request_id});
    if (stage == Stage::committing) {
      CHECK(fixture.actions.empty());
    } else {
      bool at_replica = stage == Stage::sent || stage == Stage::streaming;
      CHECK(fixture.outcome().status == (at_replica ? 502 : 0));
      CHECK(fixture.outcome().tokens == (stage == Stage::streaming ? 16 : 0));
      CHECK(fixture.all<CancelAttempt>().size() == (at_replica ? 1 : 0));
    }

    CHECK(fixture.none<SendResponse>());
    CHECK(fixture.router.active_requests() == 0);

    fixture.handle(CallerDisconnected{fixture.last_request_id});
    CHECK(fixture.actions.empty());
  }
}

TEST_CASE("A turn that reaches its deadline ends by what is known at its stage") {
  for (auto stage : kStages) {
    INFO("stage " << static_cast<int>(stage));
    RouterFixture fixture;
    auto sent = bring_to(fixture, stage);
    if (stage == Stage::waiting) {
      fixture.advance(201ms);
    } else {
      fixture.advance(3999ms);
      CHECK(fixture.actions.empty());

      fixture.advance(1ms);
    }
    switch (stage) {
      case Stage::reserving:
      case Stage::waiting:
        CHECK(fixture.one<SendResponse>().status == 503);
        CHECK_FALSE(fixture.retry_after().empty());
        CHECK(fixture.outcome().status == 0);

        break;
      case Stage::sent:
        CHECK(fixture.one<SendResponse>().status == 504);
        CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
        CHECK(fixture.outcome().status == 502);

        break;
      case Stage::streaming:
        fixture.one<ResetResponse>();
        CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
        CHECK(fixture.outcome().status == 502);
        CHECK(fixture.outcome().tokens == 16);

        break;
      case Stage::committing:
        CHECK(fixture.actions.empty());
        fixture.advance(kTurnCommitGrace);
        fixture.one<ResetResponse>();

        CHECK(fixture.none<EndResponse>());
    }

    CHECK(fixture.router.active_requests() == 0);
  }
}

TEST_CASE("An owner's rejection of a turn is passed on, and nothing is sent to a replica") {
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

  SECTION("while the first one is at the replica") {
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
  SECTION("nowhere") {
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

TEST_CASE("Queued requests are dispatched by priority, then age, and rejected after their maximum wait") {
  RouterFixture fixture;
  fixture.metadata.configuration.paths[0].rank = 2;
  for (auto* name : {"app2", "app3"})
    fixture.metadata.replicas.erase(name);
  fixture.metadata.replicas["app1"].capacity = 1;
  fixture.metadata.revision = Revision{2};
  fixture.publish();
  auto first = fixture.receive_and_send("unsafe");
  while (!fixture.actions.empty())
    fixture.receive("unsafe");
  auto oldest = fixture.last_request_id;
  fixture.now += 10ms;
  fixture.receive("safe");
  fixture.now += 10ms;
  fixture.receive("unsafe");
  fixture.respond(first, 200);
  fixture.handle(ResponseCompleted{first.attempt});
  auto next = fixture.one<SendToReplica>();

  CHECK(header_value(next.fields, "Mosskeel-Attempt-Id") == "a" + std::to_string(oldest));

  fixture.respond(next, 200);
  fixture.handle(ResponseCompleted{next.attempt});

  CHECK(header_value(fixture.one<SendToReplica>().fields, "Mosskeel-Attempt-Id") ==
        "a" + std::to_string(fixture.last_request_id));

  fixture.advance(189ms);
  CHECK(fixture.actions.empty());

  fixture.advance(1ms);
  CHECK(fixture.one<SendResponse>().request_id == oldest + 1);
  CHECK(fixture.one<SendResponse>().status == 503);
  CHECK_FALSE(fixture.retry_after().empty());
}

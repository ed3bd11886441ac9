// A turn's stages: who is told what when it ends there.
#include "routing/constants.hpp"
#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

enum class Stage { asking, waiting, offered, passing, settling };
const Stage stages[] = {Stage::asking, Stage::waiting, Stage::offered, Stage::passing, Stage::settling};

/// Brings a kept turn to a stage; four events of four tokens each have passed from `passing` on.
SendToReplica bring(Front& f, Stage to) {
  if (to == Stage::waiting)
    f.m.replicas.clear();
  f.publish();
  auto a = f.ask("turn");
  if (to == Stage::asking)
    return {};
  f.grant(a, 200, "before;");
  if (to == Stage::waiting)
    return {};
  auto q = f.one<SendToReplica>();
  if (to == Stage::offered)
    return q;
  f.stream_head(q);
  f.events(q, 0, 4);
  if (to == Stage::settling)
    f.happen(ResponseCompleted{q.ask});
  return q;
}

}  // namespace

TEST_CASE("A stream with kept history ends only once its outcome is on a majority") {
  Front f;
  auto a = f.ask("turn");
  auto q = std::get<ReserveTurn>(f.one<SendToOwner>().body);
  CHECK(q.budget == 1000);
  CHECK(q.max_tokens == 40);
  CHECK(q.input == "new;");
  f.grant(a, 200, "in:x;out\n");
  auto r = f.one<SendToReplica>();
  CHECK(r.body == "in:x;out\nnew;");
  f.stream_head(r);
  f.events(r, 0, 3);
  f.happen(ResponseCompleted{r.ask});
  CHECK(f.none<EndResponse>());
  auto s = f.told();
  CHECK(s.status == 200);
  CHECK(s.keep_output);
  CHECK(s.tokens == 12);
  CHECK(s.output == "w0\nw1\nw2\n");
  SECTION("kept") {
    f.happen(CommitTurnReply{a, true});
    f.one<EndResponse>();
    CHECK(f.none<ResetResponse>());
  }
  SECTION("not kept") {
    f.happen(CommitTurnReply{a, false});
    f.one<ResetResponse>();
    CHECK(f.none<EndResponse>());
  }
  CHECK(f.t.active_requests() == 0);
  f.happen(CommitTurnReply{a, true});
  CHECK(f.got.empty());
}

TEST_CASE("A turn without kept history ends at once and reports its tokens") {
  Front f;
  auto q = f.offered("brief");
  f.stream_head(q);
  f.events(q, 0, 3);
  f.happen(ResponseCompleted{q.ask});
  f.one<EndResponse>();
  CHECK(f.told().tokens == 12);
  CHECK_FALSE(f.told().keep_output);
  CHECK(f.told().output.empty());
}

TEST_CASE("A turn whose caller disconnects has not run before it is sent, and may have from there on") {
  for (auto s : stages) {
    INFO(static_cast<int>(s));
    Front f;
    auto q = bring(f, s);
    f.happen(CallerDisconnected{f.last});
    if (s == Stage::settling) {
      CHECK(f.got.empty());
    } else {
      bool sent = s == Stage::offered || s == Stage::passing;
      CHECK(f.told().status == (sent ? 502 : 0));
      CHECK(f.told().tokens == (s == Stage::passing ? 16 : 0));
      CHECK(f.all<routing::CancelAttempt>().size() == (sent ? 1 : 0));
    }
    CHECK(f.none<SendResponse>());
    CHECK(f.t.active_requests() == 0);
    f.happen(CallerDisconnected{f.last});
    CHECK(f.got.empty());
  }
}

TEST_CASE("A turn that reaches its deadline ends by what is known at its stage") {
  for (auto s : stages) {
    INFO(static_cast<int>(s));
    Front f;
    auto q = bring(f, s);
    if (s == Stage::waiting) {
      f.pass(201);
    } else {
      f.pass(3999);
      CHECK(f.got.empty());
      f.pass(1);
    }
    switch (s) {
      case Stage::asking:
      case Stage::waiting:
        CHECK(f.one<SendResponse>().status == 503);
        CHECK_FALSE(f.retry_after().empty());
        CHECK(f.told().status == 0);
        break;
      case Stage::offered:
        CHECK(f.one<SendResponse>().status == 504);
        CHECK(f.one<routing::CancelAttempt>().ask == q.ask);
        CHECK(f.told().status == 502);
        break;
      case Stage::passing:
        f.one<ResetResponse>();
        CHECK(f.one<routing::CancelAttempt>().ask == q.ask);
        CHECK(f.told().status == 502);
        CHECK(f.told().tokens == 16);
        break;
      case Stage::settling:
        CHECK(f.got.empty());
        f.pass(kTurnCommitGrace);
        f.one<ResetResponse>();
        CHECK(f.none<EndResponse>());
    }
    CHECK(f.t.active_requests() == 0);
  }
}

TEST_CASE("An owner's rejection is passed on, and nothing is sent to a replica") {
  for (auto [status, retry, answered] :
       {std::tuple{402u, 0u, 402u}, {404u, 0u, 404u}, {503u, 500u, 503u}, {409u, 0u, 502u}}) {
    Front f;
    auto a = f.ask("turn");
    f.grant(a, status, "", retry);
    CHECK(f.one<SendResponse>().status == answered);
    CHECK(f.retry_after() == (retry ? "0.500" : ""));
    CHECK(f.none<SendToReplica>());
    CHECK(f.none<SendToOwner>());
    f.grant(a);
    CHECK(f.got.empty());
  }
}

TEST_CASE("An attempt that is in progress is not started twice") {
  Front f;
  f.ask("turn", {}, "same");
  f.ask("turn", {}, "same");
  CHECK(f.one<SendResponse>().status == 502);
  CHECK(f.none<SendToOwner>());
  f.grant("same");
  CHECK(f.all<SendToReplica>().size() == 1);
}

TEST_CASE("A duplicate of a request that may run once gets an unknown outcome") {
  Front f;
  f.ask("unsafe", {}, "same");
  auto q = f.one<SendToReplica>();
  f.ask("unsafe", {}, "same");
  CHECK(f.one<SendResponse>().status == 502);
  CHECK(f.none<SendToReplica>());
  SECTION("while the first one runs") {
    f.head(q, 200);
  }
  SECTION("after the first one's answer") {
    f.head(q, 200);
    f.happen(ResponseCompleted{q.ask});
  }
  SECTION("after the first one's answer was lost") {
    f.happen(AttemptFailed{q.ask, true, "reset"});
    CHECK(f.one<SendResponse>().status == 502);
  }
  SECTION("after its caller has gone") {
    f.happen(CallerDisconnected{1});
  }
  f.ask("unsafe", {}, "same");
  CHECK(f.one<SendResponse>().status == 502);
  CHECK(f.none<SendToReplica>());
}

TEST_CASE("An attempt that is known not to have run may be sent again") {
  Front f;
  f.ask("unsafe", {}, "same");
  for (int i = 0; i < 2; ++i)
    f.head(f.one<SendToReplica>(), 503, {{"Mosskeel-Not-Run", "1"}}, false);
  CHECK(f.one<SendResponse>().status == 503);
  f.pass(2000);
  f.ask("unsafe", {}, "same");
  CHECK(f.all<SendToReplica>().size() == 1);
}

TEST_CASE("A configuration that changes between reservation and dispatch routes by the new one") {
  Front f;
  auto a = f.ask("turn");
  f.m.revision = Revision{2};
  SECTION("to another service") {
    f.m.configuration.paths[4].shares = {{"spare", 1}};
    f.publish();
    f.grant(a);
    CHECK(f.one<SendToReplica>().to.starts_with("spare"));
  }
  SECTION("nowhere") {
    f.m.configuration.paths.erase(f.m.configuration.paths.begin() + 4);
    f.publish();
    f.grant(a);
    CHECK(f.one<SendResponse>().status == 404);
    CHECK(f.told().status == 0);
  }
  SECTION("to a path of another kind: it is there, so it may be asked again") {
    f.m.configuration.paths[4].kept = false;
    f.publish();
    f.grant(a);
    CHECK(f.one<SendResponse>().status == 503);
    CHECK_FALSE(f.retry_after().empty());
    CHECK(f.told().status == 0);
  }
}

TEST_CASE("Waiting requests are served by rank, then age, and rejected when their wait is over") {
  Front f;
  f.m.configuration.paths[0].rank = 2;
  for (auto n : {"app2", "app3"})
    f.m.replicas.erase(n);
  f.m.replicas["app1"].capacity = 1;
  f.m.revision = Revision{2};
  f.publish();
  auto first = f.offered("unsafe");
  while (f.got.size())
    f.ask("unsafe");
  auto oldest = f.last;
  f.now += 10;
  f.ask("safe");
  f.now += 10;
  f.ask("unsafe");
  f.head(first, 200);
  f.happen(ResponseCompleted{first.ask});
  auto next = f.one<SendToReplica>();
  CHECK(header_value(next.fields, "Mosskeel-Attempt-Id") == "a" + std::to_string(oldest));
  f.head(next, 200);
  f.happen(ResponseCompleted{next.ask});
  CHECK(header_value(f.one<SendToReplica>().fields, "Mosskeel-Attempt-Id") == "a" + std::to_string(f.last));
  f.pass(189);
  CHECK(f.got.empty());
  f.pass(1);
  CHECK(f.one<SendResponse>().id == oldest + 1);
  CHECK(f.one<SendResponse>().status == 503);
  CHECK_FALSE(f.retry_after().empty());
}

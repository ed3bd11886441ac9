// A turn's stages: who is told what when it ends there.
#include "traffic/front.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

enum class Stage { asking, waiting, offered, passing, settling };
const Stage stages[] = {Stage::asking, Stage::waiting, Stage::offered, Stage::passing, Stage::settling};

/// Brings a kept turn to a stage; four events of four tokens each have passed from `passing` on.
AskReplica bring(Front& f, Stage to) {
  if (to == Stage::waiting) f.m.replicas.clear();
  f.publish();
  auto a = f.ask("turn");
  if (to == Stage::asking) return {};
  f.grant(a, 200, "before;");
  if (to == Stage::waiting) return {};
  auto q = f.one<AskReplica>();
  if (to == Stage::offered) return q;
  f.stream_head(q);
  f.events(q, 0, 4);
  if (to == Stage::settling) f.happen(ReplicaDone{q.ask});
  return q;
}

}  // namespace

TEST_CASE("a kept stream ends only once its outcome lies on a majority") {
  Front f;
  auto a = f.ask("turn");
  auto q = std::get<TurnAsk>(f.one<TellOwner>().body);
  CHECK(q.budget == 1000);
  CHECK(q.most == 40);
  CHECK(q.input == "new;");
  f.grant(a, 200, "in:x;out\n");
  auto r = f.one<AskReplica>();
  CHECK(r.body == "in:x;out\nnew;");
  f.stream_head(r);
  f.events(r, 0, 3);
  f.happen(ReplicaDone{r.ask});
  CHECK(f.none<AnswerEnd>());
  auto s = f.told();
  CHECK(s.status == 200);
  CHECK(s.kept);
  CHECK(s.tokens == 12);
  CHECK(s.output == "w0\nw1\nw2\n");
  SECTION("kept") {
    f.happen(TurnSettled{a, true});
    f.one<AnswerEnd>();
    CHECK(f.none<AnswerCut>());
  }
  SECTION("not kept") {
    f.happen(TurnSettled{a, false});
    f.one<AnswerCut>();
    CHECK(f.none<AnswerEnd>());
  }
  CHECK(f.t.calls() == 0);
  f.happen(TurnSettled{a, true});
  CHECK(f.got.empty());
}

TEST_CASE("a turn that is not kept ends at once, its tokens are told") {
  Front f;
  auto q = f.offered("brief");
  f.stream_head(q);
  f.events(q, 0, 3);
  f.happen(ReplicaDone{q.ask});
  f.one<AnswerEnd>();
  CHECK(f.told().tokens == 12);
  CHECK_FALSE(f.told().kept);
  CHECK(f.told().output.empty());
}

TEST_CASE("a caller that leaves: its turn has not run before the offer, and may have from there on") {
  for (auto s : stages) {
    INFO(static_cast<int>(s));
    Front f;
    auto q = bring(f, s);
    f.happen(CallerLeft{f.last});
    if (s == Stage::settling) {
      CHECK(f.got.empty());
    } else {
      bool sent = s == Stage::offered || s == Stage::passing;
      CHECK(f.told().status == (sent ? 502 : 0));
      CHECK(f.told().tokens == (s == Stage::passing ? 16 : 0));
      CHECK(f.all<traffic::DropReplica>().size() == (sent ? 1 : 0));
    }
    CHECK(f.none<AnswerWhole>());
    CHECK(f.t.calls() == 0);
    f.happen(CallerLeft{f.last});
    CHECK(f.got.empty());
  }
}

TEST_CASE("the deadline passes at each stage") {
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
        CHECK(f.one<AnswerWhole>().status == 503);
        CHECK_FALSE(f.retry_after().empty());
        CHECK(f.told().status == 0);
        break;
      case Stage::offered:
        CHECK(f.one<AnswerWhole>().status == 504);
        CHECK(f.one<traffic::DropReplica>().ask == q.ask);
        CHECK(f.told().status == 502);
        break;
      case Stage::passing:
        f.one<AnswerCut>();
        CHECK(f.one<traffic::DropReplica>().ask == q.ask);
        CHECK(f.told().status == 502);
        CHECK(f.told().tokens == 16);
        break;
      case Stage::settling:
        CHECK(f.got.empty());
        f.pass(limits::settle_patience);
        f.one<AnswerCut>();
        CHECK(f.none<AnswerEnd>());
    }
    CHECK(f.t.calls() == 0);
  }
}

TEST_CASE("an owner's refusal is answered as it is, and nothing is asked of a replica") {
  for (auto [status, retry, answered] :
       {std::tuple{402u, 0u, 402u}, {404u, 0u, 404u}, {503u, 500u, 503u}, {409u, 0u, 502u}}) {
    Front f;
    auto a = f.ask("turn");
    f.grant(a, status, "", retry);
    CHECK(f.one<AnswerWhole>().status == answered);
    CHECK(f.retry_after() == (retry ? "0.500" : ""));
    CHECK(f.none<AskReplica>());
    CHECK(f.none<TellOwner>());
    f.grant(a);
    CHECK(f.got.empty());
  }
}

TEST_CASE("an attempt that is here already is not begun twice") {
  Front f;
  f.ask("turn", {}, "same");
  f.ask("turn", {}, "same");
  CHECK(f.one<AnswerWhole>().status == 502);
  CHECK(f.none<TellOwner>());
  f.grant("same");
  CHECK(f.all<AskReplica>().size() == 1);
}

TEST_CASE("a second caller with the id of a request that may run once is answered without a promise") {
  Front f;
  f.ask("unsafe", {}, "same");
  auto q = f.one<AskReplica>();
  f.ask("unsafe", {}, "same");
  CHECK(f.one<AnswerWhole>().status == 502);
  CHECK(f.none<AskReplica>());
  SECTION("while the first one runs") {
    f.head(q, 200);
  }
  SECTION("after the first one's answer") {
    f.head(q, 200);
    f.happen(ReplicaDone{q.ask});
  }
  SECTION("after the first one's answer was lost") {
    f.happen(ReplicaLost{q.ask, true, "reset"});
    CHECK(f.one<AnswerWhole>().status == 502);
  }
  SECTION("after its caller has gone") {
    f.happen(CallerLeft{1});
  }
  f.ask("unsafe", {}, "same");
  CHECK(f.one<AnswerWhole>().status == 502);
  CHECK(f.none<AskReplica>());
}

TEST_CASE("an attempt that is known not to have run may come again") {
  Front f;
  f.ask("unsafe", {}, "same");
  for (int i = 0; i < 2; ++i) f.head(f.one<AskReplica>(), 503, {{"Mosskeel-Not-Run", "1"}}, false);
  CHECK(f.one<AnswerWhole>().status == 503);
  f.pass(2000);
  f.ask("unsafe", {}, "same");
  CHECK(f.all<AskReplica>().size() == 1);
}

TEST_CASE("a configuration that changes between asking and offering leads by the new one") {
  Front f;
  auto a = f.ask("turn");
  f.m.revision = Revision{2};
  SECTION("to another service") {
    f.m.configuration.paths[4].shares = {{"spare", 1}};
    f.publish();
    f.grant(a);
    CHECK(f.one<AskReplica>().to.starts_with("spare"));
  }
  SECTION("nowhere") {
    f.m.configuration.paths.erase(f.m.configuration.paths.begin() + 4);
    f.publish();
    f.grant(a);
    CHECK(f.one<AnswerWhole>().status == 404);
    CHECK(f.told().status == 0);
  }
  SECTION("to a path of another kind: it is there, so it may be asked again") {
    f.m.configuration.paths[4].kept = false;
    f.publish();
    f.grant(a);
    CHECK(f.one<AnswerWhole>().status == 503);
    CHECK_FALSE(f.retry_after().empty());
    CHECK(f.told().status == 0);
  }
}

TEST_CASE("what waits is served by rank, then by age, and refused at its hold") {
  Front f;
  f.m.configuration.paths[0].rank = 2;
  for (auto n : {"app2", "app3"}) f.m.replicas.erase(n);
  f.m.replicas["app1"].places = 1;
  f.m.revision = Revision{2};
  f.publish();
  auto first = f.offered("unsafe");
  while (f.got.size()) f.ask("unsafe");
  auto oldest = f.last;
  f.now += 10;
  f.ask("safe");
  f.now += 10;
  f.ask("unsafe");
  f.head(first, 200);
  f.happen(ReplicaDone{first.ask});
  auto next = f.one<AskReplica>();
  CHECK(field(next.fields, "Mosskeel-Attempt-Id") == "a" + std::to_string(oldest));
  f.head(next, 200);
  f.happen(ReplicaDone{next.ask});
  CHECK(field(f.one<AskReplica>().fields, "Mosskeel-Attempt-Id") == "a" + std::to_string(f.last));
  f.pass(189);
  CHECK(f.got.empty());
  f.pass(1);
  CHECK(f.one<AnswerWhole>().id == oldest + 1);
  CHECK(f.one<AnswerWhole>().status == 503);
  CHECK_FALSE(f.retry_after().empty());
}

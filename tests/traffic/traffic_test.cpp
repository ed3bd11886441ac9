// Every point at which a try can fail: what is known then, and what is answered.
#include "traffic/front.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

const char* const kinds[] = {"safe", "unsafe", "stream", "resume", "turn", "brief"};

bool repeats(const std::string& kind) {
  return kind == "safe" || kind == "resume";
}
bool is_turn(const std::string& kind) {
  return kind == "turn" || kind == "brief";
}

/// A way for an offer to fail before anything of it was passed on.
struct Failure {
  const char* what;
  bool not_run;
  std::function<void(Front&, const AskReplica&)> play;
};

const Failure failures[] = {
    {"full", true,
     [](Front& f, auto& q) {
       f.head(q, 503, {{"Mosskeel-Not-Run", "full"}}, false);
     }},
    {"over its rate", true,
     [](Front& f, auto& q) {
       f.head(q, 429, {{"Mosskeel-Not-Run", "1"}}, false);
     }},
    {"not the one meant", true, [](Front& f, auto& q) { f.head(q, 421, {}, false); }},
    {"unsent", true,
     [](Front& f, auto& q) {
       f.happen(ReplicaLost{q.ask, false, "refused"});
     }},
    {"lost", false,
     [](Front& f, auto& q) {
       f.happen(ReplicaLost{q.ask, true, "reset"});
     }},
    {"another request's answer", false,
     [](Front& f, auto& q) {
       f.happen(ReplicaHead{q.ask, 200, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Server-Seal", "s"}}});
     }},
    {"another request's refusal", false,
     [](Front& f, auto& q) {
       f.happen(ReplicaHead{q.ask, 503, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Not-Run", "1"}}});
     }},
    {"no echo", false,
     [](Front& f, auto& q) {
       f.happen(ReplicaHead{q.ask, 200, {{"Mosskeel-Server-Seal", "s"}}});
     }},
    {"no seal", false, [](Front& f, auto& q) { f.head(q, 200, {}, false); }},
    {"lost after the head", false,
     [](Front& f, auto& q) {
       f.head(q, 500, {});
       f.happen(ReplicaBytes{q.ask, "half"});
       f.happen(ReplicaLost{q.ask, true, "cut"});
     }},
};

}  // namespace

TEST_CASE("an offer that fails is repeated where it may be, and refused as what is known of it") {
  for (std::string kind : kinds)
    for (auto& x : failures) {
      INFO(kind << ": " << x.what);
      Front f;
      auto q = f.offered(kind);
      x.play(f, q);
      if (x.not_run || repeats(kind)) {
        CHECK(f.none<AnswerWhole>());
        CHECK(f.none<TellOwner>());
        auto r = f.one<AskReplica>();
        CHECK(r.to != q.to);
        CHECK(std::string(field(r.fields, "Mosskeel-Target-Replica")) + ":1" == r.to);
        CHECK(r.body == q.body);
        x.play(f, r);
        if (std::string(x.what) == "unsent") x.play(f, f.one<AskReplica>());
      }
      auto w = f.one<AnswerWhole>();
      CHECK(w.status == (x.not_run ? 503 : 502));
      CHECK(f.retry_after().empty() != x.not_run);
      CHECK(f.none<AskReplica>());
      if (is_turn(kind)) CHECK(f.told().status == (x.not_run ? 0 : 502));
      CHECK(f.t.calls() == 0);
    }
}

TEST_CASE("what was sent to one replica is never refused as not run, though another said so") {
  for (std::string kind : {"safe", "resume"}) {
    Front f;
    auto q = f.offered(kind);
    f.happen(ReplicaLost{q.ask, true, "reset"});
    f.head(f.one<AskReplica>(), 503, {{"Mosskeel-Not-Run", "full"}}, false);
    CHECK(f.one<AnswerWhole>().status == 502);
    CHECK(f.retry_after().empty());
  }
}

TEST_CASE("an answer that is not this request's is dropped with its connection") {
  Front f;
  auto q = f.offered("unsafe");
  f.happen(ReplicaHead{q.ask, 200, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Server-Seal", "s"}}});
  CHECK(f.one<traffic::DropReplica>().ask == q.ask);
  f.happen(ReplicaBytes{q.ask, "late"});
  CHECK(f.got.empty());
  f.happen(ReplicaDone{q.ask});
  CHECK(f.got.empty());
}

TEST_CASE("a late answer to the attempt before is skipped once, and the own one awaited behind it") {
  Front f;
  auto q = f.offered("unsafe");
  Fields late{{"Mosskeel-Attempt-Id", "before"}, {"Mosskeel-Server-Seal", "s.0"}};
  f.happen(ReplicaHead{q.ask, 200, late, "before"});
  CHECK(f.one<SkipAnswer>().ask == q.ask);
  CHECK(f.got.size() == 1);
  SECTION("the own one comes") {
    f.head(q, 200);
    f.happen(ReplicaBytes{q.ask, "own"});
    f.happen(ReplicaDone{q.ask});
    CHECK(f.one<AnswerWhole>().body == "own");
  }
  SECTION("another late one comes") {
    f.happen(ReplicaHead{q.ask, 200, late, "before"});
    CHECK(f.one<traffic::DropReplica>().ask == q.ask);
    CHECK(f.one<AnswerWhole>().status == 502);
  }
}

TEST_CASE("an answer with the id of any other attempt is not waited behind") {
  Front f;
  auto q = f.offered("unsafe");
  Fields other{{"Mosskeel-Attempt-Id", "stranger"}, {"Mosskeel-Server-Seal", "s.0"}};
  f.happen(ReplicaHead{q.ask, 200, other, GENERATE("", "before")});
  CHECK(f.one<traffic::DropReplica>().ask == q.ask);
  CHECK(f.one<AnswerWhole>().status == 502);
}

TEST_CASE("the connection of a refusal without an id is not used again, for a late one would pass for another's") {
  Front f;
  auto q = f.offered("unsafe");
  f.happen(ReplicaHead{q.ask, 503, {{"Mosskeel-Not-Run", "1"}}, ""});
  CHECK(f.one<traffic::DropReplica>().ask == q.ask);
  CHECK(f.all<AskReplica>().size() == 1);
}

TEST_CASE("what may not be repeated goes only on a new connection or one that was just used") {
  Front f;
  CHECK(f.offered("unsafe").max_rest_ms == limits::sure_rest);
  CHECK(f.offered("stream").max_rest_ms == limits::sure_rest);
  CHECK(f.offered("turn").max_rest_ms == limits::sure_rest);
  CHECK(f.offered("safe").max_rest_ms == INT64_MAX);
  CHECK(f.offered("resume").max_rest_ms == INT64_MAX);
}

TEST_CASE("a failure of any size is held within a bound") {
  Front f;
  auto turn = GENERATE(false, true);
  auto q = f.offered(turn ? "turn" : "unsafe");
  f.head(q, 400);
  std::string large(limits::whole_bytes + 1, 'x');
  f.happen(ReplicaBytes{q.ask, large});
  if (turn) {
    CHECK(f.one<traffic::DropReplica>().ask == q.ask);
    CHECK(f.one<AnswerWhole>().status == 502);
    return;
  }
  CHECK(f.one<AnswerHead>().status == 400);
  CHECK(f.one<AnswerBytes>().bytes == large);
  f.happen(ReplicaDone{q.ask});
  CHECK(f.all<AnswerEnd>().size() == 1);
}

TEST_CASE("a refusal that does not say it was not run promises nothing to the caller") {
  for (std::string kind : {"unsafe", "stream", "turn", "brief"})
    for (uint32_t status : {408u, 429u, 503u}) {
      INFO(kind << " " << status);
      Front f;
      auto q = f.offered(kind);
      f.head(q, status);
      CHECK(f.one<AnswerWhole>().status == 502);
      CHECK(f.one<traffic::DropReplica>().ask == q.ask);
      if (is_turn(kind)) CHECK(f.told().status == 502);
    }
}

TEST_CASE("a whole answer goes out as the replica gave it") {
  for (std::string kind : {"safe", "unsafe"}) {
    Front f;
    auto q = f.offered(kind);
    CHECK(q.method == "POST");
    CHECK(q.target == "/" + kind + "/1?q=2");
    CHECK(q.body == "new;");
    f.head(q, 200, {{"X-A", "b"}});
    f.happen(ReplicaBytes{q.ask, "one "});
    f.happen(ReplicaBytes{q.ask, "two"});
    CHECK(f.got.empty());
    f.happen(ReplicaDone{q.ask});
    auto w = f.one<AnswerWhole>();
    CHECK(w.status == 200);
    CHECK(w.body == "one two");
    CHECK(field(w.fields, "Mosskeel-Server-Seal") == "s.1");
    CHECK(field(w.fields, "X-A") == "b");
  }
}

TEST_CASE("a body cut before its length is no answer, and a large one is cut where it was passed on") {
  Front f;
  auto q = f.offered("unsafe");
  f.head(q, 200);
  f.happen(ReplicaBytes{q.ask, "half"});
  SECTION("still read whole") {
    f.happen(ReplicaLost{q.ask, true, "cut"});
    CHECK(f.one<AnswerWhole>().status == 502);
  }
  SECTION("passed on") {
    f.happen(ReplicaBytes{q.ask, std::string(limits::whole_bytes, 'x')});
    CHECK(f.one<AnswerHead>().status == 200);
    CHECK(f.one<AnswerBytes>().bytes.size() == limits::whole_bytes + 4);
    f.happen(ReplicaLost{q.ask, true, "cut"});
    f.one<AnswerCut>();
    CHECK(f.none<AnswerEnd>());
  }
}

TEST_CASE("a stream that breaks is cut, never ended, and not begun anew") {
  for (std::string kind : {"stream", "resume", "turn", "brief"})
    for (int seen : {0, 2}) {
      INFO(kind << " after " << seen);
      Front f;
      auto q = f.offered(kind);
      f.stream_head(q);
      CHECK(f.one<AnswerHead>().status == 200);
      f.events(q, 0, seen);
      f.happen(ReplicaLost{q.ask, true, "reset"});
      f.one<AnswerCut>();
      CHECK(f.none<AnswerEnd>());
      CHECK(f.none<AskReplica>());
      if (!is_turn(kind)) continue;
      CHECK(f.told().status == 502);
      CHECK(f.told().tokens == 4u * static_cast<unsigned>(seen));
    }
}

TEST_CASE("what no path leads to is a 404, what comes out of touch a 503, what cannot be read a 400") {
  Front f;
  f.ask("nowhere");
  CHECK(f.one<AnswerWhole>().status == 404);
  f.ask("safe", {{"Mosskeel-Time-Left", "soon"}});
  CHECK(f.one<AnswerWhole>().status == 400);
  f.publish(f.now);
  for (auto* kind : kinds) {
    f.ask(kind);
    CHECK(f.one<AnswerWhole>().status == 503);
    CHECK_FALSE(f.retry_after().empty());
  }
  f.ask("nowhere");
  CHECK(f.one<AnswerWhole>().status == 503);
}

TEST_CASE("nothing is offered out of touch, what waits is refused at its hold") {
  Front f;
  auto a = f.ask("turn");
  f.publish(f.now);
  f.grant(a);
  CHECK(f.got.empty());
  f.pass(200);
  CHECK(f.one<AnswerWhole>().status == 503);
  CHECK(f.told().status == 0);
}

TEST_CASE("the time left is the smaller of the caller's and the path's") {
  Front f;
  CHECK(field(f.offered("safe").fields, "Mosskeel-Time-Left") == "4000");
  CHECK(field(f.offered("safe", {{"Mosskeel-Time-Left", "700"}}).fields, "Mosskeel-Time-Left") == "700");
}

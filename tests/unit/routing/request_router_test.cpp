// Every point at which a try can fail: what is known then, and what is answered.
#include "routing/constants.hpp"
#include "unit/routing/request_router_fixture.hpp"

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
  std::function<void(Front&, const SendToReplica&)> play;
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
    {"not the one meant", true,
     [](Front& f, auto& q) {
       f.head(q, 421, {}, false);
     }},
    {"unsent", true,
     [](Front& f, auto& q) {
       f.happen(AttemptFailed{q.ask, false, "refused"});
     }},
    {"lost", false,
     [](Front& f, auto& q) {
       f.happen(AttemptFailed{q.ask, true, "reset"});
     }},
    {"another request's answer", false,
     [](Front& f, auto& q) {
       f.happen(ResponseHeadersReceived{q.ask, 200, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Server-Seal", "s"}}});
     }},
    {"another request's refusal", false,
     [](Front& f, auto& q) {
       f.happen(ResponseHeadersReceived{q.ask, 503, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Not-Run", "1"}}});
     }},
    {"no echo", false,
     [](Front& f, auto& q) {
       f.happen(ResponseHeadersReceived{q.ask, 200, {{"Mosskeel-Server-Seal", "s"}}});
     }},
    {"no seal", false,
     [](Front& f, auto& q) {
       f.head(q, 200, {}, false);
     }},
    {"lost after the head", false,
     [](Front& f, auto& q) {
       f.head(q, 500, {});
       f.happen(ResponseDataReceived{q.ask, "half"});
       f.happen(AttemptFailed{q.ask, true, "cut"});
     }},
};

}  // namespace

TEST_CASE("RequestRouter retries a failed attempt where allowed and rejects by what is known of it") {
  for (std::string kind : kinds)
    for (auto& x : failures) {
      INFO(kind << ": " << x.what);
      Front f;
      auto q = f.offered(kind);
      x.play(f, q);
      if (x.not_run || repeats(kind)) {
        CHECK(f.none<SendResponse>());
        CHECK(f.none<SendToOwner>());
        auto r = f.one<SendToReplica>();
        CHECK(r.to != q.to);
        CHECK(std::string(header_value(r.fields, "Mosskeel-Target-Replica")) + ":1" == r.to);
        CHECK(r.body == q.body);
        x.play(f, r);
        if (std::string(x.what) == "unsent")
          x.play(f, f.one<SendToReplica>());
      }
      auto w = f.one<SendResponse>();
      CHECK(w.status == (x.not_run ? 503 : 502));
      CHECK(f.retry_after().empty() != x.not_run);
      CHECK(f.none<SendToReplica>());
      if (is_turn(kind))
        CHECK(f.told().status == (x.not_run ? 0 : 502));
      CHECK(f.t.active_requests() == 0);
    }
}

TEST_CASE("RequestRouter does not report not run once a replica may have run it, whatever another says") {
  for (std::string kind : {"safe", "resume"}) {
    Front f;
    auto q = f.offered(kind);
    f.happen(AttemptFailed{q.ask, true, "reset"});
    f.head(f.one<SendToReplica>(), 503, {{"Mosskeel-Not-Run", "full"}}, false);
    CHECK(f.one<SendResponse>().status == 502);
    CHECK(f.retry_after().empty());
  }
}

TEST_CASE("RequestRouter cancels the attempt when the response is another request's") {
  Front f;
  auto q = f.offered("unsafe");
  f.happen(ResponseHeadersReceived{q.ask, 200, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Server-Seal", "s"}}});
  CHECK(f.one<routing::CancelAttempt>().ask == q.ask);
  f.happen(ResponseDataReceived{q.ask, "late"});
  CHECK(f.got.empty());
  f.happen(ResponseCompleted{q.ask});
  CHECK(f.got.empty());
}

TEST_CASE("RequestRouter skips one stale response to the previous attempt and waits for its own") {
  Front f;
  auto q = f.offered("unsafe");
  HeaderFields late{{"Mosskeel-Attempt-Id", "before"}, {"Mosskeel-Server-Seal", "s.0"}};
  f.happen(ResponseHeadersReceived{q.ask, 200, late, "before"});
  CHECK(f.one<SkipStaleResponse>().ask == q.ask);
  CHECK(f.got.size() == 1);
  SECTION("the own one comes") {
    f.head(q, 200);
    f.happen(ResponseDataReceived{q.ask, "own"});
    f.happen(ResponseCompleted{q.ask});
    CHECK(f.one<SendResponse>().body == "own");
  }
  SECTION("another late one comes") {
    f.happen(ResponseHeadersReceived{q.ask, 200, late, "before"});
    CHECK(f.one<routing::CancelAttempt>().ask == q.ask);
    CHECK(f.one<SendResponse>().status == 502);
  }
}

TEST_CASE("RequestRouter does not skip a response with the id of any other attempt") {
  Front f;
  auto q = f.offered("unsafe");
  HeaderFields other{{"Mosskeel-Attempt-Id", "stranger"}, {"Mosskeel-Server-Seal", "s.0"}};
  f.happen(ResponseHeadersReceived{q.ask, 200, other, GENERATE("", "before")});
  CHECK(f.one<routing::CancelAttempt>().ask == q.ask);
  CHECK(f.one<SendResponse>().status == 502);
}

TEST_CASE("RequestRouter does not reuse the connection of a rejection without an id") {
  Front f;
  auto q = f.offered("unsafe");
  f.happen(ResponseHeadersReceived{q.ask, 503, {{"Mosskeel-Not-Run", "1"}}, ""});
  CHECK(f.one<routing::CancelAttempt>().ask == q.ask);
  CHECK(f.all<SendToReplica>().size() == 1);
}

TEST_CASE("RequestRouter sends what is not idempotent only on a new connection or one that was just used") {
  Front f;
  CHECK(f.offered("unsafe").max_idle_ms == kMaxReuseIdle);
  CHECK(f.offered("stream").max_idle_ms == kMaxReuseIdle);
  CHECK(f.offered("turn").max_idle_ms == kMaxReuseIdle);
  CHECK(f.offered("safe").max_idle_ms == INT64_MAX);
  CHECK(f.offered("resume").max_idle_ms == INT64_MAX);
}

TEST_CASE("RequestRouter bounds the memory held for an error response") {
  Front f;
  auto turn = GENERATE(false, true);
  auto q = f.offered(turn ? "turn" : "unsafe");
  f.head(q, 400);
  std::string large(kMaxBufferedResponseBytes + 1, 'x');
  f.happen(ResponseDataReceived{q.ask, large});
  if (turn) {
    CHECK(f.one<routing::CancelAttempt>().ask == q.ask);
    CHECK(f.one<SendResponse>().status == 502);
    return;
  }
  CHECK(f.one<SendResponseHeaders>().status == 400);
  CHECK(f.one<SendResponseData>().bytes == large);
  f.happen(ResponseCompleted{q.ask});
  CHECK(f.all<EndResponse>().size() == 1);
}

TEST_CASE("RequestRouter reports an unknown outcome for a rejection that does not say not run") {
  for (std::string kind : {"unsafe", "stream", "turn", "brief"})
    for (uint32_t status : {408u, 429u, 503u}) {
      INFO(kind << " " << status);
      Front f;
      auto q = f.offered(kind);
      f.head(q, status);
      CHECK(f.one<SendResponse>().status == 502);
      CHECK(f.one<routing::CancelAttempt>().ask == q.ask);
      if (is_turn(kind))
        CHECK(f.told().status == 502);
    }
}

TEST_CASE("RequestRouter passes a complete response on unchanged") {
  for (std::string kind : {"safe", "unsafe"}) {
    Front f;
    auto q = f.offered(kind);
    CHECK(q.method == "POST");
    CHECK(q.target == "/" + kind + "/1?q=2");
    CHECK(q.body == "new;");
    f.head(q, 200, {{"X-A", "b"}});
    f.happen(ResponseDataReceived{q.ask, "one "});
    f.happen(ResponseDataReceived{q.ask, "two"});
    CHECK(f.got.empty());
    f.happen(ResponseCompleted{q.ask});
    auto w = f.one<SendResponse>();
    CHECK(w.status == 200);
    CHECK(w.body == "one two");
    CHECK(header_value(w.fields, "Mosskeel-Server-Seal") == "s.1");
    CHECK(header_value(w.fields, "X-A") == "b");
  }
}

TEST_CASE("RequestRouter does not pass a truncated body on as complete, and resets a response that it has begun") {
  Front f;
  auto q = f.offered("unsafe");
  f.head(q, 200);
  f.happen(ResponseDataReceived{q.ask, "half"});
  SECTION("still read whole") {
    f.happen(AttemptFailed{q.ask, true, "cut"});
    CHECK(f.one<SendResponse>().status == 502);
  }
  SECTION("passed on") {
    f.happen(ResponseDataReceived{q.ask, std::string(kMaxBufferedResponseBytes, 'x')});
    CHECK(f.one<SendResponseHeaders>().status == 200);
    CHECK(f.one<SendResponseData>().bytes.size() == kMaxBufferedResponseBytes + 4);
    f.happen(AttemptFailed{q.ask, true, "cut"});
    f.one<ResetResponse>();
    CHECK(f.none<EndResponse>());
  }
}

TEST_CASE("RequestRouter resets a broken stream, and neither ends nor retries it") {
  for (std::string kind : {"stream", "resume", "turn", "brief"})
    for (int seen : {0, 2}) {
      INFO(kind << " after " << seen);
      Front f;
      auto q = f.offered(kind);
      f.stream_head(q);
      CHECK(f.one<SendResponseHeaders>().status == 200);
      f.events(q, 0, seen);
      f.happen(AttemptFailed{q.ask, true, "reset"});
      f.one<ResetResponse>();
      CHECK(f.none<EndResponse>());
      CHECK(f.none<SendToReplica>());
      if (!is_turn(kind))
        continue;
      CHECK(f.told().status == 502);
      CHECK(f.told().tokens == 4u * static_cast<unsigned>(seen));
    }
}

TEST_CASE("RequestRouter answers 404 without a route, 503 without majority contact and 400 to malformed headers") {
  Front f;
  f.ask("nowhere");
  CHECK(f.one<SendResponse>().status == 404);
  f.ask("safe", {{"Mosskeel-Time-Left", "soon"}});
  CHECK(f.one<SendResponse>().status == 400);
  f.publish(f.now);
  for (auto* kind : kinds) {
    f.ask(kind);
    CHECK(f.one<SendResponse>().status == 503);
    CHECK_FALSE(f.retry_after().empty());
  }
  f.ask("nowhere");
  CHECK(f.one<SendResponse>().status == 503);
}

TEST_CASE("RequestRouter sends nothing without majority contact, and rejects a waiting request when its wait is over") {
  Front f;
  auto a = f.ask("turn");
  f.publish(f.now);
  f.grant(a);
  CHECK(f.got.empty());
  f.pass(200);
  CHECK(f.one<SendResponse>().status == 503);
  CHECK(f.told().status == 0);
}

TEST_CASE("RequestRouter forwards the smaller of the caller's and the path's time left") {
  Front f;
  CHECK(header_value(f.offered("safe").fields, "Mosskeel-Time-Left") == "4000");
  CHECK(header_value(f.offered("safe", {{"Mosskeel-Time-Left", "700"}}).fields, "Mosskeel-Time-Left") == "700");
}

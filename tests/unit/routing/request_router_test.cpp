// Tests how the request router responds to a caller for each way in which an attempt can fail.
#include "routing/constants.hpp"
#include "unit/routing/request_router_fixture.hpp"

using namespace mosskeel;
using namespace mosskeel::test;

namespace {

const char* const kPathNames[] = {"safe", "unsafe", "stream", "resume", "turn", "brief"};

bool is_idempotent_path(const std::string& path_name) {
  return path_name == "safe" || path_name == "resume";
}

/// A way in which an attempt fails before any byte of its response was forwarded.
struct AttemptFailure {
  const char* name;
  /// Whether the failure proves that the attempt was not executed.
  bool not_executed;
  std::function<void(RouterFixture&, const SendToReplica&)> inject;
};

const AttemptFailure kAttemptFailures[] = {
    {"replica full", true,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.respond(sent, 503, {{"Mosskeel-Not-Run", "full"}}, false);
     }},
    {"replica over its rate", true,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.respond(sent, 429, {{"Mosskeel-Not-Run", "1"}}, false);
     }},
    {"misdirected", true,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.respond(sent, 421, {}, false);
     }},
    {"not sent", true,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.handle(AttemptFailed{sent.attempt, false, "refused"});
     }},
    {"lost", false,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.handle(AttemptFailed{sent.attempt, true, "reset"});
     }},
    {"another request's response", false,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.handle(ResponseHeadersReceived{
           sent.attempt, 200, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Server-Seal", "s"}}, ""});
     }},
    {"another request's rejection", false,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.handle(
           ResponseHeadersReceived{sent.attempt, 503, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Not-Run", "1"}}, ""});
     }},
    {"no attempt id", false,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.handle(ResponseHeadersReceived{sent.attempt, 200, {{"Mosskeel-Server-Seal", "s"}}, ""});
     }},
    {"no seal", false,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.respond(sent, 200, {}, false);
     }},
    {"lost after the head", false,
     [](RouterFixture& fixture, const SendToReplica& sent) {
       fixture.respond(sent, 500, {});
       fixture.handle(ResponseDataReceived{sent.attempt, "half"});
       fixture.handle(AttemptFailed{sent.attempt, true, "cut"});
     }},
};

bool may_retry(const std::string& path_name, const AttemptFailure& failure) {
  return failure.not_executed || is_idempotent_path(path_name);
}

/// Injects the same failure into all further attempts of a request.
void fail_retries(RouterFixture& fixture, const AttemptFailure& failure) {
  failure.inject(fixture, fixture.one<SendToReplica>());
  // An attempt that was not sent does not count towards the limit, so a third one follows.
  if (std::string(failure.name) == "not sent")
    failure.inject(fixture, fixture.one<SendToReplica>());
}

}  // namespace

TEST_CASE("RequestRouter retries a failed attempt at another replica if it was not executed or is idempotent") {
  for (std::string path_name : kPathNames) {
    for (auto& failure : kAttemptFailures) {
      if (!may_retry(path_name, failure))
        continue;
      INFO(path_name << ": " << failure.name);
      RouterFixture fixture;
      auto first = fixture.receive_and_send(path_name);

      failure.inject(fixture, first);

      CHECK(fixture.none<SendResponse>());
      CHECK(fixture.none<SendToOwner>());

      auto second = fixture.one<SendToReplica>();
      CHECK(second.to != first.to);
      CHECK(std::string(header_value(second.fields, "Mosskeel-Target-Replica")) + ":1" == second.to);
      CHECK(second.body == first.body);
    }
  }
}

TEST_CASE("RequestRouter rejects a request after its last attempt with a status that tells whether it may have run") {
  for (std::string path_name : kPathNames) {
    for (auto& failure : kAttemptFailures) {
      INFO(path_name << ": " << failure.name);
      RouterFixture fixture;
      auto first = fixture.receive_and_send(path_name);

      failure.inject(fixture, first);
      if (may_retry(path_name, failure))
        fail_retries(fixture, failure);

      CHECK(fixture.one<SendResponse>().status == (failure.not_executed ? 503 : 502));
      CHECK(fixture.retry_after().empty() != failure.not_executed);
      CHECK(fixture.none<SendToReplica>());
      if (is_turn(path_name))
        CHECK(fixture.outcome().status == (failure.not_executed ? 0 : 502));
      CHECK(fixture.router.active_requests() == 0);
    }
  }
}

TEST_CASE("RequestRouter reports an unknown outcome once any replica may have executed the request") {
  for (std::string path_name : {"safe", "resume"}) {
    RouterFixture fixture;
    auto sent = fixture.receive_and_send(path_name);
    fixture.handle(AttemptFailed{sent.attempt, true, "reset"});
    fixture.respond(fixture.one<SendToReplica>(), 503, {{"Mosskeel-Not-Run", "full"}}, false);

    CHECK(fixture.one<SendResponse>().status == 502);
    CHECK(fixture.retry_after().empty());
  }
}

TEST_CASE("RequestRouter cancels the attempt when the response is another request's") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("unsafe");
  fixture.handle(
      ResponseHeadersReceived{sent.attempt, 200, {{"Mosskeel-Attempt-Id", "x"}, {"Mosskeel-Server-Seal", "s"}}, ""});

  CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);

  fixture.handle(ResponseDataReceived{sent.attempt, "late"});
  CHECK(fixture.actions.empty());

  fixture.handle(ResponseCompleted{sent.attempt});
  CHECK(fixture.actions.empty());
}

TEST_CASE("RequestRouter skips one stale response to the previous attempt and waits for its own") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("unsafe");
  HeaderFields stale{{"Mosskeel-Attempt-Id", "before"}, {"Mosskeel-Server-Seal", "s.0"}};
  fixture.handle(ResponseHeadersReceived{sent.attempt, 200, stale, "before"});

  CHECK(fixture.one<SkipStaleResponse>().attempt == sent.attempt);
  CHECK(fixture.actions.size() == 1);

  SECTION("its own response follows") {
    fixture.respond(sent, 200);
    fixture.handle(ResponseDataReceived{sent.attempt, "own"});
    fixture.handle(ResponseCompleted{sent.attempt});

    CHECK(fixture.one<SendResponse>().body == "own");
  }
  SECTION("a second stale response follows") {
    fixture.handle(ResponseHeadersReceived{sent.attempt, 200, stale, "before"});
    CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
    CHECK(fixture.one<SendResponse>().status == 502);
  }
}

TEST_CASE("RequestRouter does not skip a response with the id of any other attempt") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("unsafe");
  HeaderFields other{{"Mosskeel-Attempt-Id", "stranger"}, {"Mosskeel-Server-Seal", "s.0"}};
  fixture.handle(ResponseHeadersReceived{sent.attempt, 200, other, GENERATE("", "before")});

  CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
  CHECK(fixture.one<SendResponse>().status == 502);
}

TEST_CASE("RequestRouter does not reuse the connection of a rejection without an id") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("unsafe");
  fixture.handle(ResponseHeadersReceived{sent.attempt, 503, {{"Mosskeel-Not-Run", "1"}}, ""});

  CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
  CHECK(fixture.all<SendToReplica>().size() == 1);
}

TEST_CASE("RequestRouter sends requests that are not idempotent only on a new connection or one that was just used") {
  RouterFixture fixture;
  CHECK(fixture.receive_and_send("unsafe").max_idle == kMaxReuseIdle);
  CHECK(fixture.receive_and_send("stream").max_idle == kMaxReuseIdle);
  CHECK(fixture.receive_and_send("turn").max_idle == kMaxReuseIdle);
  CHECK(fixture.receive_and_send("safe").max_idle == Duration::max());
  CHECK(fixture.receive_and_send("resume").max_idle == Duration::max());
}

TEST_CASE("RequestRouter streams an error response that is larger than its buffer") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("unsafe");
  fixture.respond(sent, 400);
  std::string large(kMaxBufferedResponseBytes + 1, 'x');

  fixture.handle(ResponseDataReceived{sent.attempt, large});

  CHECK(fixture.one<SendResponseHeaders>().status == 400);
  CHECK(fixture.one<SendResponseData>().bytes == large);

  fixture.handle(ResponseCompleted{sent.attempt});

  CHECK(fixture.all<EndResponse>().size() == 1);
}

TEST_CASE("RequestRouter buffers little of each response while it holds much of others, and loses none") {
  RouterFixture fixture;
  fixture.metadata.configuration.paths[0].timeout_ms = 100000;
  for (auto& [name, replica] : fixture.metadata.replicas)
    replica.capacity = 1000;
  fixture.metadata.epoch = Epoch{6};
  fixture.publish();
  const std::string piece(200 << 10, 'x');

  size_t most_held = 0;
  size_t streamed = 0;
  for (int request = 0; request < 600; ++request) {
    auto sent = fixture.receive_and_send("safe");
    fixture.respond(sent, 200);
    fixture.handle(ResponseDataReceived{sent.attempt, piece});
    streamed += fixture.all<SendResponseHeaders>().size();
    most_held = std::max(most_held, fixture.router.held_bytes().buffered_responses);
    CHECK(fixture.none<ResetResponse>());
  }

  CHECK(most_held <= ResponseLimits::for_memory(0).total_bytes);
  CHECK(streamed > 200);
  CHECK(fixture.router.active_requests() == 600);
}

TEST_CASE("RequestRouter sends nothing for a while to a replica whose response is malformed or has no end") {
  enum class Fault { malformed, unending, endless_turn };
  for (auto fault : {Fault::malformed, Fault::unending, Fault::endless_turn}) {
    INFO("fault " << static_cast<int>(fault));
    RouterFixture fixture;
    auto sent = fixture.receive_and_send(fault == Fault::endless_turn ? "turn" : "unsafe");
    fixture.respond(sent, 200);
    if (fault == Fault::malformed) {
      fixture.handle(AttemptFailed{sent.attempt, true, "chunk malformed", true});
    } else if (fault == Fault::unending) {
      fixture.handle(ResponseDataReceived{sent.attempt, std::string(kEndlessResponseBytes + 1, 'x')});
      fixture.advance(kPathTimeout);
    } else {
      fixture.handle(ResponseDataReceived{sent.attempt, std::string(8 << 20, 'x')});
    }
    auto ejection = fixture.one<ReportEjection>();

    CHECK(ejection.time == kEjectionTime);
    fixture.now += ejection.time - 1ms;
    for (int request = 0; request < 8; ++request)
      CHECK(fixture.receive_and_send(fault == Fault::endless_turn ? "turn" : "unsafe").to != sent.to);
  }
}

TEST_CASE("RequestRouter treats a stream that lasts until the close as complete only if it ends after an event") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("stream");
  HeaderFields fields{
      {"Mosskeel-Attempt-Id", sent.attempt_id}, {"Mosskeel-Server-Seal", "s.0"}, {"Content-Type", "text/event-stream"}};
  fixture.handle(ResponseHeadersReceived{sent.attempt, 200, fields, "", true});
  fixture.handle(ResponseDataReceived{sent.attempt, "id: 1\ndata: a\n\nid: 2\nda"});

  SECTION("it ends within an event") {
    fixture.handle(ResponseCompleted{sent.attempt});

    CHECK(fixture.all<ResetResponse>().size() == 1);
    CHECK(fixture.none<EndResponse>());
  }
  SECTION("the last event arrives in parts") {
    fixture.handle(ResponseDataReceived{sent.attempt, "ta: b\r\n"});
    fixture.handle(ResponseDataReceived{sent.attempt, "\r\n"});
    fixture.handle(ResponseCompleted{sent.attempt});

    CHECK(fixture.all<EndResponse>().size() == 1);
  }
}

// Guards against review case 4: requests that arrived late in a graceful shutdown were forwarded and interrupted at its
// end.
TEST_CASE("RequestRouter that shuts down rejects requests that may outlast the shutdown, and accepts all others") {
  RouterFixture fixture;
  fixture.router.begin_shutdown({.refuse_from = fixture.now + 2700ms, .ends_at = fixture.now + 6500ms});

  fixture.advance(2600ms);
  fixture.receive("unsafe");
  CHECK(fixture.all<SendToReplica>().size() == 1);

  fixture.advance(200ms);
  fixture.receive("unsafe");
  auto response = fixture.one<SendResponse>();
  CHECK(response.status == 503);
  CHECK_FALSE(header_value(response.fields, "Retry-After").empty());
  CHECK(fixture.none<SendToReplica>());

  fixture.receive("turn");
  CHECK(fixture.one<SendResponse>().status == 503);
  CHECK(fixture.none<SendToOwner>());

  fixture.receive("unsafe", {{"Mosskeel-Time-Left", "3000"}});
  CHECK(fixture.all<SendToReplica>().size() == 1);
}

// Guards against review case 4 on its related paths: requests that were accepted early in a graceful shutdown and were
// still open near its end got no response, because the process was killed.
TEST_CASE("RequestRouter that shuts down responds to all open requests before the process may be killed") {
  constexpr Duration kTimeToEnd = 1000ms;
  RouterFixture fixture;
  auto start_shutdown = [&] {
    auto ends_at = fixture.now + kTimeToEnd;
    fixture.router.begin_shutdown({.refuse_from = ends_at, .ends_at = ends_at});
  };
  auto reach_shutdown_end = [&] {
    fixture.advance(kTimeToEnd - 1ms);
    CHECK(fixture.none<SendResponse>());
    CHECK(fixture.none<ResetResponse>());
    fixture.advance(1ms);
  };

  SECTION("a turn whose reservation is unanswered is rejected as not run, which is reported to its owner") {
    fixture.receive("turn");
    start_shutdown();
    reach_shutdown_end();
    CHECK(fixture.one<SendResponse>().status == 503);
    CHECK_FALSE(fixture.retry_after().empty());
    CHECK(fixture.outcome().status == 0);
  }
  SECTION("a request that a replica is processing may have run") {
    auto sent = fixture.receive_and_send("unsafe");
    start_shutdown();
    reach_shutdown_end();
    CHECK(fixture.one<SendResponse>().status == 504);
    CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
  }
  SECTION("a stream that was started is reset") {
    auto sent = fixture.receive_and_send("stream");
    fixture.respond_with_stream(sent);
    fixture.stream_events(sent, 1, 3);
    start_shutdown();
    reach_shutdown_end();
    CHECK(fixture.one<ResetResponse>().request_id == fixture.last_request_id);
  }
  SECTION("a request that arrives during the shutdown with an earlier deadline is processed as usual") {
    start_shutdown();
    auto sent = fixture.receive_and_send("unsafe", {{"Mosskeel-Time-Left", "500"}});
    fixture.respond(sent, 200);
    fixture.handle(ResponseCompleted{sent.attempt});
    CHECK(fixture.one<SendResponse>().status == 200);
  }
  SECTION("a request that arrives during the shutdown with a later deadline ends at the end of the shutdown") {
    start_shutdown();
    fixture.receive_and_send("unsafe");
    reach_shutdown_end();
    CHECK(fixture.one<SendResponse>().status == 504);
  }
}

TEST_CASE("RequestRouter cancels a turn whose error response is larger than its buffer") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("turn");
  fixture.respond(sent, 400);

  fixture.handle(ResponseDataReceived{sent.attempt, std::string(kMaxBufferedResponseBytes + 1, 'x')});

  CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
  CHECK(fixture.one<SendResponse>().status == 502);
}

TEST_CASE("RequestRouter reports an unknown outcome for a rejection that does not rule out execution") {
  for (std::string path_name : {"unsafe", "stream", "turn", "brief"})
    for (uint32_t status : {408u, 429u, 503u}) {
      INFO(path_name << " " << status);
      RouterFixture fixture;
      auto sent = fixture.receive_and_send(path_name);
      fixture.respond(sent, status);

      CHECK(fixture.one<SendResponse>().status == 502);
      CHECK(fixture.one<CancelAttempt>().attempt == sent.attempt);
      if (is_turn(path_name))
        CHECK(fixture.outcome().status == 502);
    }
}

TEST_CASE("RequestRouter forwards a complete response unchanged") {
  for (std::string path_name : {"safe", "unsafe"}) {
    RouterFixture fixture;
    auto sent = fixture.receive_and_send(path_name);

    CHECK(sent.method == "POST");
    CHECK(sent.target == "/" + path_name + "/1?q=2");
    CHECK(sent.body == "new;");

    fixture.respond(sent, 200, {{"X-A", "b"}});
    fixture.handle(ResponseDataReceived{sent.attempt, "one "});
    fixture.handle(ResponseDataReceived{sent.attempt, "two"});

    CHECK(fixture.actions.empty());

    fixture.handle(ResponseCompleted{sent.attempt});
    auto response = fixture.one<SendResponse>();

    CHECK(response.status == 200);
    CHECK(response.body == "one two");
    CHECK(header_value(response.fields, "Mosskeel-Server-Seal") == "s.1");
    CHECK(header_value(response.fields, "X-A") == "b");
  }
}

TEST_CASE("RequestRouter does not forward a truncated body as complete, and resets a response that it has started") {
  RouterFixture fixture;
  auto sent = fixture.receive_and_send("unsafe");
  fixture.respond(sent, 200);
  fixture.handle(ResponseDataReceived{sent.attempt, "half"});
  SECTION("while the response is buffered") {
    fixture.handle(AttemptFailed{sent.attempt, true, "cut"});
    CHECK(fixture.one<SendResponse>().status == 502);
  }
  SECTION("after the response was started") {
    fixture.handle(ResponseDataReceived{sent.attempt, std::string(kMaxBufferedResponseBytes, 'x')});
    CHECK(fixture.one<SendResponseHeaders>().status == 200);
    CHECK(fixture.one<SendResponseData>().bytes.size() == kMaxBufferedResponseBytes + 4);

    fixture.handle(AttemptFailed{sent.attempt, true, "cut"});
    fixture.one<ResetResponse>();

    CHECK(fixture.none<EndResponse>());
  }
}

TEST_CASE("RequestRouter resets an interrupted stream, and neither completes nor retries it") {
  for (std::string path_name : {"stream", "resume", "turn", "brief"})
    for (int streamed_events : {0, 2}) {
      INFO(path_name << " after " << streamed_events);
      RouterFixture fixture;
      auto sent = fixture.receive_and_send(path_name);
      fixture.respond_with_stream(sent);

      CHECK(fixture.one<SendResponseHeaders>().status == 200);

      fixture.stream_events(sent, 0, streamed_events);
      fixture.handle(AttemptFailed{sent.attempt, true, "reset"});
      fixture.one<ResetResponse>();

      CHECK(fixture.none<EndResponse>());
      CHECK(fixture.none<SendToReplica>());

      if (!is_turn(path_name))
        continue;
      CHECK(fixture.outcome().status == 502);
      CHECK(fixture.outcome().tokens == 4u * static_cast<unsigned>(streamed_events));
    }
}

TEST_CASE("RequestRouter responds 404 to a request without a route") {
  RouterFixture fixture;

  fixture.receive("nowhere");

  CHECK(fixture.one<SendResponse>().status == 404);
}

TEST_CASE("RequestRouter responds 400 to malformed headers") {
  RouterFixture fixture;

  fixture.receive("safe", {{"Mosskeel-Time-Left", "soon"}});

  CHECK(fixture.one<SendResponse>().status == 400);
}

TEST_CASE("RequestRouter responds 503 to every request without majority contact, even to one without a route") {
  RouterFixture fixture;
  fixture.publish(fixture.now);

  for (auto* path_name : kPathNames) {
    fixture.receive(path_name);
    CHECK(fixture.one<SendResponse>().status == 503);
    CHECK_FALSE(fixture.retry_after().empty());
  }
  fixture.receive("nowhere");
  CHECK(fixture.one<SendResponse>().status == 503);
}

TEST_CASE(
    "RequestRouter dispatches nothing without majority contact, and rejects a queued request after its maximum wait") {
  RouterFixture fixture;
  auto attempt_id = fixture.receive("turn");
  fixture.publish(fixture.now);
  fixture.reply_to_reservation(attempt_id);

  CHECK(fixture.actions.empty());

  fixture.advance(kMaxPathWait);
  CHECK(fixture.one<SendResponse>().status == 503);
  CHECK(fixture.outcome().status == 0);
}

TEST_CASE("RequestRouter forwards the smaller of the caller's remaining time and the path's timeout") {
  RouterFixture fixture;
  CHECK(header_value(fixture.receive_and_send("safe").fields, "Mosskeel-Time-Left") == "4000");
  CHECK(header_value(fixture.receive_and_send("safe", {{"Mosskeel-Time-Left", "700"}}).fields, "Mosskeel-Time-Left") ==
        "700");
}

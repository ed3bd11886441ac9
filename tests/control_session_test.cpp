// Verdicts on orders come out of the commit's own reply, and one deadline covers a whole request.
#include <catch2/catch.hpp>

#include "operator/control_session.hpp"

using namespace mosskeel;
using Kind = Verdict::Kind;

namespace {

const char* const text = R"({"Revision":7,"Routes":[],"Services":[{"Name":"s"}]})";

CommitReply reply(Outcome o, Rejection why = Rejection::none) {
  CommitReply r{};
  r.outcome = o;
  r.rejection = why;
  r.reason = "so it is";
  return r;
}

/// A controller whose own value is empty, so that no verdict can be read off it; each commit takes `delay`.
struct Controller : ControllerAccess {
  ControllerMachine machine{Identity{{Incarnation{1}, Role::controller, "z", "c1", "", ""}, {}, 3, 1}, {}, 1000};
  Millis clock = 1000, delay = 0;
  std::vector<CommitReply> replies;
  std::vector<Transformation> asked;
  CommitReply commit(const Transformation& t, const std::string&, Millis patience) override {
    asked.push_back(t);
    clock += std::min(delay, patience);
    auto next = replies.empty() ? reply(Outcome::unknown) : replies.front();
    if (!replies.empty()) replies.erase(replies.begin());
    return delay > patience ? reply(Outcome::unknown) : next;
  }
  void inspect(const std::function<void(ControllerMachine&, Millis)>& look) override { look(machine, clock); }
  Millis now() override { return clock; }
  void pause(Millis ms) override { clock += ms; }
  bool stopped() override { return false; }
};

}  // namespace

TEST_CASE("each rejection has its verdict, whatever the controller's own value has become since") {
  const std::pair<Rejection, Kind> table[] = {{Rejection::other_revision, Kind::other_base},
                                              {Rejection::forgotten, Kind::unclear},
                                              {Rejection::invalid, Kind::invalid},
                                              {Rejection::unknown_target, Kind::unknown},
                                              {Rejection::refused, Kind::refused},
                                              {Rejection::busy, Kind::unclear},
                                              {Rejection::none, Kind::unclear}};
  for (auto [why, kind] : table) {
    Controller c;
    c.replies = {reply(Outcome::no, why), reply(Outcome::no, why), reply(Outcome::no, why)};
    ControlSession s(c, c.clock);
    // The machine's own revision is 0, the base of this very order: a later look would call it invalid.
    CHECK(s.apply("id", Revision{0}, Revision{1}, {}).kind == kind);
    CHECK(s.evacuate("z").kind == kind);
    CHECK(s.restore("z").kind == kind);
  }
}

TEST_CASE("without a majority every answer is unclear") {
  Controller c;
  ControlSession s(c, c.clock);
  CHECK(s.apply("id", Revision{0}, Revision{1}, {}).kind == Kind::unclear);
  CHECK(s.evacuate("z").kind == Kind::unclear);
  CHECK(s.restore("z").kind == Kind::unclear);
  CHECK(s.retire("m").kind == Kind::unclear);
  CHECK(s.retirement("m") == Retirement::unclear);
  CHECK_FALSE(s.newest());
}

TEST_CASE("a retirement's state is only told from a confirmed value") {
  Controller c;
  c.replies = {reply(Outcome::no, Rejection::refused)};
  ControlSession s(c, c.clock);
  CHECK(s.retirement("m") == Retirement::unknown);
  CHECK(s.retirement("m") == Retirement::unclear);
}

TEST_CASE("all steps of one request share its deadline") {
  auto* platform = control_dialect("platform");
  REQUIRE(platform);
  for (Millis delay : {100, 300, 500, 800, 1000, 5000}) {
    for (auto* method : {"PUT", "PATCH", "GET"}) {
      Controller c;
      c.delay = delay;
      for (int i = 0; i < 4; ++i) c.replies.push_back(reply(Outcome::no, Rejection::other_revision));
      ControlSession s(c, c.clock);
      auto a = platform->answer({method, "/v1/config", text, {{"if-match", "5"}}, {}}, s);
      REQUIRE(a);
      INFO(method << " with commits of " << delay << " ms");
      CHECK(c.clock - 1000 <= limits::operator_patience);
      if (delay > limits::operator_patience) CHECK(a->status == 503);
    }
  }
}

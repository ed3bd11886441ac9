// Verdicts on orders come out of the commit's own reply, and one deadline covers a whole request.
#include <catch2/catch.hpp>

#include "control/constants.hpp"
#include "control/control_session.hpp"

using namespace mosskeel;
using Code = CommandResult::Code;

namespace {

const char* const text = R"({"Revision":7,"Routes":[],"Services":[{"Name":"s"}]})";

CommitReply reply(CommitOutcome o, Rejection why = Rejection::none) {
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
    auto next = replies.empty() ? reply(CommitOutcome::unknown) : replies.front();
    if (!replies.empty())
      replies.erase(replies.begin());
    return delay > patience ? reply(CommitOutcome::unknown) : next;
  }
  void inspect(const std::function<void(ControllerMachine&, Millis)>& look) override { look(machine, clock); }
  Millis now() override { return clock; }
  void pause(Millis ms) override { clock += ms; }
  bool stopped() override { return false; }
};

}  // namespace

TEST_CASE("ControlSession maps each rejection in a commit reply to its result code") {
  const std::pair<Rejection, Code> table[] = {{Rejection::revision_conflict, Code::revision_mismatch},
                                              {Rejection::forgotten, Code::outcome_unknown},
                                              {Rejection::invalid, Code::invalid},
                                              {Rejection::unknown_target, Code::not_found},
                                              {Rejection::refused, Code::rejected},
                                              {Rejection::busy, Code::outcome_unknown},
                                              {Rejection::none, Code::outcome_unknown}};
  for (auto [why, kind] : table) {
    Controller c;
    c.replies = {reply(CommitOutcome::rejected, why), reply(CommitOutcome::rejected, why),
                 reply(CommitOutcome::rejected, why)};
    ControlSession s(c, c.clock);
    // The machine's own revision is 0, the base of this very order: a later look would call it invalid.
    CHECK(s.apply_configuration("id", Revision{0}, Revision{1}, {}).code == kind);
    CHECK(s.evacuate("z").code == kind);
    CHECK(s.restore("z").code == kind);
  }
}

TEST_CASE("ControlSession reports an unknown outcome when no majority answers") {
  Controller c;
  ControlSession s(c, c.clock);
  CHECK(s.apply_configuration("id", Revision{0}, Revision{1}, {}).code == Code::outcome_unknown);
  CHECK(s.evacuate("z").code == Code::outcome_unknown);
  CHECK(s.restore("z").code == Code::outcome_unknown);
  CHECK(s.retire("m").code == Code::outcome_unknown);
  CHECK(s.retirement_state("m") == RetirementState::unconfirmed);
  CHECK_FALSE(s.read_metadata());
}

TEST_CASE("ControlSession reads a retirement state only from a linearizable read") {
  Controller c;
  c.replies = {reply(CommitOutcome::rejected, Rejection::refused)};
  ControlSession s(c, c.clock);
  CHECK(s.retirement_state("m") == RetirementState::unknown_machine);
  CHECK(s.retirement_state("m") == RetirementState::unconfirmed);
}

TEST_CASE("ControlSession ends a request of several commits within one deadline") {
  auto* platform = find_control_protocol("platform");
  REQUIRE(platform);
  for (Millis delay : {100, 300, 500, 800, 1000, 5000}) {
    for (auto* method : {"PUT", "PATCH", "GET"}) {
      Controller c;
      c.delay = delay;
      for (int i = 0; i < 4; ++i)
        c.replies.push_back(reply(CommitOutcome::rejected, Rejection::revision_conflict));
      ControlSession s(c, c.clock);
      auto a = platform->answer({method, "/v1/config", text, {{"if-match", "5"}}, {}}, s);
      REQUIRE(a);
      INFO(method << " with commits of " << delay << " ms");
      CHECK(c.clock - 1000 <= kOperatorRequestTimeout);
      if (delay > kOperatorRequestTimeout)
        CHECK(a->status == 503);
    }
  }
}

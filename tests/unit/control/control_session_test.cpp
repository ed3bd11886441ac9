// Operator commands: results come from the commit's reply, and all steps of a request share one deadline.
#include "control/control_session.hpp"
#include "control/constants.hpp"
#include "control/control_protocol.hpp"
#include "unit/catch.hpp"

using namespace mosskeel;
using Code = CommandResult::Code;

namespace {

constexpr TimePoint kStart{1000ms};
const char* const kDocument = R"({"Revision":7,"Routes":[],"Services":[{"Name":"s"}]})";

CommitReply make_reply(CommitOutcome outcome, Rejection rejection = Rejection::none) {
  CommitReply reply{};
  reply.outcome = outcome;
  reply.rejection = rejection;
  reply.reason = "a reason";
  return reply;
}

/// Returns the scripted replies in order, then unknown outcomes. Its state machine's metadata is empty, so that no
/// result can be derived from it.
struct ScriptedController : ControllerAccess {
  ControllerMachine machine{Identity{{Incarnation{1}, Role::controller, "z", "c1", "", ""}, {}, 3, 1}, {}, kStart};
  TimePoint clock = kStart;
  /// How long each commit takes.
  Duration delay{};
  std::vector<CommitReply> replies;

  std::string new_commit_id(const std::string& purpose) override { return purpose + "-1"; }
  CommitReply commit(const Transformation&, const std::string&, Duration timeout) override {
    clock += std::min(delay, timeout);
    auto reply = take_reply();
    return delay > timeout ? make_reply(CommitOutcome::unknown) : reply;
  }

  void inspect(const std::function<void(ControllerMachine&, TimePoint)>& inspection) override {
    inspection(machine, clock);
  }

  TimePoint now() override { return clock; }
  void pause(Duration duration) override { clock += duration; }
  bool stopped() override { return false; }

 private:
  CommitReply take_reply() {
    if (replies.empty())
      return make_reply(CommitOutcome::unknown);
    auto reply = replies.front();
    replies.erase(replies.begin());
    return reply;
  }
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
  for (const auto& [rejection, code] : table) {
    ScriptedController controller;
    controller.replies.assign(3, make_reply(CommitOutcome::rejected, rejection));
    ControlSession session(controller, controller.clock);

    // The state machine's own revision is 0, which is the base of this command, so a result derived from its metadata
    // would be `invalid`.
    CHECK(session.apply_configuration("id", Revision{0}, Revision{1}, {}).code == code);
    CHECK(session.evacuate("z").code == code);
    CHECK(session.restore("z").code == code);
  }
}

TEST_CASE("ControlSession reports an unknown outcome when no majority answers") {
  ScriptedController controller;
  ControlSession session(controller, controller.clock);

  CHECK(session.apply_configuration("id", Revision{0}, Revision{1}, {}).code == Code::outcome_unknown);
  CHECK(session.evacuate("z").code == Code::outcome_unknown);
  CHECK(session.restore("z").code == Code::outcome_unknown);
  CHECK(session.retire("m").code == Code::outcome_unknown);
  CHECK(session.retirement_state("m") == RetirementState::unconfirmed);
  CHECK_FALSE(session.read_metadata());
}

// Guards against a timeout without a reason: with most gateways lost, operators got "unclear" and nobody could tell
// why.
TEST_CASE("ControlSession reports which acknowledgements the latest epoch lacks when a commit times out") {
  ScriptedController controller;
  CommitReply no_reply{};
  no_reply.outcome = CommitOutcome::unknown;
  controller.replies = {no_reply};
  ControlSession session(controller, controller.clock);

  auto result = session.evacuate("z");

  CHECK(result.code == Code::outcome_unknown);
  CHECK(result.reason.find("not in force: no majority of the core has it") != std::string::npos);
}

TEST_CASE("ControlSession takes a retirement state only from a linearizable read") {
  ScriptedController controller;
  controller.replies = {make_reply(CommitOutcome::rejected, Rejection::refused)};
  ControlSession session(controller, controller.clock);

  auto confirmed = session.retirement_state("m");
  auto unconfirmed = session.retirement_state("m");

  CHECK(confirmed == RetirementState::unknown_machine);
  CHECK(unconfirmed == RetirementState::unconfirmed);
}

TEST_CASE("ControlSession ends a request of several commits within one deadline") {
  const auto* protocol = find_control_protocol("platform");
  REQUIRE(protocol);
  for (Duration delay : {100ms, 300ms, 500ms, 800ms, 1000ms, 5000ms}) {
    for (const auto* method : {"PUT", "PATCH", "GET"}) {
      INFO(method << " with commits of " << delay.count() << " ms");
      ScriptedController controller;
      controller.delay = delay;
      controller.replies.assign(4, make_reply(CommitOutcome::rejected, Rejection::revision_conflict));
      ControlSession session(controller, controller.clock);

      auto response = protocol->answer({method, "/v1/config", kDocument, {{"if-match", "5"}}, {}}, session);

      REQUIRE(response);
      CHECK(controller.clock - kStart <= kOperatorRequestTimeout);
      if (delay > kOperatorRequestTimeout)
        CHECK(response->status == 503);
    }
  }
}

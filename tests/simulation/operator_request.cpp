#include "simulation/operator_request.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::sim {

OperatorRequest::OperatorRequest(World& w, std::string controller, ApiRequest ask, Then then)
    : w_(w),
      controller_(std::move(controller)),
      ask_(std::move(ask)),
      then_(std::move(then)),
      life_(w.node(controller_).life),
      began_(w.now()),
      session_("local:operator" + std::to_string(w.next_random())) {}

OperatorRequest::~OperatorRequest() {
  abandoned_ = true;
  while (thread_.joinable() && !over_)
    resume();
  if (thread_.joinable())
    thread_.join();
}

void OperatorRequest::start() {
  thread_ = std::thread([this] { serve(); });
  resume();
}

/// Hands the turn to the request and waits until it blocks or ends.
void OperatorRequest::resume() {
  if (over_)
    return;
  std::unique_lock l(lock_);
  mine_ = true;
  turn_.notify_all();
  turn_.wait(l, [this] { return !mine_; });
  if (!over_)
    return;
  l.unlock();
  thread_.join();
  if (!abandoned_)
    then_(lives() ? answer_ : std::nullopt, was_frozen_ ? 0ms : w_.now() - began_);
}

void OperatorRequest::serve() {
  {
    std::unique_lock l(lock_);
    turn_.wait(l, [this] { return mine_; });
  }
  thaw();
  ControlSession session(*this, now());
  if (!stopped())
    answer_ = find_control_protocol("platform")->answer(ask_, session);
  thaw();
  std::lock_guard l(lock_);
  over_ = true;
  mine_ = false;
  turn_.notify_all();
}

void OperatorRequest::wait_until(TimePoint world_time) {
  auto token = ++wake_;
  w_.at(std::max(world_time, w_.now() + 1ms), [this, token] {
    if (token == wake_)
      resume();
  });
  std::unique_lock l(lock_);
  mine_ = false;
  turn_.notify_all();
  turn_.wait(l, [this] { return mine_; });
  ++wake_;
}

bool OperatorRequest::lives() {
  return w_.node(controller_).machine && w_.node(controller_).life == life_;
}

bool OperatorRequest::stopped() {
  return abandoned_ || !lives();
}

/// A frozen process does nothing, though its clock goes on.
void OperatorRequest::thaw() {
  while (!stopped() && w_.node(controller_).frozen) {
    was_frozen_ = true;
    wait_until(w_.now() + kTickInterval);
  }
}

TimePoint OperatorRequest::now() {
  return w_.clock(w_.node(controller_));
}

void OperatorRequest::pause(Duration ms) {
  if (!stopped())
    wait_until(w_.now() + ms);
  thaw();
}

void OperatorRequest::inspect(const std::function<void(ControllerMachine&, TimePoint)>& look) {
  thaw();
  if (!stopped())
    look(static_cast<ControllerMachine&>(*w_.node(controller_).machine), now());
}

void OperatorRequest::hear(const CommitReply& r) {
  if (over_ || stopped())
    return;
  reply_ = r;
  // Not from inside the machine's own step.
  w_.at(w_.now(), [this, token = wake_] {
    if (token == wake_)
      resume();
  });
}

CommitReply OperatorRequest::commit(const Transformation& t, const std::string& id, Duration patience) {
  auto until = now() + patience;
  CommitReply last{};
  last.id = id;
  last.outcome = CommitOutcome::unknown;
  while (!stopped() && now() < until) {
    auto v = w_.node(controller_).machine->view();
    Envelope e{};
    e.from = session_;
    e.cluster = v->cluster;
    e.epoch = v->epoch;
    e.body = Commit{id, t, v->epoch, (until - now()).count()};
    reply_.reset();
    w_.at(w_.now(), [this, e] {
      if (lives())
        w_.post(controller_, e);
    });
    wait_until(w_.now() + std::min<Duration>(kCommitAttemptTimeout + kHeartbeatInterval, until - now()));
    thaw();
    if (reply_ && reply_->id == id) {
      last = *reply_;
      if (last.outcome != CommitOutcome::unknown)
        break;
    }
  }
  return last;
}

}  // namespace mosskeel::sim

#include "simulation/operator_request.hpp"

#include <algorithm>

#include "replication/constants.hpp"
#include "runtime/constants.hpp"

namespace mosskeel::sim {

OperatorRequest::OperatorRequest(World& world, std::string controller, ApiRequest request, Callback on_done)
    : world_(world),
      controller_(std::move(controller)),
      request_(std::move(request)),
      on_done_(std::move(on_done)),
      process_id_(world.node(controller_).process_id),
      began_(world.now()),
      session_("local:operator" + std::to_string(world.next_random())) {}

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

/// Called on the world's thread: lets the request's thread run and waits until it blocks or ends.
void OperatorRequest::resume() {
  if (over_)
    return;
  std::unique_lock lock(mutex_);
  is_my_turn_ = true;
  turn_changed_.notify_all();
  turn_changed_.wait(lock, [this] { return !is_my_turn_; });
  if (!over_)
    return;
  lock.unlock();
  thread_.join();
  if (abandoned_)
    return;
  auto took = was_frozen_ ? 0ms : world_.now() - began_;
  on_done_(runs() ? answer_ : std::nullopt, took);
}

/// Schedules the end of the current wait, unless something else ends it first.
void OperatorRequest::resume_at(TimePoint time) {
  world_.at(time, [this, number = wait_number_] {
    if (number == wait_number_)
      resume();
  });
}

void OperatorRequest::serve() {
  await_turn();
  wait_while_frozen();
  ControlSession session(*this, now());
  if (!stopped())
    answer_ = find_control_protocol("platform")->answer(request_, session);
  wait_while_frozen();
  std::lock_guard lock(mutex_);
  over_ = true;
  is_my_turn_ = false;
  turn_changed_.notify_all();
}

void OperatorRequest::wait_until(TimePoint world_time) {
  ++wait_number_;
  resume_at(std::max(world_time, world_.now() + 1ms));
  yield_turn();
  ++wait_number_;
}

void OperatorRequest::yield_turn() {
  std::unique_lock lock(mutex_);
  is_my_turn_ = false;
  turn_changed_.notify_all();
  turn_changed_.wait(lock, [this] { return is_my_turn_; });
}

void OperatorRequest::await_turn() {
  std::unique_lock lock(mutex_);
  turn_changed_.wait(lock, [this] { return is_my_turn_; });
}

bool OperatorRequest::runs() {
  const auto& node = world_.node(controller_);
  return node.machine && node.process_id == process_id_;
}

bool OperatorRequest::stopped() {
  return abandoned_ || !runs();
}

/// A frozen process does nothing, but its clock advances.
void OperatorRequest::wait_while_frozen() {
  while (!stopped() && world_.node(controller_).frozen) {
    was_frozen_ = true;
    wait_until(world_.now() + kTickInterval);
  }
}

TimePoint OperatorRequest::now() {
  return world_.clock(world_.node(controller_));
}

void OperatorRequest::pause(Duration time) {
  if (!stopped())
    wait_until(world_.now() + time);
  wait_while_frozen();
}

void OperatorRequest::inspect(const std::function<void(ControllerMachine&, TimePoint)>& look) {
  wait_while_frozen();
  if (!stopped())
    look(static_cast<ControllerMachine&>(*world_.node(controller_).machine), now());
}

/// Resumes the request at the current time, but not from within the state machine's step.
void OperatorRequest::on_message(const CommitReply& reply) {
  if (over_ || stopped())
    return;
  reply_ = reply;
  resume_at(world_.now());
}

/// The session's address comes from the world's seed, so a seed gives the same ids each time.
std::string OperatorRequest::new_commit_id(const std::string& purpose) {
  ++commit_id_number_;
  return purpose + "-" + hex(digest(session_, commit_id_number_));
}

CommitReply OperatorRequest::commit(const Transformation& change, const std::string& id, Duration timeout) {
  auto deadline = now() + timeout;
  CommitReply last{};
  last.id = id;
  last.outcome = CommitOutcome::unknown;
  while (!stopped() && now() < deadline) {
    auto metadata = world_.node(controller_).machine->view();
    reply_.reset();
    send_commit(Commit{id, change, metadata->epoch, (deadline - now()).count()}, metadata);
    auto wait = std::min<Duration>(kCommitAttemptTimeout + kHeartbeatInterval, deadline - now());
    wait_until(world_.now() + wait);
    wait_while_frozen();
    if (!reply_ || reply_->id != id)
      continue;
    last = *reply_;
    if (last.outcome != CommitOutcome::unknown)
      break;
  }
  return last;
}

/// Posts the message on the world's thread.
void OperatorRequest::send_commit(const Commit& commit, const MetadataSnapshot& metadata) {
  Envelope envelope{};
  envelope.from = session_;
  envelope.cluster = metadata->cluster;
  envelope.epoch = metadata->epoch;
  envelope.body = commit;
  world_.at(world_.now(), [this, envelope] {
    if (runs())
      world_.post(controller_, envelope);
  });
}

}  // namespace mosskeel::sim

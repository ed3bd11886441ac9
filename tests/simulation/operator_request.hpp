#pragma once
// One request of a platform's operator, run by the real control protocol on a simulated controller.
#include <condition_variable>
#include <mutex>
#include <thread>

#include "control/control_protocol.hpp"
#include "control/control_session.hpp"
#include "simulation/day.hpp"

namespace mosskeel::sim {

/// The code under test blocks as it does in the daemon, so each request has a thread of its own.
///
/// Invariant: only one of this thread and the world's runs at a time, and each hands over only when it blocks; so a
/// seed plays the same day whatever the machine does.
class OperatorRequest : public ControllerAccess {
 public:
  /// Hears the answer, or nothing where the controller's process died before; `took` is 0 where it was frozen
  /// meanwhile.
  using Then = std::function<void(std::optional<ApiResponse> answer, Duration took)>;

  OperatorRequest(World& world, std::string controller, ApiRequest request, Then then);
  OperatorRequest(const OperatorRequest&) = delete;
  OperatorRequest& operator=(const OperatorRequest&) = delete;
  /// Lets the thread come to its end; nobody hears the answer any more.
  ~OperatorRequest() override;
  void start();
  /// A reply for this request's session.
  void hear(const CommitReply& reply);
  const Address& session() const { return session_; }

  // What the control protocol asks of the controller; called on the request's thread.
  std::string new_commit_id(const std::string& purpose) override;
  CommitReply commit(const Transformation& change, const std::string& id, Duration patience) override;
  void inspect(const std::function<void(ControllerMachine&, TimePoint)>& look) override;
  TimePoint now() override;
  void pause(Duration time) override;
  bool stopped() override;

 private:
  void serve();
  void resume();
  void resume_at(TimePoint time);
  void wait_until(TimePoint world_time);
  void hand_over();
  void await_turn();
  void wait_while_frozen();
  void send_commit(const Commit& commit, const MetadataSnapshot& metadata);
  bool runs();

  World& world_;
  std::string controller_;
  ApiRequest request_;
  Then then_;
  /// The process that works on the request.
  uint64_t life_;
  /// Counts the waits, so that a timer of an earlier wait does not end a later one.
  uint64_t wait_number_ = 0;
  TimePoint began_;
  Address session_;
  /// Counts the ids of commits.
  uint64_t commit_id_number_ = 0;
  std::optional<CommitReply> reply_;
  std::optional<ApiResponse> answer_;
  bool over_ = false, abandoned_ = false, was_frozen_ = false;
  std::mutex mutex_;
  std::condition_variable turn_changed_;
  /// Whether it is the turn of the request's thread; guarded by the mutex.
  bool is_my_turn_ = false;
  std::thread thread_;
};

}  // namespace mosskeel::sim

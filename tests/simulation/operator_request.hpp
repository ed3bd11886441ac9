#pragma once
// An operator's API request, run by the real control protocol on a simulated controller.
#include <condition_variable>
#include <mutex>
#include <thread>

#include "control/control_protocol.hpp"
#include "control/control_session.hpp"
#include "simulation/scenario_run.hpp"

namespace mosskeel::sim {

/// The code under test blocks as it does in the daemon, so each request runs on its own thread.
///
/// Invariant: either this thread or the world's thread runs, never both, and control passes only where one blocks. A
/// seed therefore gives the same run regardless of thread scheduling.
class OperatorRequest : public ControllerAccess {
 public:
  /// Receives the response, or nothing if the controller's process ended first; `took` is 0 if it was frozen meanwhile.
  using Callback = std::function<void(std::optional<ApiResponse> answer, Duration took)>;

  OperatorRequest(World& world, std::string controller, ApiRequest request, Callback on_done);
  OperatorRequest(const OperatorRequest&) = delete;
  OperatorRequest& operator=(const OperatorRequest&) = delete;
  /// Runs the thread to its end without reporting the response.
  ~OperatorRequest() override;
  void start();
  /// Handles a reply to this request's session.
  void on_message(const CommitReply& reply);
  const Address& session() const { return session_; }

  // ControllerAccess, called on the request's thread.
  std::string new_commit_id(const std::string& purpose) override;
  CommitReply commit(const Transformation& change, const std::string& id, Duration timeout) override;
  void inspect(const std::function<void(ControllerMachine&, TimePoint)>& look) override;
  TimePoint now() override;
  void pause(Duration time) override;
  bool stopped() override;

 private:
  void serve();
  void resume();
  void resume_at(TimePoint time);
  void wait_until(TimePoint world_time);
  void yield_turn();
  void await_turn();
  void wait_while_frozen();
  void send_commit(const Commit& commit, const MetadataSnapshot& metadata);
  bool runs();

  World& world_;
  std::string controller_;
  ApiRequest request_;
  Callback on_done_;
  /// The controller process that handles the request.
  uint64_t process_id_;
  /// Counts the waits, so that a timer of an earlier wait does not end a later one.
  uint64_t wait_number_ = 0;
  TimePoint began_;
  Address session_;
  /// Number of commit ids generated so far.
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

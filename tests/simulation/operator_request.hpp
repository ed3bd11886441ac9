#pragma once
// One request of a platform's operator, run by the real plug-in on a simulated controller.
#include <condition_variable>
#include <mutex>
#include <thread>

#include "control/control_protocol.hpp"
#include "control/control_session.hpp"
#include "simulation/day.hpp"

namespace mosskeel::sim {

/// The request blocks as it does in the daemon, so it has a thread; only one of it and the world runs at a time.
class OperatorRequest : public ControllerAccess {
 public:
  /// `took` is 0 where the process was frozen meanwhile.
  using Then = std::function<void(std::optional<ApiResponse>, Duration took)>;
  /// `then` hears the answer, or nothing where the process died before.
  OperatorRequest(World& w, std::string controller, ApiRequest ask, Then then);
  ~OperatorRequest();
  void start();
  /// A reply for this request's session.
  void hear(const CommitReply& r);
  const Address& session() const { return session_; }
  bool over() const { return over_; }

  CommitReply commit(const Transformation& t, const std::string& id, Duration patience) override;
  void inspect(const std::function<void(ControllerMachine&, TimePoint)>& look) override;
  TimePoint now() override;
  void pause(Duration ms) override;
  bool stopped() override;

 private:
  void serve();
  void resume();
  void wait_until(TimePoint world_time);
  bool lives();
  void thaw();
  World& w_;
  std::string controller_;
  ApiRequest ask_;
  Then then_;
  uint64_t life_, wake_ = 0;
  TimePoint began_;
  Address session_;
  std::optional<CommitReply> reply_;
  std::optional<ApiResponse> answer_;
  bool over_ = false, abandoned_ = false, was_frozen_ = false;
  std::mutex lock_;
  std::condition_variable turn_;
  bool mine_ = false;
  std::thread thread_;
};

}  // namespace mosskeel::sim

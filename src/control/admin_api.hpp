#pragma once
// The operators' and the platform's HTTP; the one place to change its shape.
#include "consensus/controller_machine.hpp"
#include "control/command_language.hpp"
#include "control/control_session.hpp"
#include "net/local_mailboxes.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

class AdminApi : public ControllerAccess {
 public:
  /// `dialect` is a platform's way of ordering, null for the product's own interface alone.
  AdminApi(Host& h, LocalMailboxes& s, Millis await, Millis rpc, const ControlProtocol* dialect = nullptr)
      : host_(h), sessions_(s), await_(await), rpc_(rpc), dialect_(dialect) {}
  ApiResponse answer(const ApiRequest& a);
  CommitReply commit(const Transformation& t, const std::string& id, Millis patience) override;
  void inspect(const std::function<void(ControllerMachine&, Millis)>& look) override;
  Millis now() override;
  void pause(Millis ms) override;
  bool stopped() override { return host_.stopped(); }

 private:
  /// Commits what is safe; what is not is refused once a majority has confirmed that it is not done already.
  CommitReply commit_safely(const Transformation& t, const std::string& id);
  /// The answer to a read of the metadata, from a value that a majority has confirmed since it came.
  ApiResponse read(const std::function<ApiResponse(const Metadata&)>& show);
  CommitReply rebuild(const std::vector<DaemonId>& lost);
  ApiResponse say(const ApiRequest& a);
  ApiResponse change(const Transformation& t, const ApiRequest& a);
  ApiResponse put_configuration(const ApiRequest& a);
  ApiResponse put_replica(const ApiRequest& a, const std::string& name);
  ApiResponse replicas(const Metadata& m);
  ApiResponse fronts(const Metadata& m);
  ApiResponse metrics();
  std::vector<Entry> recent_entries();
  Host& host_;
  LocalMailboxes& sessions_;
  Millis await_, rpc_;
  const ControlProtocol* dialect_;
};

}  // namespace mosskeel

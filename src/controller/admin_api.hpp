#pragma once
// The operators' and the platform's HTTP; the one place to change its shape.
#include "consensus/controller_machine.hpp"
#include "kernel/host.hpp"
#include "operator/control_session.hpp"
#include "operator/language.hpp"

namespace mosskeel {

class AdminApi : public ControllerAccess {
 public:
  /// `dialect` is a platform's way of ordering, null for the product's own interface alone.
  AdminApi(Host& h, Sessions& s, Millis await, Millis rpc, const ControlDialect* dialect = nullptr)
      : host_(h), sessions_(s), await_(await), rpc_(rpc), dialect_(dialect) {}
  HttpAnswer answer(const HttpAsk& a);
  CommitReply commit(const Transformation& t, const std::string& id, Millis patience) override;
  void inspect(const std::function<void(ControllerMachine&, Millis)>& look) override;
  Millis now() override;
  void pause(Millis ms) override;
  bool stopped() override { return host_.stopped(); }

 private:
  /// Commits what is safe; what is not is refused once a majority has confirmed that it is not done already.
  CommitReply commit_safely(const Transformation& t, const std::string& id);
  /// The answer to a read of the metadata, from a value that a majority has confirmed since it came.
  HttpAnswer read(const std::function<HttpAnswer(const Metadata&)>& show);
  CommitReply rebuild(const std::vector<DaemonId>& lost);
  HttpAnswer say(const HttpAsk& a);
  HttpAnswer change(const Transformation& t, const HttpAsk& a);
  HttpAnswer put_configuration(const HttpAsk& a);
  HttpAnswer put_replica(const HttpAsk& a, const std::string& name);
  HttpAnswer replicas(const Metadata& m);
  HttpAnswer fronts(const Metadata& m);
  HttpAnswer metrics();
  std::vector<Entry> recent();
  Host& host_;
  Sessions& sessions_;
  Millis await_, rpc_;
  const ControlDialect* dialect_;
};

}  // namespace mosskeel

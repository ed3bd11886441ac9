#pragma once
// The operators' and the platform's HTTP; the one place to change its shape.
#include "consensus/controller_machine.hpp"
#include "kernel/host.hpp"
#include "operator/control.hpp"
#include "operator/language.hpp"

namespace mosskeel {

class AdminApi : public Control {
 public:
  /// `dialect` is a platform's way of ordering, null for the product's own interface alone.
  AdminApi(Host& h, Sessions& s, Millis await, Millis rpc, const ControlDialect* dialect = nullptr)
      : host_(h), sessions_(s), await_(await), rpc_(rpc), dialect_(dialect) {}
  HttpAnswer answer(const HttpAsk& a);
  CommitReply commit(const Transformation& t, const std::string& id, Millis patience);

  std::optional<Absent> absent() override;
  View newest() override;
  Verdict settled() override;
  Verdict apply(const std::string& commit, Revision base, Revision own, const Configuration& m) override;
  Verdict evacuate(const std::string& zone) override;
  Verdict restore(const std::string& zone) override;
  Verdict retire(const std::string& machine) override;
  Retirement retirement(const std::string& machine) override;

 private:
  std::string unsafe(const Transformation& t);
  CommitReply rebuild(const std::vector<DaemonId>& lost);
  HttpAnswer say(const HttpAsk& a);
  HttpAnswer change(const Transformation& t, const HttpAsk& a);
  HttpAnswer put_configuration(const HttpAsk& a);
  HttpAnswer put_replica(const HttpAsk& a, const std::string& name);
  HttpAnswer replicas();
  HttpAnswer fronts();
  HttpAnswer metrics();
  std::vector<Entry> recent();
  /// The metadata as the machine itself has it now, which the host's copy may trail by one step.
  View latest();
  View newest(Millis until);
  Verdict settled(Epoch at, Millis until);
  Host& host_;
  Sessions& sessions_;
  Millis await_, rpc_;
  const ControlDialect* dialect_;
};

}  // namespace mosskeel

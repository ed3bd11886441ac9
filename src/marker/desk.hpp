#pragma once
// The operators' and the platform's HTTP; the one place to change its shape.
#include "consensus/marker_machine.hpp"
#include "kernel/host.hpp"
#include "kernel/http.hpp"
#include "operator/language.hpp"

namespace mosskeel {

class Desk {
 public:
  Desk(Host& h, Sessions& s, Millis await, Millis rpc) : host_(h), sessions_(s), await_(await), rpc_(rpc) {}
  HttpAnswer answer(const HttpAsk& a);

 private:
  std::string unsafe(const Transformation& t);
  CommitReply commit(const Transformation& t, const std::string& id);
  CommitReply rebuild(const std::vector<DaemonId>& lost);
  HttpAnswer say(const HttpAsk& a);
  HttpAnswer change(const Transformation& t, const HttpAsk& a);
  HttpAnswer put_manifest(const HttpAsk& a);
  HttpAnswer put_replica(const HttpAsk& a, const std::string& name);
  HttpAnswer replicas();
  HttpAnswer fronts();
  HttpAnswer metrics();
  std::vector<Entry> recent();
  Host& host_;
  Sessions& sessions_;
  Millis await_, rpc_;
};

}  // namespace mosskeel

#pragma once
// The callers' HTTP; the one place to change its shape.
#include "request/gateway_machine.hpp"
#include "kernel/host.hpp"
#include "kernel/http.hpp"

namespace mosskeel {

class Callers {
 public:
  Callers(Host& h, Sessions& s) : host_(h), sessions_(s) {}
  HttpAnswer answer(const HttpAsk& a);

 private:
  HttpAnswer run(Request e, bool stream);
  HttpAnswer turn(const HttpAsk& a, const std::string& cell, const std::string& program);
  HttpAnswer app(const HttpAsk& a, const std::string& cell, const std::string& path);
  HttpAnswer metrics();
  Host& host_;
  Sessions& sessions_;
};

}  // namespace mosskeel

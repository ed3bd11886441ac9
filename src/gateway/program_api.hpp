#pragma once
// The callers' HTTP; the one place to change its shape.
#include "net/http_server.hpp"
#include "net/local_mailboxes.hpp"
#include "programs/gateway_machine.hpp"
#include "runtime/host.hpp"

namespace mosskeel {

class Callers {
 public:
  Callers(Host& h, LocalMailboxes& s) : host_(h), sessions_(s) {}
  ApiResponse answer(const ApiRequest& a);

 private:
  ApiResponse run(ProgramRequest e, bool stream);
  ApiResponse turn(const ApiRequest& a, const std::string& cell, const std::string& program);
  ApiResponse app(const ApiRequest& a, const std::string& cell, const std::string& path);
  ApiResponse metrics();
  Host& host_;
  LocalMailboxes& sessions_;
};

}  // namespace mosskeel

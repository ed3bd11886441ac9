#pragma once
// What the stand-in's callers asked and its replicas did, and whether the promises held.
#include <algorithm>
#include <cstdio>

#include "net/event_loop.hpp"
#include "net/protocol_codec.hpp"

namespace mosskeel::standin {

enum class Kind { safe, unsafe, stream, resumable, turn, brief };

inline bool repeatable(Kind k) {
  return k == Kind::safe || k == Kind::resumable;
}

/// One try of a caller, as sent.
struct Sent {
  Kind kind = Kind::safe;
  std::string target, body, parent, program;
  uint64_t resume_after = 0;
  MonotonicTime at{};
};

/// A turn that its caller got whole.
struct Turn {
  std::string parent, input, data;
};

struct Event {
  uint64_t id = 0;
  std::string data;
};

/// The whole events of a stream.
std::vector<Event> events_of(const std::string& body);

class Book {
 public:
  void violate(const std::string& what);
  void sent(const std::string& attempt, Sent s) { sent_[attempt] = std::move(s); }
  const Sent* find(const std::string& attempt) const;
  /// A replica of a service begins work on an attempt.
  void ran(const std::string& attempt, const std::string& service, const HttpRequest& r);
  /// The whole body and the seal that a replica made for an attempt.
  void made(const std::string& attempt, const std::string& seal, const std::string& body);
  /// An attempt got an answer that promises it has not run.
  void refused(const std::string& attempt, uint32_t status);
  /// An attempt got a success that looks whole.
  void whole(const std::string& attempt, const HeaderFields& f, const std::string& body);
  void handed(const std::string& program, uint64_t tokens) { tokens_[program].handed += tokens; }
  void budget(const std::string& program, uint64_t budget, uint64_t most) {
    tokens_[program].budget = budget, tokens_[program].most = most;
  }
  /// The text of a chain that ends with this turn.
  std::string chain(const std::string& turn) const;
  /// Whether a replica began work on an attempt.
  bool has_run(const std::string& attempt) const { return runs_.count(attempt) > 0; }
  bool known(const std::string& turn) const { return turns_.count(turn); }
  /// From `at` on, only `service` may run what comes on paths with this prefix; empty: nobody.
  void rule(const std::string& prefix, const std::string& service, MonotonicTime at) { rules_[prefix] = {service, at}; }
  void close();
  void served(const std::string& what, bool yes);
  int violations() const { return violations_; }
  /// Prints what was served, and whether it was enough.
  bool enough(double share) const;

 private:
  struct Tokens {
    uint64_t handed = 0, budget = UINT64_MAX, most = 0;
  };
  std::map<std::string, Sent> sent_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::map<std::string, std::string>> made_;
  std::map<std::string, uint32_t> refused_;
  std::map<std::string, Turn> turns_;
  std::map<std::string, Tokens> tokens_;
  std::map<std::string, std::pair<std::string, MonotonicTime>> rules_;
  std::map<std::string, std::pair<int, int>> served_;
  int violations_ = 0;
};

}  // namespace mosskeel::standin

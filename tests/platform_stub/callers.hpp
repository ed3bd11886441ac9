#pragma once
// Callers as the platform plays them: tries, retries, programs.
#include "platform_stub/world.hpp"

namespace mosskeel::standin {

/// A request until its deadline, over as many tries as that takes.
struct Job {
  Kind kind = Kind::safe;
  std::string route, what;
  HeaderFields fields;
  std::string body, parent, program, session;
  uint64_t budget = 0, tokens_in = 100, tokens_out = 48;
  MonotonicTime deadline{};
  int tries = 0, sends = 0;
  uint64_t resume_after = 0, last = 0;
  /// Told once: the last status, the attempt it came on, and whether it was a whole success.
  std::function<void(uint32_t status, const std::string& attempt, bool good)> done;
};

class Callers {
 public:
  explicit Callers(World& w);
  /// Whether as many fronts as that are ready.
  size_t ready() const;
  void send(std::shared_ptr<Job> j);
  /// One request of a kind, counted as served or not.
  void plain(Kind k, const std::string& route);
  /// A program: turns, tools between, helpers; `runaway` starts helpers until a 402.
  void program(bool kept, bool runaway);
  /// A turn that goes on from one that never was.
  void astray();
  size_t open() const { return open_; }

 private:
  struct Program;
  using Held = std::shared_ptr<Program>;
  void look(size_t i);
  void attempt(const std::shared_ptr<Job>& j);
  void judge(const std::shared_ptr<Job>& j, const std::string& a, Reply&& r);
  void again(const std::shared_ptr<Job>& j, uint32_t status, const std::string& a, Duration pause, bool granted);
  std::shared_ptr<Job> turn(const Held& p, const std::string& parent, const std::string& session);
  void next(const Held& p, int n, const std::string& parent, const std::string& session);
  void run_away(const Held& p, int n, const std::string& parent);
  void over(const Held& p, bool good);
  World& w_;
  std::array<int, 3> missed_{9, 9, 9};
  std::vector<std::string> earlier_;
  size_t open_ = 0;
};

}  // namespace mosskeel::standin

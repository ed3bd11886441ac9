// Programs: rows of turns with tools between, helpers beside, a budget over all of them.
#include "platform_stub/callers.hpp"

namespace mosskeel::standin {

struct Callers::Program {
  std::string id;
  bool kept = true, good = true;
  uint64_t budget = 0;
  int lines = 1;
};

std::shared_ptr<Job> Callers::turn(const Held& p, const std::string& parent, const std::string& session) {
  auto j = std::make_shared<Job>();
  j->kind = p->kept ? Kind::turn : Kind::brief;
  j->route = p->kept ? "turn" : "brief";
  j->body = "turn " + w_.name() + ";";
  if (p->kept)
    j->parent = parent;
  j->program = p->id, j->session = session, j->budget = p->budget;
  return j;
}

void Callers::over(const Held& p, bool good) {
  p->good = p->good && good;
  if (--p->lines == 0)
    w_.book.served("programs", p->good);
}

void Callers::next(const Held& p, int n, const std::string& parent, const std::string& session) {
  auto j = turn(p, parent, session);
  j->what = j->route;
  j->done = [this, p, n, session](uint32_t status, const std::string& a, bool good) {
    if (status == 402)
      w_.book.violate("program " + p->id + " is refused with 402 within its budget");
    if (good && p->kept)
      earlier_.push_back(a);
    if (!good || n == 0)
      return over(p, good);
    if (n == 2)
      for (int helper = 0; helper < 2; ++helper)
        ++p->lines, next(p, 0, a, w_.name());
    auto tools = std::make_shared<int>(2);
    for (auto kind : {Kind::safe, Kind::unsafe}) {
      auto t = std::make_shared<Job>();
      t->kind = kind, t->route = kind == Kind::safe ? "safe" : "unsafe", t->what = "tools";
      t->body = "tool " + w_.name();
      t->done = [this, p, n, session, a, tools](uint32_t, const std::string&, bool) {
        if (--*tools == 0)
          next(p, n - 1, a, session);
      };
      send(t);
    }
  };
  send(j);
}

void Callers::program(bool kept, bool runaway) {
  auto p = std::make_shared<Program>();
  p->id = w_.name(), p->kept = kept, p->budget = runaway ? 150 : 2000;
  w_.book.budget(p->id, p->budget, 48);
  if (runaway)
    return run_away(p, 0, "");
  bool on = kept && !earlier_.empty() && w_.roll(4) == 0;
  next(p, 2, on ? earlier_[w_.roll(earlier_.size())] : "", w_.name());
}

void Callers::run_away(const Held& p, int n, const std::string& parent) {
  auto j = turn(p, parent, w_.name());
  j->done = [this, p, n, parent](uint32_t status, const std::string& a, bool good) {
    if (status == 402)
      return w_.book.served("runaways", true);
    if (n == 15)
      return w_.book.violate("program " + p->id + " runs away, and nothing stops it");
    run_away(p, n + 1, good && p->kept ? a : parent);
  };
  send(j);
}

void Callers::astray() {
  auto p = std::make_shared<Program>();
  p->id = w_.name();
  auto j = turn(p, "never-" + w_.name(), w_.name());
  j->done = [this](uint32_t status, const std::string& a, bool) {
    if (status == 200 || status == 402)
      w_.book.violate(a + " goes on from a turn that never was, with " + std::to_string(status));
  };
  send(j);
}

}  // namespace mosskeel::standin

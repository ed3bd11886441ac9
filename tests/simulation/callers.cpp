#include "simulation/callers.hpp"

#include <nlohmann/json.hpp>

namespace mosskeel::sim {
using Json = nlohmann::json;

Callers::Callers(World& w, int models, int apps, uint64_t budget, uint64_t turn_limit)
    : w_(w), budget_(budget), limit_(turn_limit) {
  for (int i = 0; i < models; ++i) {
    auto n = "model" + std::to_string(i + 1);
    replicas[n] = {};
    replicas[n].name = n;
    replicas[n].zone = std::string(1, static_cast<char>('a' + i % 3));
  }
  for (int i = 0; i < apps; ++i) {
    auto n = "app" + std::to_string(i + 1);
    replicas[n] = {};
    replicas[n].name = n;
    replicas[n].kind = "app";
    replicas[n].zone = std::string(1, static_cast<char>('a' + i % 3));
  }
  w.local = [this](Node& n, const Envelope& e) {
    on_local(n, e);
  };
  w.replica = [this](Node& n, const Envelope& e) {
    on_replica(n, e);
  };
  w.died = [this](Node& n) {
    std::vector<std::function<void()>> v;
    for (auto i = open_.begin(); i != open_.end();)
      if (i->first.first == n.name)
        v.push_back(i->second.lost), i = open_.erase(i);
      else
        ++i;
    for (auto& f : v)
      w_.at(w_.now() + 1ms, f);
  };
}

Address Callers::session(const std::string& front, std::function<void(const Message&)> hear,
                         std::function<void()> lost) {
  auto a = "local:" + std::to_string(++next_);
  open_[{front, a}] = {front, std::move(hear), std::move(lost)};
  return a;
}

void Callers::on_local(Node& n, const Envelope& e) {
  auto i = open_.find({n.name, e.to});
  if (i == open_.end())
    return;
  auto f = i->second.hear;
  f(e.body);
}

std::string Callers::pick_front() {
  std::vector<std::string> v;
  for (auto& s : w_.names(Kind::gateway))
    if (only_ready ? w_.alive(s) && w_.ready(s) : w_.node(s).machine != nullptr)
      v.push_back(s);
  return v.empty() ? "" : v[w_.next_random() % v.size()];
}

Duration Callers::patience(const std::string& front) {
  if (w_.node(front).frozen)
    return 500ms + w_.below(4000ms);
  return w_.chance(0.03) ? 1ms + w_.below(400ms) : 45000ms;
}

/// How many turns the thread has, where the caller can be sure of it.
std::optional<uint32_t> Callers::known_turns(const std::string& program, const std::string& thread) {
  uint32_t n = 0;
  for (auto& t : turns_[program])
    if (t->thread == thread) {
      if (!t->done || (!t->success && !t->sure_not_run))
        return std::nullopt;
      n += t->success;
    }
  return n;
}

void Callers::traffic(Duration gap, TimePoint end) {
  if (w_.now() >= end)
    return;
  if (w_.chance(0.5))
    fetch();
  if (w_.chance(0.5))
    count();
  bool dive = dives && w_.next_random() % dives == 0;
  program("p" + std::to_string(++next_), dive ? 10 : 2 + static_cast<int>(w_.below(uint64_t{4})), 0);
  w_.at(w_.now() + 1ms + w_.below(gap * 2), [=, this] { traffic(gap, end); });
}

void Callers::program(const std::string& name, int turns, int i) {
  if (i >= turns)
    return;
  if (helpers && (i == 1 || turns == 10) && w_.chance(0.3)) {
    auto t = "helper" + std::to_string(i);
    turn(name, t, [](const Turn&) {});
  }
  turn(
      name, "main",
      [=, this](const Turn&) { w_.at(w_.now() + w_.below(500ms), [=, this] { program(name, turns, i + 1); }); },
      !w_.chance(0.25));
}

void Callers::turn(const std::string& program, const std::string& thread, std::function<void(const Turn&)> then,
                   bool stubborn) {
  auto t = std::make_shared<Turn>();
  t->program = program;
  t->thread = thread;
  t->key = "k" + std::to_string(++next_);
  t->input = "say " + t->key;
  t->ordinal = next_;
  if (auto n = known_turns(program, thread); n && w_.chance(0.3))
    t->after = n, ++stood_after;
  turns_[program].push_back(t);
  ask(t, std::move(then), stubborn);
}

void Callers::ask(std::shared_ptr<Turn> t, std::function<void(const Turn&)> then, bool stubborn) {
  auto again = [=, this](Duration wait) {
    if (t->tries >= (stubborn ? tries : 1u)) {
      t->done = true;
      return then(*t);
    }
    w_.at(w_.now() + wait + w_.below(200ms), [=, this] { ask(t, then, stubborn); });
  };
  ++t->tries;
  auto front = pick_front();
  if (front.empty())
    return again(1000ms);
  auto settled = std::make_shared<bool>(false);
  auto begun = w_.now();
  bool urgent = urgent_share && w_.next_random() % urgent_share == 0;
  if (urgent)
    ++urgent_asked;
  t->pieces = 0;
  t->text.clear();
  auto finish = [=, this](const ProgramResponse* e, bool own = false) {
    if (*settled)
      return;
    *settled = true;
    if (!e || e->executed == Outcome::unknown || e->executed == Outcome::yes)
      t->sure_not_run = false;
    if (e && e->status == 200) {
      t->success = t->done = true;
      t->output = e->body;
      if (t->pieces && (t->pieces != e->chunks || t->text != e->body))
        w_.fail("stream of " + t->key + " is not the answer: " + t->text + " / " + e->body);
      auto& whole = whole_["news/" + t->program + "/" + t->key];
      if (whole != e->body)
        w_.fail("success of " + t->key + " is not the replica's whole sealed answer");
      ++successes;
      if (urgent)
        ++urgent_done;
      last_success_ = w_.now();
      return then(*t);
    }
    auto later = [&](auto& x) {
      return x->thread == t->thread && x->ordinal > t->ordinal;
    };
    if (e && e->reason.starts_with("after:") &&
        std::none_of(turns_[t->program].begin(), turns_[t->program].end(), later))
      w_.fail("a caller that knew all turns of " + t->program + " was told otherwise: " + e->reason);
    if (e && e->status == 404) {
      bool kept = false;
      for (auto& x : turns_[t->program])
        kept |= x->success;
      if (kept)
        w_.fail("a kept conversation was reported missing: " + t->program);
    }
    if (e && e->executed == Outcome::no && e->status == 503)
      slowest_refusal = std::max(slowest_refusal, w_.now() - begun);
    if (e && e->executed == Outcome::no)
      ++refusals;
    else if (own)
      ++lost_sessions;
    else
      ++unknowns, ++reasons[e ? e->reason : "the session was lost"];
    bool final =
        e && ((e->executed == Outcome::unknown && e->reason.find("kept outcome") == 0) ||
              e->reason.find("will not be run again") != std::string::npos || e->status == 429 || e->status == 400);
    if (final) {
      t->done = true;
      t->status = e->status;
      return then(*t);
    }
    again(Duration(e && e->retry_ms ? e->retry_ms : 300));
  };
  auto a = session(
      front,
      [=, this](const Message& m) {
        if (*settled)
          return;
        if (auto* p = std::get_if<ProgramResponseChunk>(&m)) {
          if (p->index != t->pieces)
            w_.fail("stream of " + t->key + " skips or repeats: piece " + std::to_string(p->index) + " for " +
                    std::to_string(t->pieces));
          ++t->pieces;
          t->text += p->text;
        }
        if (auto* e = std::get_if<ProgramResponse>(&m))
          finish(e);
      },
      [=] { finish(nullptr); });
  ProgramRequest e{};
  e.attempt = "a" + std::to_string(w_.next_random());
  e.cell = "news";
  e.route = "chat";
  e.kind = "model";
  e.program = t->program;
  e.thread = t->thread;
  e.key = t->key;
  e.body = t->input;
  e.max_tokens = limit_;
  e.deadline_ms = 30000;
  e.urgent = urgent;
  e.expected_turns = t->after;
  Envelope env{};
  env.from = a;
  env.body = e;
  t->asked = true;
  w_.post(front, env);
  w_.at(w_.now() + patience(front), [=] { finish(nullptr, true); });
}

void Callers::send(const std::string& front, ProgramRequest e, std::function<void(const Message&)> hear) {
  Envelope env{};
  env.from = session(front, std::move(hear), [] {});
  env.body = std::move(e);
  w_.post(front, env);
}

void Callers::fetch() {
  auto front = pick_front();
  if (front.empty())
    return;
  auto path = "/tallies/" + std::to_string(++next_);
  auto a = session(
      front,
      [=, this](const Message& m) {
        auto* e = std::get_if<ProgramResponse>(&m);
        if (!e || e->status != 200)
          return;
        if (e->body != "GET " + path)
          w_.fail("a success that is not the replica's whole answer: " + path);
      },
      [] {});
  ProgramRequest e{};
  e.attempt = "f" + std::to_string(w_.next_random());
  e.cell = "news";
  e.route = e.kind = "app";
  e.method = "GET";
  e.path = path;
  e.idempotent = true;
  Envelope env{};
  env.from = a;
  env.body = e;
  w_.post(front, env);
}

void Callers::read_back(const std::string& program, std::function<void(uint32_t, const std::string&)> then) {
  auto front = pick_front();
  if (front.empty())
    return then(0, "");
  auto a = session(
      front,
      [=](const Message& m) {
        if (auto* e = std::get_if<ProgramResponse>(&m))
          then(e->status, e->status == 200 ? e->body : e->reason);
      },
      [=] { then(0, ""); });
  ProgramRequest e{};
  e.attempt = "h" + std::to_string(w_.next_random());
  e.cell = "news";
  e.kind = "history";
  e.program = program;
  e.deadline_ms = 5000;
  Envelope env{};
  env.from = a;
  env.body = e;
  w_.post(front, env);
}

}  // namespace mosskeel::sim

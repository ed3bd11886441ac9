#include "platform_stub/callers.hpp"

#include "platform_stub/replicas.hpp"

namespace mosskeel::standin {

constexpr int most_tries = 4;

Callers::Callers(World& w) : w_(w) {
  for (size_t i = 0; i < 3; ++i)
    look(i);
}

void Callers::look(size_t i) {
  w_.ask({w_.plan.ready(static_cast<int>(i)), "GET", "/v1/ready", {{"Host", "ready"}}, ""}, 900ms,
         [this, i](Reply&& r) {
           missed_[i] = r.status == 200 ? 0 : missed_[i] + 1;
           w_.loop.run_after(500ms, [this, i] { look(i); });
         });
}

size_t Callers::ready() const {
  return static_cast<size_t>(std::count(missed_.begin(), missed_.end(), 0));
}

void Callers::send(std::shared_ptr<Job> j) {
  if (j->deadline == MonotonicTime{})
    j->deadline = monotonic_now() + 4000ms;
  ++open_;
  attempt(j);
}

void Callers::attempt(const std::shared_ptr<Job>& j) {
  std::vector<int> in;
  for (int i = 0; i < 3; ++i)
    if (missed_[static_cast<size_t>(i)] < 2)
      in.push_back(i);
  if (in.empty())
    in = {0, 1, 2};
  auto to = w_.plan.front(in[w_.roll(in.size())]);
  auto a = w_.name(), left = std::to_string(std::max<Duration>(1ms, j->deadline - monotonic_now()).count());
  ++j->tries;
  Sent s{j->kind,        "/" + j->route + "/" + std::to_string(j->tries) + "?q=1",
         j->body,        j->parent,
         j->program,     j->resume_after,
         monotonic_now()};
  HeaderFields f{{"Host", "ask.example"}, {"Mosskeel-Attempt-Id", a}, {"Mosskeel-Time-Left", left}};
  f.insert(f.end(), j->fields.begin(), j->fields.end());
  if (j->kind != Kind::safe && j->kind != Kind::unsafe) {
    f.push_back({"Mosskeel-Model", "m"});
    f.push_back({"Mosskeel-Token-Count", std::to_string(j->tokens_in) + "," + std::to_string(j->tokens_out)});
    f.push_back({"Mosskeel-Prompt-Prefix", "a1:60," + hex(digest(j->body)) + ":40"});
  }
  if (j->resume_after)
    f.push_back({"Last-Event-Id", std::to_string(j->resume_after)});
  if (!j->program.empty()) {
    f.push_back({"Mosskeel-Program-Id", j->program});
    f.push_back({"Mosskeel-Session-Id", j->session});
    f.push_back({"Mosskeel-Program-Time-Left", "20000"});
    if (j->budget)
      f.push_back({"Mosskeel-Token-Budget", std::to_string(j->budget)});
    if (!j->parent.empty())
      f.push_back({"Mosskeel-Previous-Turn", j->parent});
  }
  auto target = s.target;
  w_.book.sent(a, std::move(s));
  w_.ask({to, "POST", target, f, j->body}, j->deadline - monotonic_now(),
         [this, j, a](Reply&& r) { judge(j, a, std::move(r)); });
}

void Callers::judge(const std::shared_ptr<Job>& j, const std::string& a, Reply&& r) {
  bool promise = r.whole && (r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421);
  if (promise || (r.whole && r.status == 402))
    w_.book.refused(a, r.status);
  bool good = r.whole && r.status >= 200 && r.status < 300, stream = j->kind != Kind::safe && j->kind != Kind::unsafe;
  auto events = stream && r.status == 200 ? events_of(r.body) : std::vector<Event>{};
  if (j->budget)
    w_.book.handed(j->program, events.size() * event_tokens);
  if (good)
    w_.book.whole(a, r.fields, r.body);
  if (w_.calm && !r.whole && w_.book.has_run(a) && monotonic_now() < j->deadline)
    w_.book.violate(a + " ran, but its answer on " + j->route + " was lost around planned work");
  if (good && stream && (events.empty() || events.back().id != j->tokens_out / event_tokens))
    w_.book.violate(a + " ended before its last event");
  if (good)
    return again(j, r.status, a, 0ms, false);
  if (r.whole && r.status == 404 && j->kind == Kind::turn && w_.book.known(j->parent))
    w_.book.violate(a + " got 404, but " + j->parent + " was acknowledged");
  if (!r.unsent && r.status && !promise && r.status < 500 && r.whole)
    return again(j, r.status, a, 0ms, false);
  if (j->kind == Kind::resumable && !events.empty())
    j->resume_after = events.back().id;
  if (j->resume_after == j->tokens_out / event_tokens)
    return again(j, 200, a, 0ms, false);
  auto wait = std::string(header_value(r.fields, "Retry-After"));
  auto pause = std::max<Duration>(1ms, wait.empty() ? 50ms : Duration(static_cast<int64_t>(std::stod(wait) * 1000)));
  again(j, r.status, a, pause, repeatable(j->kind) || promise || r.unsent);
}

void Callers::again(const std::shared_ptr<Job>& j, uint32_t status, const std::string& a, Duration pause,
                    bool granted) {
  auto now = monotonic_now();
  bool good = status >= 200 && status < 300 && !granted && pause == 0ms;
  if (granted && j->tries < most_tries && now + pause < j->deadline) {
    w_.loop.run_after(pause, [this, j] { attempt(j); });
    return;
  }
  bool turn = j->kind == Kind::turn || j->kind == Kind::brief;
  if (turn && !good && (status == 0 || status == 200 || status >= 429) && ++j->sends < 3) {
    j->tries = 0;
    w_.loop.run_after(100ms + Duration(w_.roll(300)), [this, j] {
      j->deadline = monotonic_now() + 4000ms;
      attempt(j);
    });
    return;
  }
  --open_;
  if (!good && !j->what.empty())
    printf("not served: %s on %s with %u\n", a.c_str(), j->route.c_str(), status);
  if (!j->what.empty())
    w_.book.served(j->what, good);
  if (j->done)
    j->done(status, a, good);
}

void Callers::plain(Kind k, const std::string& route) {
  auto j = std::make_shared<Job>();
  j->kind = k, j->route = j->what = route;
  j->body = "body " + w_.name();
  send(j);
}

}  // namespace mosskeel::standin

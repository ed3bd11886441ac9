#include "platform_stub/replicas.hpp"

namespace mosskeel::standin {

std::unique_ptr<HttpListener> listen(EventLoop& loop, const Address& at, HttpListener::Callbacks e) {
  auto r = HttpListener::open(loop, at, std::move(e));
  if (r.ok())
    return std::move(r).value();
  fprintf(stderr, "standin: %s: %s\n", at.c_str(), to_string(r.errors()).c_str());
  exit(2);
}

Replica::Replica(World& w, Listed l) : listed(std::move(l)), w_(w) {
  in_ = listen(w.loop, listed.at,
               {[this](uint64_t id, HttpRequest&& r) { asked(id, std::move(r)); }, [this](uint64_t id) { left(id); },
                [](uint64_t) {
                }});
  HttpListenerLimits limits;
  limits.idle_timeout = 2000ms;
  in_->set_limits(limits);
}

void Replica::not_run(uint64_t id, uint32_t status, const std::string& attempt) {
  in_->send_response(id, status, {{"Mosskeel-Attempt-Id", attempt}, {"Mosskeel-Not-Run", "1"}}, "");
}

HeaderFields Replica::head(const std::string& attempt, const std::string& seal) const {
  return {{"Mosskeel-Attempt-Id", attempt}, {"Mosskeel-Server-Seal", seal}, {"Mosskeel-Weight-Versions", "1"}};
}

bool Replica::bears() {
  auto now = monotonic_now();
  if (now >= listed.cold_until)
    return true;
  cold_.push_back(now);
  while (now - cold_.front() >= 1000ms)
    cold_.pop_front();
  if (static_cast<double>(cold_.size()) > cold_per_s * 1.5 + 5) {
    if (!std::exchange(fell_, true))
      w_.book.violate(listed.id + " fell over: more than it bears while cold");
    return false;
  }
  return true;
}

bool Replica::take(uint64_t id, const HttpRequest& r, std::string& attempt) {
  if (r.method == "GET" && r.target == "/health") {
    in_->send_response(id, listed.draining ? 503 : 200, {{"Mosskeel-Replica-Id", listed.id}}, "");
    return false;
  }
  attempt = header_value(r.fields, "Mosskeel-Attempt-Id");
  if (attempt.empty())
    return not_run(id, 400, ""), false;
  if (auto t = header_value(r.fields, "Mosskeel-Target-Replica"); !t.empty() && t != listed.id)
    return not_run(id, 421, attempt), false;
  auto now = monotonic_now();
  auto* s = w_.book.find(attempt);
  if (listed.draining && now > listed.drained + list_lag + drain_time && s &&
      s->at > listed.drained + list_lag + drain_time)
    w_.book.violate(listed.id + " was asked long after it was listed as draining");
  if (evacuated != MonotonicTime{} && now > evacuated)
    w_.book.violate(listed.id + " was asked in an evacuated zone");
  if (!bears())
    return in_->abort(id), false;
  return true;
}

Model::Model(World& w, Listed l) : Replica(w, std::move(l)) {
  step();
}

uint64_t Model::read(const std::string& parts) {
  uint64_t unread = 0;
  bool gap = false;
  for (size_t at = 0; at < parts.size();) {
    auto end = std::min(parts.find(',', at), parts.size());
    auto one = parts.substr(at, end - at);
    at = end + 1;
    auto i = std::find(kept_.begin(), kept_.end(), one);
    gap = gap || i == kept_.end();
    if (gap)
      unread += std::stoull(one.substr(one.find(':') + 1));
    if (i != kept_.end())
      kept_.erase(i);
    kept_.push_front(one);
  }
  if (kept_.size() > 200)
    kept_.resize(200);
  return unread;
}

void Model::asked(uint64_t id, HttpRequest&& r) {
  std::string attempt;
  if (!take(id, r, attempt))
    return;
  if (runs_.size() + queue_.size() >= slot_count + 4)
    return not_run(id, 503, attempt);
  Run x;
  x.attempt = attempt;
  x.seal = w_.name();
  auto counts = std::string(header_value(r.fields, "Mosskeel-Token-Count"));
  x.last = std::stoull(counts.substr(counts.find(',') + 1)) / event_tokens;
  if (auto s = std::string(header_value(r.fields, "Last-Event-Id")); !s.empty())
    x.next = std::stoull(s) + 1;
  x.unread = read(std::string(header_value(r.fields, "Mosskeel-Prompt-Prefix")));
  w_.book.ran(attempt, listed.service, r);
  queue_[id] = std::move(x);
}

void Model::left(uint64_t id) {
  runs_.erase(id);
  queue_.erase(id);
}

bool Model::forward(uint64_t id, Run& r) {
  if (r.unread)
    return r.unread -= std::min<uint64_t>(r.unread, 400), true;
  auto fault = w_.calm ? 1499 : w_.roll(1500);
  if (!std::exchange(r.headed, true)) {
    if (fault < 2)
      return in_->send_response(id, 500, head(r.attempt, r.seal), "broken"), false;
    auto f = head(r.attempt, r.seal);
    f.push_back({"Content-Type", "text/event-stream"});
    in_->send_head(id, 200, f, std::nullopt);
  }
  if (fault == 3)
    return in_->abort(id), false;
  std::string e = r.next % 5 ? "" : "mosskeel-weight-versions: 2\n";
  e += "id: " + std::to_string(r.next) + "\ndata: " + r.attempt.substr(0, 4) + "-" + std::to_string(r.next) + "\n\n";
  r.body += e;
  if (r.next >= r.last)
    w_.book.made(r.attempt, r.seal, r.body);
  in_->send_body(id, e);
  if (r.next++ < r.last)
    return true;
  in_->finish(id);
  return false;
}

void Model::step() {
  while (runs_.size() < slot_count && !queue_.empty())
    runs_.insert(queue_.extract(queue_.begin()));
  for (auto i = runs_.begin(); i != runs_.end();)
    i = forward(i->first, i->second) ? std::next(i) : runs_.erase(i);
  w_.loop.run_after(20ms + Duration(runs_.size()), [this] { step(); });
}

void App::asked(uint64_t id, HttpRequest&& r) {
  std::string attempt;
  if (!take(id, r, attempt))
    return;
  if (waiting_.size() >= slot_count)
    return not_run(id, 503, attempt);
  w_.book.ran(attempt, listed.service, r);
  waiting_.insert(id);
  auto fault = w_.calm ? 399 : w_.roll(400);
  w_.loop.run_after(5ms + Duration(w_.roll(30)), [this, id, attempt, fault] {
    if (!waiting_.erase(id))
      return;
    if (fault == 0)
      return in_->abort(id);
    auto seal = w_.name();
    std::string body = attempt + " by " + listed.id + " ";
    body.append(fault == 1 ? 400000 : fault < 20 ? 20000 : 200, 'x');
    if (fault == 2)
      return in_->send_response(id, 500, head(attempt, seal), body);
    w_.book.made(attempt, seal, body);
    in_->send_response(id, 200, head(attempt, seal), body);
  });
}

}  // namespace mosskeel::standin

#include "kernel/host.hpp"

#include <chrono>
#include <future>

#include "kernel/log.hpp"

namespace mosskeel {

Millis process_now() {
  using namespace std::chrono;
  static const auto base = steady_clock::now();
  return limits::process_start + duration_cast<milliseconds>(steady_clock::now() - base).count();
}

Host::Host(std::shared_ptr<Disk> disk, Address self)
    : disk_(std::move(disk)),
      journal_(disk_ ? std::make_unique<JournalWriter>(*disk_) : nullptr),
      self_(std::move(self)) {}

Findings Host::start(const Make& make) {
  machine_ = make(disk_ ? disk_->take_recovered() : Recovered{}, process_now());
  std::atomic_store(&view_, machine_->view());
  auto p = Post::open(self_, [this](Envelope e) { in_.push(std::move(e)); });
  if (!ok(p)) return findings(p);
  post_ = std::move(std::get<0>(p));
  thinker_ = std::thread([this] { think(); });
  if (disk_) writer_ = std::thread([this] { write(); });
  return {};
}

void Host::stop() {
  stop_ = halt_ = true;
  in_.close();
  if (thinker_.joinable()) thinker_.join();
  out_.close();
  if (writer_.joinable()) writer_.join();
  post_.reset();
}

void Host::ask(const std::function<void(Machine&, Millis)>& f) {
  auto done = std::make_shared<std::promise<void>>();
  auto wait = done->get_future();
  in_.push(Call{[f, done](Machine& m, Millis now) {
    f(m, now);
    done->set_value();
  }});
  while (!halt_ && wait.wait_for(std::chrono::milliseconds(50)) != std::future_status::ready) {}
}

void Host::send(Envelope e) {
  if (e.to == self_) {
    in_.push(std::move(e));
    return;
  }
  auto i = routes_.find(e.to);
  if (i == routes_.end()) i = routes_.find(e.to.substr(0, e.to.find(':')));
  if (i != routes_.end())
    i->second(e);
  else
    post_->send(e);
}

void Host::act(Actions a) {
  for (auto& n : a.notes) note(n.event, n.text);
  for (auto& e : a.now) send(std::move(e));
  if (!disk_) {
    for (auto& e : a.synced) send(std::move(e));
  } else if (!a.journal.empty() || !a.synced.empty() || a.checkpoint) {
    out_.push({std::move(a.journal), std::move(a.checkpoint), std::move(a.synced)});
  }
  if (a.stop) stop_ = true;
}

void Host::think() {
  Millis next = 0;
  while (!halt_) {
    auto now = process_now();
    if (now >= next) {
      act(machine_->tick(now));
      next = now + limits::tick;
    }
    for (auto& x : in_.take(std::max<Millis>(1, next - process_now()))) {
      if (auto* e = std::get_if<Envelope>(&x))
        act(machine_->step(*e, process_now()));
      else
        std::get<Call>(x)(*machine_, process_now());
    }
    {
      std::lock_guard l(watch_lock_);
      if (watch_) watch_(*machine_, process_now());
    }
    auto v = machine_->view();
    if (v != view_) std::atomic_store(&view_, v);
  }
}

/// Made in the machine's thread, so that it stands for all that was pushed before it.
void Host::ask_checkpoint() {
  in_.push(Call{[this](Machine& m, Millis) {
    if (auto s = m.checkpoint(); !s.empty()) out_.push({{}, std::move(s), {}});
  }});
}

void Host::write() {
  while (true) {
    auto v = out_.take(journal_->full() ? limits::full_retry : 200);
    bool last = v.empty() && out_.closed();
    auto w = journal_->write(std::move(v));
    for (auto& n : w.notes) note(n.event, n.text);
    if (w.result.kind == DiskResult::failed) {
      note(Event::disk_failed, "nothing unsynced was answered");
      stop_ = true;
      return;
    }
    for (auto& e : w.sends) send(std::move(e));
    if (last) return;
    if (journal_->wants_checkpoint(process_now())) ask_checkpoint();
  }
}

}  // namespace mosskeel

#include "runtime/host.hpp"

#include <chrono>
#include <future>

#include "base/log.hpp"
#include "net/message_size.hpp"
#include "runtime/constants.hpp"
#include "storage/constants.hpp"

namespace mosskeel {

Millis process_now() {
  using namespace std::chrono;
  static const auto base = steady_clock::now();
  return kProcessClockStart + duration_cast<milliseconds>(steady_clock::now() - base).count();
}

namespace {

size_t weight(const Batch& b) {
  size_t n = b.checkpoint ? b.checkpoint->size() : 0;
  for (auto& s : b.journal)
    n += s.size();
  for (auto& e : b.sends)
    n += sizeof e + history_bytes(e.body);
  return n;
}

}  // namespace

Host::Host(std::shared_ptr<Disk> disk, Address self, size_t inbox_most)
    : disk_(std::move(disk)),
      journal_(disk_ ? std::make_unique<JournalWriter>(*disk_) : nullptr),
      self_(std::move(self)),
      in_(inbox_most) {}

Errors Host::start(const Make& make) {
  machine_ = make(disk_ ? disk_->take_recovered() : Recovered{}, process_now());
  std::atomic_store(&view_, machine_->view());
  auto p = Transport::open(self_, [this](Envelope e, size_t bytes) { in_.hear(std::move(e), bytes); });
  if (!p.ok())
    return p.errors();
  post_ = std::move(p).value();
  thinker_ = std::thread([this] { think(); });
  if (disk_)
    writer_ = std::thread([this] { write(); });
  return {};
}

void Host::stop() {
  stop_ = halt_ = true;
  in_.close();
  if (thinker_.joinable())
    thinker_.join();
  out_.close();
  if (writer_.joinable())
    writer_.join();
  post_.reset();
}

void Host::ask(const std::function<void(Machine&, Millis)>& f) {
  auto done = std::make_shared<std::promise<void>>();
  auto wait = done->get_future();
  in_.call([f, done](Machine& m, Millis now) {
    f(m, now);
    done->set_value();
  });
  while (!halt_ && wait.wait_for(std::chrono::milliseconds(50)) != std::future_status::ready) {}
}

void Host::send(Envelope e) {
  if (e.to == self_)
    return post(std::move(e));
  auto i = routes_.find(e.to);
  if (i == routes_.end())
    i = routes_.find(e.to.substr(0, e.to.find(':')));
  if (i != routes_.end())
    i->second(e);
  else
    post_->send(e);
}

void Host::push(Batch b) {
  b.bytes = weight(b);
  waiting_ += b.bytes;
  out_.push(std::move(b));
}

void Host::act(Actions a) {
  for (auto& n : a.notes)
    note(n.event, n.text);
  for (auto& e : a.now)
    send(std::move(e));
  if (!disk_) {
    for (auto& e : a.synced)
      send(std::move(e));
  } else if (!a.journal.empty() || !a.synced.empty() || a.checkpoint) {
    push({std::move(a.journal), std::move(a.checkpoint), std::move(a.synced)});
  }
  if (a.stop)
    stop_ = true;
}

void Host::think() {
  Millis next = 0;
  while (!halt_) {
    auto now = process_now();
    if (now >= next) {
      act(machine_->tick(now));
      next = now + kTickInterval;
    }
    for (auto& x : in_.take(std::max<Millis>(1, next - process_now()))) {
      if (auto* e = std::get_if<Envelope>(&x.what))
        act(machine_->step(*e, process_now()));
      else
        std::get<Inbox::Call>(x.what)(*machine_, process_now());
      in_.done(x);
    }
    {
      std::lock_guard l(watch_lock_);
      if (watch_)
        watch_(*machine_, process_now());
    }
    auto v = machine_->view();
    if (v != view_)
      std::atomic_store(&view_, v);
  }
}

/// Made in the machine's thread, so that it stands for all that was pushed before it.
void Host::ask_checkpoint() {
  in_.call([this](Machine& m, Millis) {
    if (auto s = m.checkpoint(); !s.empty())
      push({{}, std::move(s), {}});
  });
}

void Host::write() {
  while (true) {
    auto v = out_.take(journal_->full() ? kFullDiskRetryInterval : 200);
    bool last = v.empty() && out_.closed();
    size_t bytes = 0;
    for (auto& b : v)
      bytes += b.bytes;
    auto w = journal_->write(std::move(v));
    for (auto& n : w.notes)
      note(n.event, n.text);
    if (w.result.kind == DiskResult::failed) {
      note(Event::disk_failed, "nothing unsynced was answered");
      stop_ = true;
      return;
    }
    for (auto& e : w.sends)
      send(std::move(e));
    waiting_ -= bytes;
    if (last)
      return;
    if (journal_->wants_checkpoint(process_now()))
      ask_checkpoint();
  }
}

}  // namespace mosskeel

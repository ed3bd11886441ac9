#include "scale/crew.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "messages/constants.hpp"
#include "replication/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/host.hpp"

extern char** environ;

namespace mosskeel::scale {

Crew::Crew(const FleetAsk& a, int first) : size_(std::min(a.many, a.plan.daemons - first)) {
  int to[2], from[2];
  if (pipe2(to, O_CLOEXEC) || pipe2(from, O_CLOEXEC))
    return;
  std::vector<std::string> w{a.bin + "/scale", "hollow",
                             "--hollow",       std::to_string(first),
                             "--many",         std::to_string(a.many),
                             "--base",         std::to_string(a.base),
                             "--daemons",      std::to_string(a.plan.daemons)};
  std::vector<char*> v;
  for (auto& s : w)
    v.push_back(s.data());
  v.push_back(nullptr);
  posix_spawn_file_actions_t f;
  posix_spawn_file_actions_init(&f);
  posix_spawn_file_actions_adddup2(&f, to[0], 0);
  posix_spawn_file_actions_adddup2(&f, from[1], 1);
  if (posix_spawn(&pid_, v[0], &f, nullptr, v.data(), environ))
    pid_ = 0;
  posix_spawn_file_actions_destroy(&f);
  ::close(to[0]), ::close(from[1]);
  in_ = to[1], out_ = from[0];
}

Crew::~Crew() {
  ::close(in_);
  if (pid_)
    ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
  ::close(out_);
}

std::string Crew::ask(const std::string& line) {
  auto s = line + "\n";
  if (::write(in_, s.data(), s.size()) != static_cast<ssize_t>(s.size()))
    return "";
  size_t end;
  while ((end = rest_.find('\n')) == std::string::npos) {
    char b[65536];
    auto n = ::read(out_, b, sizeof b);
    if (n <= 0)
      return "";
    rest_.append(b, static_cast<size_t>(n));
  }
  auto r = rest_.substr(0, end);
  rest_.erase(0, end + 1);
  return r;
}

Use use_of(pid_t pid) {
  Use u;
  std::ifstream f("/proc/" + std::to_string(pid) + "/stat");
  std::string s((std::istreambuf_iterator<char>(f)), {});
  if (auto k = s.rfind(')'); k != std::string::npos) {
    std::istringstream i(s.substr(k + 2));
    std::string w;
    double ticks = 0;
    for (int n = 3; i >> w; ++n)
      if (n == 14 || n == 15)
        ticks += std::stod(w);
    u.cpu_s = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  std::ifstream g("/proc/" + std::to_string(pid) + "/status");
  for (std::string l; std::getline(g, l);) {
    if (l.starts_with("VmRSS:"))
      u.rss_mb = std::stod(l.substr(6)) / 1024;
    if (l.starts_with("VmHWM:"))
      u.peak_mb = std::stod(l.substr(6)) / 1024;
  }
  return u;
}

Voice::Voice(const FleetAsk& a) : self_(local_port(a, driver_port)) {
  for (int i = 0; i < a.plan.controllers; ++i)
    controllers.push_back(local_port(a, 2 * i));
}

Errors Voice::open() {
  auto p = Transport::open(self_, [this](Envelope e, size_t) { in_.push(std::move(e)); });
  if (!p.ok())
    return p.errors();
  post_ = std::move(p).value();
  return {};
}

std::optional<Message> Voice::ask(const Address& to, Message m, Millis patience) {
  auto kind = m.index();
  Envelope e{kProtocolRevision, metadata_log_.view()->cluster, metadata_log_.epoch(), ++next_, self_, {}, to, {},
             std::move(m)};
  auto id = kind == Message(Commit{}).index() ? std::get<Commit>(e.body).id : "";
  post_->send(e);
  auto until = process_now() + patience;
  while (process_now() < until) {
    auto x = in_.pop(until - process_now());
    if (!x)
      continue;
    if (auto* c = std::get_if<CatchupReply>(&x->body)) {
      if (c->checkpoint)
        metadata_log_.install_snapshot(*c->checkpoint);
      for (auto& y : c->entries)
        metadata_log_.add(y);
      if (id.empty())
        return x->body;
    }
    if (auto* c = std::get_if<CommitReply>(&x->body); c && c->id == id) {
      if (c->checkpoint)
        metadata_log_.install_snapshot(*c->checkpoint);
      for (auto& y : c->entries)
        metadata_log_.add(y);
      return x->body;
    }
  }
  return std::nullopt;
}

View Voice::view() {
  for (auto& m : controllers)
    ask(m, Catchup{metadata_log_.epoch()}, kCommitAttemptTimeout / 2);
  return metadata_log_.view();
}

Voice::Verdict Voice::commit(Transformation t) {
  Verdict v;
  v.begun = machine_now();
  auto until = process_now() + kCommitTimeout;
  auto id = "scale-" + std::to_string(++next_);
  for (size_t i = 0; process_now() < until; ++i) {
    auto r = ask(controllers[i % controllers.size()], Commit{id, t, metadata_log_.epoch()},
                 kCommitAttemptTimeout + kHeartbeatInterval);
    if (!r)
      continue;
    auto& c = std::get<CommitReply>(*r);
    v.reason = c.reason;
    v.at = c.epoch;
    if (c.outcome == CommitOutcome::unknown)
      continue;
    v.yes = c.outcome == CommitOutcome::committed;
    break;
  }
  v.acked = machine_now();
  return v;
}

}  // namespace mosskeel::scale

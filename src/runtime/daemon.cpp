#include "runtime/daemon.hpp"

#include <sstream>

namespace mosskeel {

std::variant<std::shared_ptr<Disk>, int> open_disk(const std::string& folder) {
  auto d = Disk::open(folder, dice());
  if (!d.ok()) {
    for (auto& f : d.errors())
      note(Event::corrupt, f.location + ": " + f.message);
    return 4;
  }
  if (d.value()->cut())
    note(Event::torn_tail, std::to_string(d.value()->cut()) + " bytes in " + folder);
  return d.value();
}

std::string metrics_of(const Host& h, const char* program, const std::map<std::string, double>& more) {
  std::ostringstream o;
  auto line = [&](const std::string& n, double v) {
    o << "mosskeel_" << n << "{program=\"" << program << "\"} " << v << "\n";
  };
  o.precision(15);
  auto v = h.view();
  line("epoch", static_cast<double>(v->epoch.value()));
  line("revision", static_cast<double>(v->revision.value()));
  line("messages_sent", static_cast<double>(h.sent()));
  line("messages_unsent", static_cast<double>(h.dropped()));
  line("messages_foreign", static_cast<double>(h.foreign()));
  line("syncs", static_cast<double>(h.syncs()));
  if (auto* j = h.journal()) {
    line("disk_full", j->full());
    line("disk_held_bytes", static_cast<double>(j->held()));
    line("checkpoints_unwritten", static_cast<double>(j->unwritten_checkpoints()));
  }
  for (auto& [n, x] : more)
    line(n, x);
  return o.str();
}

int run_until_stopped(Host& h, const char* program, const std::function<bool()>& leave) {
  note(Event::started, std::string(program) + " " MOSSKEEL_VERSION);
  bool asked = false;
  while (!h.stopped()) {
    if (!signalled(100))
      continue;
    note(Event::stopping, program);
    if (leave() || asked)
      break;
    asked = true;
  }
  bool own = h.stopped() && !asked;
  h.stop();
  note(Event::stopped, program);
  return own ? 1 : 0;
}

int cannot_start(const char* program, const Errors& f) {
  for (auto& x : f)
    fprintf(stderr, "%s: event=%d %s: %s: %s\n", program, static_cast<int>(Event::bad_settings),
            meaning(Event::bad_settings), x.location.c_str(), x.message.c_str());
  return 2;
}

}  // namespace mosskeel
